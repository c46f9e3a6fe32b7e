package hostlist

import (
	"sync"

	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
)

// Reader decodes successive host lists with the same result as Parse, but of the hosts it decodes and checks only the first and those
// that have changed since the last valid list. It is safe for concurrent use.
type Reader struct {
	mu     sync.Mutex
	reader *strictjson.Reader[List]
}

// NewReader returns a reader for the first list, which it will check in full.
func NewReader() *Reader {
	hosts := strictjson.NewList("hosts", func(l *List) *[]Host { return &l.Hosts })
	return &Reader{reader: strictjson.NewReader(schema(), addressFaults, hosts)}
}

// Read returns the list with its canonical text, or the error that Parse returns for it. The list shares memory with earlier ones, and the
// reader keeps the text, so neither may be changed.
func (r *Reader) Read(data []byte) (*List, []byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list, text, err := r.reader.Decode(data)
	return list, text, errors.Trace(err)
}
