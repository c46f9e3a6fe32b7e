package strictjson

import (
	"bytes"
	"encoding/json"

	"carobshunt/internal/rawjson"

	"github.com/juju/errors"
)

// Reader decodes successive versions of a text with the same result as Schema.Decode. It is for texts that consist mostly of
// long lists, of which little changes between versions: an entry that is identical, byte for byte, to an entry of the last valid
// text is neither decoded nor checked against the schema again. It is not safe for concurrent use.
type Reader[T any] struct {
	schema *Schema
	// faults returns the faults of a decoded value that the schema does not cover.
	faults func(*T) []Fault
	lists  []List[T]
	names  []string
	// last is the last valid value, nil before the first. known has the entries of its lists as received.
	last  *T
	known map[string][]json.RawMessage
	// canonical is set if the last valid text was the canonical one.
	canonical bool
}

// List is a long list of a text: a field of the top level.
type List[T any] struct {
	name string
	// merge adds known entries of last to a value that was decoded without them, see rawjson.Merge.
	merge func(value, last *T, origins []int) bool
}

// NewList returns the list with the JSON name of its field, in a T where field points to.
func NewList[T, E any](name string, field func(*T) *[]E) List[T] {
	return List[T]{name: name, merge: func(value, last *T, origins []int) (fits bool) {
		list := field(value)
		*list, fits = rawjson.Merge(*list, *field(last), origins)
		return fits
	}}
}

// NewReader returns a reader for the first text, which it will check in full.
func NewReader[T any](schema *Schema, faults func(*T) []Fault, lists ...List[T]) *Reader[T] {
	r := &Reader[T]{schema: schema, faults: faults, lists: lists}
	for _, list := range lists {
		r.names = append(r.names, list.name)
	}
	return r
}

// Decode decodes a text. It returns the value with its canonical encoding, or the error of Schema.Decode. The value shares entries with
// the values of earlier texts, and the reader keeps the text, so neither may be changed.
func (r *Reader[T]) Decode(data []byte) (*T, []byte, error) {
	if r.last != nil {
		if value, text, err := r.decodeChanged(data); err == nil {
			return value, text, nil
		}
	}
	value := new(T)
	if err := r.schema.Decode(data, value, func() []Fault { return r.faults(value) }); err != nil {
		return nil, nil, errors.Trace(err)
	}
	cut, err := rawjson.CutLists(data, r.names, nil)
	if err != nil {
		cut = &rawjson.Cut{} // all entries of the next text are then new
	}
	return r.keep(value, data, cut.Entries, nil)
}

// keep makes a valid value the last one, and returns it with its canonical text: canonical or, if that is nil, its encoding.
func (r *Reader[T]) keep(value *T, data []byte, known map[string][]json.RawMessage, canonical []byte) (*T, []byte, error) {
	if canonical == nil {
		var err error
		if canonical, err = json.Marshal(value); err != nil {
			return nil, nil, errors.Trace(err)
		}
	}
	r.last, r.known = value, known
	r.canonical = bytes.Equal(canonical, data)
	return value, canonical, nil
}

// decodeChanged decodes a text that differs little from the last valid one. Any error means that it is to be decoded in full.
func (r *Reader[T]) decodeChanged(data []byte) (*T, []byte, error) {
	cut, err := rawjson.CutLists(data, r.names, r.known)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	if err := r.schema.Check(cut.Reduced); err != nil {
		return nil, nil, errors.Trace(err)
	}
	value := new(T)
	if err := json.Unmarshal(cut.Reduced, value); err != nil {
		return nil, nil, errors.Trace(err)
	}
	var canonical []byte
	if r.canonical && cut.Compact {
		if encoded, err := json.Marshal(value); err == nil && bytes.Equal(encoded, cut.Reduced) {
			canonical = data
		}
	}
	for _, list := range r.lists {
		if !list.merge(value, r.last, cut.Origins[list.name]) {
			return nil, nil, errors.Trace(rawjson.ErrSyntax)
		}
	}
	if faults := r.faults(value); len(faults) > 0 {
		return nil, nil, NewFaults(faults...)
	}
	return r.keep(value, data, cut.Entries, canonical)
}
