package httpstrict

import (
	"io"
	"net/http"

	"github.com/juju/errors"
)

// trailedBody is the body of an answer that may have a trailer, which is known at the end of the body.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader. In place of io.EOF it returns a FieldNameError if the trailer is malformed.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if malformed := checkNames(b.resp.Trailer); malformed != nil {
		return n, malformed
	}
	return n, err
}
