package client

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"carobshunt/api"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// repeated is a reader of a text, over and over, that counts what was read.
type repeated struct {
	text string
	read int
}

func (r *repeated) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], r.text[(r.read+n)%len(r.text):])
	}
	r.read += n
	return n, nil
}

// TestAnswerWithoutEndIsGivenUp guards against a host whose bytes have no end and fill the caller's process.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	const end = 100 << 20 // an end, so that the test has one too
	frame := line(api.Frame{Request: "r", Dispatch: 1, Text: strings.Repeat("x", 1<<20)})
	for name, c := range map[string]struct {
		start, text string
		err         error
	}{
		"a frame":     {`{"request":"r","text":"`, "x", ErrFrameTooLong},
		"white space": {"", " ", ErrFrameTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			source := &repeated{text: c.text}
			var a assembly
			_, err := a.read(io.MultiReader(strings.NewReader(c.start), io.LimitReader(source, end)), "r", func() {})
			assert.Assert(t, errors.Is(err, c.err), "%v", err)
			assert.Assert(t, source.read < end/2, "%d bytes were read", source.read)
		})
	}
	t.Run("text", func(t *testing.T) {
		a := assembly{dispatch: 1, text: make([]byte, maxAnswerBytes)}
		_, err := a.read(strings.NewReader(strings.Replace(frame, `"text"`, `"offset":33554432,"text"`, 1)), "r", func() {})
		assert.Assert(t, errors.Is(err, ErrAnswerTooLong), "%v", err)
	})
}

// TestLookupWithoutEndIsGivenUp is the same for the answer to a look-up, and for an error.
func TestLookupWithoutEndIsGivenUp(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, `{"hosts":[`)
			host := strings.Repeat(`{"address":"h"},`, 1<<16)
			for range 64 { // a megabyte each
				_, _ = io.WriteString(w, host)
			}
			_, _ = io.WriteString(w, `{"address":"h"}],"outcome":"not_run"}`)
		}))
		_, err := New(Options{}).fetchLookup(t.Context(), strings.TrimPrefix(server.URL, "http://"))
		server.Close()
		var apiErr *api.Error
		assert.Assert(t, err != nil && !errors.As(err, &apiErr), "status %d: %v", status, err)
	}
}
