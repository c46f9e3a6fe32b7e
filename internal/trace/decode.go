package trace

import (
	"bytes"
	"encoding/json"
)

// decodeStrictly reads one JSON value and refuses unknown fields.
func decodeStrictly(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(into)
}
