package strictjson

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"
)

// Reader decodes one text after the other, to the same result as Schema.Decode. It is for texts that are a long list
// for the most part, of which little changes from one to the next: an entry of the list that stood in the last valid
// text byte for byte is not held against the schema again. It is not safe for concurrent use.
type Reader struct {
	schema *Schema
	// field is the JSON name of the list, a field of the top level.
	field string
	known map[string]bool
}

// NewReader returns a reader for a schema whose texts have a list in that field.
func NewReader(schema *Schema, field string) *Reader { return &Reader{schema: schema, field: field} }

// Decode reads a text into value; newValue makes another one to read into when the text has to be read in full. It
// returns the value that was read, or Schema.Decode's error.
func (r *Reader) Decode(data []byte, newValue func() (any, func() []Fault)) (any, error) {
	if entries, err := r.checkChanged(data); err == nil {
		value, check := newValue()
		if err := json.Unmarshal(data, value); err == nil && len(check()) == 0 {
			r.setKnown(entries)
			return value, nil
		}
	}
	value, check := newValue()
	return value, errors.Trace(r.schema.Decode(data, value, check))
}

// checkChanged holds all but the known entries against the schema, and returns the entries as they are written.
func (r *Reader) checkChanged(data []byte) ([]json.RawMessage, error) {
	fields, err := topFields(data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(fields[r.field], &entries); err != nil {
		return nil, errors.Trace(err)
	}
	fresh := []json.RawMessage{}
	for i, entry := range entries {
		if i == 0 || !r.known[string(entry)] {
			fresh = append(fresh, entry)
		}
	}
	part, err := json.Marshal(fresh)
	if err != nil {
		return nil, errors.Trace(err)
	}
	fields[r.field] = part
	reduced, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return entries, errors.Trace(r.schema.Check(reduced))
}

// topFields returns the fields of the top level as they are written; one that stands twice is an error, since the
// reduced text would hold it once.
func topFields(data []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, errors.Trace(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	_, _ = decoder.Token() // the text is a valid object
	for range fields {
		var value json.RawMessage
		_, err := decoder.Token()
		if err == nil {
			err = decoder.Decode(&value)
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
	if decoder.More() {
		return nil, NewFaults(Fault{Reason: "a field stands twice"})
	}
	return fields, nil
}

func (r *Reader) setKnown(entries []json.RawMessage) {
	r.known = make(map[string]bool, len(entries))
	for _, entry := range entries {
		r.known[string(entry)] = true
	}
}
