package hostlist

import (
	"sync"

	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
)

// Reader decodes successive host lists with the same result as Parse, but of a valid list's hosts it checks only the
// first and those that have changed since the last valid one against the schema. It is safe for concurrent use.
type Reader struct {
	mu     sync.Mutex
	reader *strictjson.Reader
}

// NewReader returns a reader for the first list, which it will check in full.
func NewReader() *Reader { return &Reader{reader: strictjson.NewReader(schema(), "hosts")} }

// Read returns the list, or the error that Parse returns for it.
func (r *Reader) Read(data []byte) (*List, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	value, err := r.reader.Decode(data, func() (any, func() []strictjson.Fault) {
		list := &List{}
		return list, func() []strictjson.Fault { return addressFaults(list) }
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return value.(*List), nil
}
