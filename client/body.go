package client

import (
	"bytes"
	"io"
	"sync"

	"github.com/juju/errors"
)

// errSealed is the read error of a body whose attempt has ended.
const errSealed = errors.ConstError("the attempt has ended")

// sealedBody is the body of one attempt. It records whether any byte of it may have been sent. After seal, no more of
// it is read: the transport may still try to read the body when the caller has long moved to another host.
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

// seal makes all further reads fail and reports whether any byte of the body may have been sent.
func (b *sealedBody) seal() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
	return b.read
}
