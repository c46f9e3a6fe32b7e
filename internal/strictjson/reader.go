package strictjson

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

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
	// last is the last valid value, nil before the first. known has the entries of its lists as received.
	last  *T
	known map[string][]json.RawMessage
	// canonical is set if the last valid text was the canonical one.
	canonical bool
}

// List is a long list of a text: a field of the top level.
type List[T any] struct {
	name string
	// merge adds known entries of last to a value that was decoded without them, see merge.
	merge func(value, last *T, origins []int)
}

// NewList returns the list with the JSON name of its field, in a T where field points to.
func NewList[T, E any](name string, field func(*T) *[]E) List[T] {
	return List[T]{name: name, merge: func(value, last *T, origins []int) {
		list := field(value)
		*list = merge(*list, *field(last), origins)
	}}
}

// merge returns a list of which only the fresh entries were decoded. origins has the index of each entry in the last list, or
// -1 for a fresh one.
func merge[E any](fresh, last []E, origins []int) []E {
	if len(origins) == len(fresh) {
		return fresh
	}
	out := make([]E, 0, len(origins))
	for _, origin := range origins {
		if origin >= 0 {
			out = append(out, last[origin])
			continue
		}
		out = append(out, fresh[0])
		fresh = fresh[1:]
	}
	return out
}

// NewReader returns a reader for the first text, which it will check in full.
func NewReader[T any](schema *Schema, faults func(*T) []Fault, lists ...List[T]) *Reader[T] {
	return &Reader[T]{schema: schema, faults: faults, lists: lists}
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
	known := make(map[string][]json.RawMessage, len(r.lists))
	if cut, err := r.cut(data); err == nil {
		known = cut.entries
	}
	return r.keep(value, data, known, nil)
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
	cut, err := r.cut(data)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	if err := r.schema.Check(cut.reduced); err != nil {
		return nil, nil, errors.Trace(err)
	}
	value := new(T)
	if err := json.Unmarshal(cut.reduced, value); err != nil {
		return nil, nil, errors.Trace(err)
	}
	var canonical []byte
	if r.canonical && cut.compact {
		if encoded, err := json.Marshal(value); err == nil && bytes.Equal(encoded, cut.reduced) {
			canonical = data
		}
	}
	for _, list := range r.lists {
		list.merge(value, r.last, cut.origins[list.name])
	}
	if faults := r.faults(value); len(faults) > 0 {
		return nil, nil, NewFaults(faults...)
	}
	return r.keep(value, data, cut.entries, canonical)
}

// cutText is a text that was cut into the entries of its lists.
type cutText struct {
	// entries are those of each list that the text has, origins tells of each entry where the last valid text has an identical
	// one, or -1 for none. It is -1 for the first entry of each list, so that only an empty list is checked as empty.
	entries map[string][]json.RawMessage
	origins map[string][]int
	// reduced is the text without the entries that have an origin, and without white space between its fields.
	reduced []byte
	// compact is set if the text has no white space between its fields and between the entries of its lists.
	compact bool
}

// cut cuts a text. It returns an error for one that is no object, and for one with a field that stands twice.
func (r *Reader[T]) cut(data []byte) (*cutText, error) {
	members, err := rawjson.Members(data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c := &cutText{entries: make(map[string][]json.RawMessage, len(r.lists)), origins: make(map[string][]int, len(r.lists))}
	size := len(`{}`)
	c.reduced = append(c.reduced, '{')
	for i, m := range members {
		if i > 0 {
			c.reduced = append(c.reduced, ',')
			size += len(`,`)
		}
		before := len(c.reduced)
		c.reduced = append(strconv.AppendQuote(c.reduced, m.Name), ':')
		size += len(c.reduced) - before
		if !r.isList(m.Name) {
			c.reduced = append(c.reduced, m.Value...)
			size += len(m.Value)
			continue
		}
		listSize, err := c.addList(m, r.known[m.Name])
		if err != nil {
			return nil, errors.Trace(err)
		}
		size += listSize
	}
	c.reduced = append(c.reduced, '}')
	c.compact = size == len(data)
	return c, nil
}

func (r *Reader[T]) isList(name string) bool {
	return slices.ContainsFunc(r.lists, func(l List[T]) bool { return l.name == name })
}

// addList adds a list to the cut text. It returns the size of the list without white space between its entries, in bytes.
func (c *cutText) addList(m rawjson.Member, known []json.RawMessage) (int, error) {
	entries, err := rawjson.Entries(m.Value)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if _, twice := c.entries[m.Name]; twice || string(m.Value) == "null" {
		return 0, errors.Trace(rawjson.ErrSyntax)
	}
	origins := rawjson.Match(known, entries)
	if len(origins) > 0 {
		origins[0] = -1
	}
	c.entries[m.Name], c.origins[m.Name] = entries, origins
	size := len(`[]`) + max(len(entries)-1, 0)*len(`,`)
	c.reduced = append(c.reduced, '[')
	for i, entry := range entries {
		size += len(entry)
		if origins[i] >= 0 {
			continue
		}
		if i > 0 {
			c.reduced = append(c.reduced, ',')
		}
		c.reduced = append(c.reduced, entry...)
	}
	c.reduced = append(c.reduced, ']')
	return size, nil
}
