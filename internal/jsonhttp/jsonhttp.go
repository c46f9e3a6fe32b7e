// Package jsonhttp makes HTTP calls with JSON bodies.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// Caller makes calls through an HTTP client.
type Caller struct {
	Client *http.Client
	// MaxBytes is the number of bytes of a response body that are read at most. A JSON value that is longer is cut off and
	// then fails to decode.
	MaxBytes int64
}

// Call sends a request and returns the status of the response, or 0 if none arrived. The body is in, encoded as JSON,
// unless in is nil. The body of a response with status 200 is decoded into out unless out is nil. Any other status is no
// error, and its body is read and discarded; the caller has to check the status.
func (c Caller) Call(ctx context.Context, method, address string, in, out any) (int, error) {
	req, err := newRequest(ctx, method, address, in)
	if err != nil {
		return 0, errors.Trace(err)
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body := io.LimitReader(resp.Body, c.MaxBytes)
	if out != nil && resp.StatusCode == http.StatusOK {
		return resp.StatusCode, errors.Trace(json.NewDecoder(body).Decode(out))
	}
	_, err = io.Copy(io.Discard, body)
	return resp.StatusCode, errors.Trace(err)
}

func newRequest(ctx context.Context, method, address string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, method, address, nil)
	}
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
