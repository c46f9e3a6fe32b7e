package document

import (
	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
)

// Reader decodes successive documents with the same result as Parse, but of a valid document's teams it checks only the
// first and those that have changed since the last valid one against the schema. It is not safe for concurrent use.
type Reader struct{ reader *strictjson.Reader }

// NewReader returns a reader for the first document, which it will check in full.
func NewReader() *Reader { return &Reader{reader: strictjson.NewReader(schema(), "teams")} }

// Read returns the document, or the error that Parse returns for it.
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
