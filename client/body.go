package client

import (
	"bytes"
	"io"
	"sync"

	"github.com/juju/errors"
)

// errSealed ends the reading of a body that may no longer leave.
const errSealed = errors.ConstError("the attempt is over")

// sealedBody is the body of one attempt. It knows whether any byte of it may have left, and after seal none does:
// the transport may still want to read when the caller has long turned elsewhere.
type sealedBody struct {
	mu     sync.Mutex
	reader *bytes.Reader
	read   bool
	sealed bool
}

func newSealedBody(body []byte) *sealedBody { return &sealedBody{reader: bytes.NewReader(body)} }

// Read implements io.Reader.
func (b *sealedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		return 0, errSealed
	}
	b.read = true
	n, err := b.reader.Read(p)
	if err != nil {
		return n, io.EOF
	}
	return n, nil
}

// seal ends the body and tells whether any byte of it may have left.
func (b *sealedBody) seal() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
	return b.read
}
