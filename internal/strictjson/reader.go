package strictjson

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"
)

// Reader decodes successive versions of a text with the same result as Schema.Decode. It is for texts that consist
// mostly of one long list, of which little changes between versions: an entry that is identical, byte for byte, to an
// entry of the last valid text is not checked against the schema again. It is not safe for concurrent use.
type Reader struct {
	schema *Schema
	// field is the JSON name of the list, a field of the top level.
	field string
	// known has the entries of the last valid text.
	known map[string]bool
}

// NewReader returns a reader for a schema whose texts have the list in the given field.
func NewReader(schema *Schema, field string) *Reader { return &Reader{schema: schema, field: field} }

// Decode decodes a text into a value from newValue and returns the value, or the error of Schema.Decode. newValue
// returns a pointer to a new value and the function that checks it beyond the schema; it is called again if the text
// has to be checked in full.
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

// checkChanged checks the text without its known entries against the schema, and returns all entries as raw JSON. The
// first entry is always checked, so that only an empty list is checked as empty.
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

// topFields returns the top-level fields as raw JSON. A repeated field is an error, since the text that checkChanged
// builds from them would have it only once.
func topFields(data []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, errors.Trace(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	_, _ = decoder.Token() // the opening brace: the text is a valid object
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
