package delta

import (
	"slices"

	"github.com/juju/errors"
)

// historyLength is the maximum number of deltas that a History keeps.
const historyLength = 64

// History is the newest text with the deltas that led to it, oldest first. It is immutable; the zero value is empty.
type History struct {
	newest Text
	deltas []Delta
}

// Newest returns the newest text; its Digest is 0 if there is none.
func (h *History) Newest() Text { return h.newest }

// Add returns the history with one more text. It drops the oldest deltas, so that the others together are not longer
// than the whole text.
func (h *History) Add(text Text) *History {
	next := &History{newest: text.Split()}
	if h.newest.Digest == 0 {
		return next
	}
	next.deltas = append(slices.Clone(h.deltas), Make(h.newest, next.newest))
	size := 0
	for i := len(next.deltas) - 1; i >= 0; i-- {
		size += next.deltas[i].Size()
		if size > len(text.Raw) || len(next.deltas)-i > historyLength {
			next.deltas = next.deltas[i+1:]
			break
		}
	}
	return next
}

// Since returns the deltas from the text with that digest to the newest one. It returns false if it does not have all
// of them, and if the digest is that of the newest text.
func (h *History) Since(digest uint64) ([]Delta, bool) {
	for i := len(h.deltas) - 1; i >= 0; i-- {
		if h.deltas[i].Old == digest {
			return h.deltas[i:], true
		}
	}
	return nil, false
}

// ApplyAll applies deltas one after the other.
func ApplyAll(from Text, deltas []Delta) (Text, error) {
	var err error
	for i := range deltas {
		if from, err = deltas[i].Apply(from); err != nil {
			return Text{}, errors.Trace(err)
		}
	}
	return from, nil
}
