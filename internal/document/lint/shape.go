package lint

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
)

// Limits of a text that is checked, so that no text makes the check run out of memory. The largest configuration expected,
// with 2,400 routes and 2,200 teams, has 2.6 MB, 92,000 values and 5 levels in our format.
const (
	MaxBytes  = 8 << 20
	maxValues = 250_000
	maxLevels = 32
)

// ShapeError reports a text that can't be a configuration at all.
type ShapeError struct{ Reason string }

// Error implements error.
func (e *ShapeError) Error() string { return e.Reason }

// CheckShape returns a *ShapeError if a text is not one JSON object within the limits.
func CheckShape(data []byte) error {
	if len(data) > MaxBytes {
		return &ShapeError{Reason: fmt.Sprintf("larger than %d MiB", MaxBytes>>20)}
	}
	var object map[string]json.RawMessage
	if levels, values := measure(data); levels > maxLevels || values > maxValues {
		return &ShapeError{Reason: fmt.Sprintf("more than %d levels or %d values", maxLevels, maxValues)}
	}
	if err := json.Unmarshal(data, &object); err != nil {
		reason := "not a JSON object: " + err.Error()
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			reason = fmt.Sprintf("not JSON at byte %d of %d: %s", syntax.Offset, len(data), syntax.Error())
		}
		return &ShapeError{Reason: reason}
	}
	if object == nil {
		return &ShapeError{Reason: "not a JSON object"}
	}
	return nil
}

// measure returns the depth of nesting, and the number of values as an upper bound, of a text that may be invalid.
func measure(data []byte) (levels, values int) {
	level, quoted := 0, false
	for i := 0; i < len(data); i++ {
		if quoted {
			// Skips to the end of the string; a backslash hides the byte after it.
			next := bytes.IndexAny(data[i:], `"\`)
			if next < 0 {
				return levels, values
			}
			i += next
			if data[i] == '\\' {
				i++
			} else {
				quoted = false
			}
			continue
		}
		switch data[i] {
		case '"':
			quoted = true
		case '{', '[':
			level++
			values++
			levels = max(levels, level)
		case '}', ']':
			level--
		case ',':
			values++
		}
	}
	return levels, values
}
