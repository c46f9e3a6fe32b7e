// Package delta encodes the difference between two versions of a published JSON text, so that hosts exchange bytes in
// proportion to what changed. A text is split into pieces at its entries (the fields of the top level and the entries of
// its lists and objects); a Delta copies pieces of the old text and inserts new text. Digests of both texts are checked.
package delta

import (
	"bytes"
	"encoding/json"

	"carobshunt/internal/rawjson"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Errors of Apply.
const (
	ErrOtherBase = errors.ConstError("delta has another base text")
	ErrRange     = errors.ConstError("delta copies pieces outside its base text")
	ErrDigest    = errors.ConstError("patched text does not match the digest of the delta")
)

// Text is a published value in its canonical encoding: the output of encoding/json for its Go type, without white space.
type Text struct {
	Raw []byte
	// Digest is the 64-bit xxHash of Raw; 0 for no text.
	Digest uint64
	// pieces is Raw cut into pieces; nil if that was not done yet.
	pieces [][]byte
}

// NewText returns the text with its digest.
func NewText(raw []byte) Text { return Text{Raw: raw, Digest: xxhash.Sum64(raw)} }

// Split returns the text with its pieces, so that Make and Apply need not look for them.
func (t Text) Split() Text {
	if t.pieces == nil {
		t.pieces = split(t.Raw)
	}
	return t
}

// Encode returns the canonical text of a value.
func Encode(value any) (Text, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return Text{}, errors.Trace(err)
	}
	return NewText(raw), nil
}

// Edit either copies Count pieces of the old text, from piece From on, or inserts Insert.
type Edit struct {
	From   int    `json:"from,omitempty"`
	Count  int    `json:"count,omitempty"`
	Insert string `json:"insert,omitempty"`
}

// Delta turns the text with the digest Old into the one with the digest New.
type Delta struct {
	Old   uint64 `json:"old"`
	New   uint64 `json:"new"`
	Edits []Edit `json:"edits"`
}

// Size returns the approximate size of the delta on the wire, in bytes.
func (d *Delta) Size() int {
	size := 0
	for _, e := range d.Edits {
		size += editOverheadBytes + len(e.Insert)
	}
	return size
}

// editOverheadBytes is the approximate size of an edit on the wire without its insertion, in bytes.
const editOverheadBytes = 24

// Make returns the delta that turns from into to. It is fast if these differ in few pieces that stand close to each other.
func Make(from, to Text) Delta {
	old, pieces := from.Split().pieces, to.Split().pieces
	d := Delta{Old: from.Digest, New: to.Digest}
	begin, end := rawjson.CommonEnds(old, pieces)
	d.copy(0, begin)
	d.addChanged(old[begin:len(old)-end], pieces[begin:len(pieces)-end], begin)
	d.copy(len(old)-end, end)
	return d
}

// addChanged adds the edits for pieces that take the place of others, the first of which is piece first of the old text.
func (d *Delta) addChanged(old, pieces [][]byte, first int) {
	index := make(map[string]int, len(old))
	for i, piece := range old {
		index[string(piece)] = i
	}
	next := 0
	var inserted []byte // pieces that follow each other, as they stand in their text
	for _, piece := range pieces {
		same := next < len(old) && bytes.Equal(old[next], piece)
		if i, ok := index[string(piece)]; ok && !same {
			next, same = i, true
		}
		if same {
			d.insert(inserted)
			inserted = nil
			d.copy(first+next, 1)
		} else if inserted == nil {
			inserted = piece
		} else {
			inserted = inserted[:len(inserted)+len(piece)]
		}
		next++
	}
	d.insert(inserted)
}

// copy adds an edit that copies pieces, or extends the last edit if they follow it.
func (d *Delta) copy(from, count int) {
	if count == 0 {
		return
	}
	if n := len(d.Edits); n > 0 {
		if last := &d.Edits[n-1]; last.Count > 0 && last.From+last.Count == from {
			last.Count += count
			return
		}
	}
	d.Edits = append(d.Edits, Edit{From: from, Count: count})
}

func (d *Delta) insert(text []byte) {
	if len(text) > 0 {
		d.Edits = append(d.Edits, Edit{Insert: string(text)})
	}
}

// Apply returns the new text. It returns an error if from is not the delta's base, or if the result does not have the
// digest New.
func (d *Delta) Apply(from Text) (Text, error) {
	if from.Digest != d.Old {
		return Text{}, ErrOtherBase
	}
	old := from.Split().pieces
	out := make([]byte, 0, len(from.Raw)+d.Size())
	for _, e := range d.Edits {
		if e.Count < 0 || e.From < 0 || e.Count > len(old) || e.From > len(old)-e.Count {
			return Text{}, ErrRange
		}
		for _, piece := range old[e.From : e.From+e.Count] {
			out = append(out, piece...)
		}
		out = append(out, e.Insert...)
	}
	to := NewText(out)
	if to.Digest != d.New {
		return Text{}, ErrDigest
	}
	return to, nil
}

// pieceDepth is the nesting depth down to which each entry is a piece.
const pieceDepth = 2

// split cuts a JSON text after each comma and opening bracket that is nested at most pieceDepth deep.
func split(raw []byte) [][]byte {
	var pieces [][]byte
	start, depth := 0, 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			length := rawjson.StringLength(raw[i:])
			if length == 0 {
				length = len(raw) - i // the string does not end
			}
			i += length - 1
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			continue
		case ',':
		default:
			continue
		}
		if depth > pieceDepth {
			continue
		}
		pieces = append(pieces, raw[start:i+1])
		start = i + 1
	}
	if start < len(raw) {
		pieces = append(pieces, raw[start:])
	}
	return pieces
}
