// Package rawjson cuts the outermost fields or entries out of JSON texts without looking into them. Unlike the standard
// decoder it has no limit on nesting, at which that decoder refuses the whole text: what is nested too deeply in one entry
// can be refused with that entry alone. The values that it returns are not checked, and may not be valid JSON.
package rawjson

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"
)

// ErrSyntax is returned for a text that is not one object or list, as far as its outermost level shows.
const ErrSyntax = errors.ConstError("not a JSON object or list")

// Fields returns the fields of an object, the last one of each name. They share the memory of the text.
func Fields(text []byte) (map[string]json.RawMessage, error) {
	members, err := Members(text)
	if err != nil {
		return nil, err
	}
	out := make(map[string]json.RawMessage, len(members))
	for _, m := range members {
		out[m.Name] = m.Value
	}
	return out, nil
}

// Member is a field of an object.
type Member struct {
	Name  string
	Value json.RawMessage
}

// Members returns the fields of an object in their order, also those whose name stands twice. They share the memory of the text.
func Members(text []byte) ([]Member, error) {
	var out []Member
	err := each(text, '{', '}', func(s *scanner) error {
		var m Member
		if err := json.Unmarshal(s.value(), &m.Name); err != nil {
			return errors.Trace(err)
		}
		if !s.take(':') {
			return ErrSyntax
		}
		m.Value = s.value()
		out = append(out, m)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Entries returns the entries of a list, or none for null. They share the memory of the text.
func Entries(text []byte) ([]json.RawMessage, error) {
	if string(bytes.TrimSpace(text)) == "null" {
		return nil, nil
	}
	var out []json.RawMessage
	err := each(text, '[', ']', func(s *scanner) error {
		out = append(out, s.value())
		return nil
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// each calls read for each of the parts, separated by commas, of a text between two brackets.
func each(text []byte, opening, closing byte, read func(*scanner) error) error {
	s := &scanner{rest: text}
	if !s.take(opening) {
		return ErrSyntax
	}
	for first := true; !s.take(closing); first = false {
		if !first && !s.take(',') {
			return ErrSyntax
		}
		before := len(s.rest)
		if err := read(s); err != nil {
			return err
		}
		if len(s.rest) == before {
			return ErrSyntax
		}
	}
	if s.skipSpace(); len(s.rest) > 0 {
		return ErrSyntax
	}
	return nil
}

// scanner reads a text from its begin; rest is what it has not read yet.
type scanner struct{ rest []byte }

func (s *scanner) skipSpace() {
	for len(s.rest) > 0 && (s.rest[0] == ' ' || s.rest[0] == '\t' || s.rest[0] == '\r' || s.rest[0] == '\n') {
		s.rest = s.rest[1:]
	}
}

// take skips white space and then a byte, and reports whether it was there.
func (s *scanner) take(b byte) bool {
	s.skipSpace()
	if len(s.rest) == 0 || s.rest[0] != b {
		return false
	}
	s.rest = s.rest[1:]
	return true
}

// value reads one value, which is empty where none begins or where it does not end.
func (s *scanner) value() json.RawMessage {
	s.skipSpace()
	n := valueLength(s.rest)
	value := s.rest[:n:n]
	s.rest = s.rest[n:]
	return value
}

// valueLength returns the length of the value that the text begins with; 0 if there is none or it does not end.
func valueLength(text []byte) int {
	if len(text) == 0 {
		return 0
	}
	switch text[0] {
	case '"':
		return StringLength(text)
	case '{', '[':
		return nestedLength(text)
	}
	return max(bytes.IndexAny(text, ",:]} \t\r\n"), 0)
}

// StringLength returns the length of the string that the text begins with, quotes included; 0 if it does not end.
func StringLength(text []byte) int {
	for i := 1; i < len(text); {
		n := bytes.IndexByte(text[i:], '"')
		if n < 0 {
			return 0
		}
		i += n + 1
		if !endsEscaped(text[:i-1]) {
			return i
		}
	}
	return 0
}

// endsEscaped reports whether a string's text ends with an odd number of backslashes, so that the next byte is escaped.
func endsEscaped(text []byte) bool {
	n := len(text) - len(bytes.TrimRight(text, `\`))
	return n%2 == 1
}

func nestedLength(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			n := StringLength(text[i:])
			if n == 0 {
				return 0
			}
			i += n - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return i + 1
			}
		}
	}
	return 0
}
