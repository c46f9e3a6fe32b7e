// Package delta encodes the difference between two versions of a published JSON text, so that hosts exchange bytes in
// proportion to what changed. A text is split into pieces at its entries (the fields of the top level and the entries of
// its lists and objects); a Delta copies pieces of the old text and inserts new text. Digests of both texts are checked.
package delta

import (
	"encoding/json"

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
}

// NewText returns the text with its digest.
func NewText(raw []byte) Text { return Text{Raw: raw, Digest: xxhash.Sum64(raw)} }

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

// Make returns the delta that turns from into to.
func Make(from, to Text) Delta {
	old := split(from.Raw)
	index := make(map[string]int, len(old))
	for i, piece := range old {
		index[string(piece)] = i
	}
	d := Delta{Old: from.Digest, New: to.Digest}
	next, end, inserted := 0, 0, 0
	for _, piece := range split(to.Raw) {
		start := end
		end += len(piece)
		same := next < len(old) && string(old[next]) == string(piece)
		if i, ok := index[string(piece)]; ok && !same {
			next, same = i, true
		}
		if same {
			d.insert(to.Raw[inserted:start])
			inserted = end
			d.copy(next)
		}
		next++
	}
	d.insert(to.Raw[inserted:])
	return d
}

// copy adds an edit that copies one piece, or extends the last edit if the piece follows it.
func (d *Delta) copy(piece int) {
	if n := len(d.Edits); n > 0 {
		if last := &d.Edits[n-1]; last.Count > 0 && last.From+last.Count == piece {
			last.Count++
			return
		}
	}
	d.Edits = append(d.Edits, Edit{From: piece, Count: 1})
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
	old := split(from.Raw)
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
	inString, escaped := false, false
	for i, b := range raw {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped = b == '\\'
			inString = b != '"'
		case b == '"':
			inString = true
		case b == '{' || b == '[':
			depth++
		case b == '}' || b == ']':
			depth--
		}
		if inString || depth > pieceDepth || (b != ',' && b != '{' && b != '[') {
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
