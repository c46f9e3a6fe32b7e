package trace

import (
	"bytes"
	"encoding/json"
)

// decodeStrictly decodes one JSON value and rejects unknown fields.
func decodeStrictly(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(into)
}
