package document

import (
	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
)

// Reader reads one document after the other, to the same result as Parse, and checks of the teams only those that
// differ from the last one's. It is not safe for concurrent use.
type Reader struct{ reader *strictjson.Reader }

// NewReader returns a reader that has read nothing.
func NewReader() *Reader { return &Reader{reader: strictjson.NewReader(schema(), "teams")} }

// Read returns the document or Parse's error.
func (r *Reader) Read(data []byte) (*Document, error) {
	value, err := r.reader.Decode(data, func() (any, func() []strictjson.Fault) {
		doc := &Document{}
		return doc, func() []strictjson.Fault { return semanticFaults(doc) }
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return value.(*Document), nil
}
