package hostlist

import (
	"sync"

	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
)

// Reader reads one host list after the other, to the same result as Parse, and checks of the hosts' lines only those
// that differ from the last list's. It is safe for concurrent use.
type Reader struct {
	mu     sync.Mutex
	reader *strictjson.Reader
}

// NewReader returns a reader that has read nothing.
func NewReader() *Reader { return &Reader{reader: strictjson.NewReader(schema(), "hosts")} }

// Read returns the list or Parse's error.
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
