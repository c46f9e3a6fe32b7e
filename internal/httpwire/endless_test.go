package httpwire_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"carobshunt/internal/httpwire"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// endless repeats a text up to a limit far above what a reader may take, and counts what was read.
type endless struct {
	text string
	read int
}

const endlessBytes = 64 << 20

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	if e.read >= endlessBytes {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) {
		n += copy(p[n:], e.text[(e.read+n)%len(e.text):])
	}
	e.read += n
	return n, nil
}

// TestEventWithoutEndIsGivenUp guards against a target that sends bytes without end: a host that keeps them all runs out of
// memory and ends with everything that it serves.
func TestEventWithoutEndIsGivenUp(t *testing.T) {
	for name, text := range map[string]string{
		"one line":                 "x",
		"lines of no event":        "data: x\n",
		"zeros":                    "\x00",
		"a line in which CRs come": "x\r",
	} {
		t.Run(name, func(t *testing.T) {
			source := &endless{text: text}
			_, err := httpwire.NewEvents(source).Next()
			assert.Assert(t, errors.Is(err, httpwire.ErrEventTooLarge), "%v", err)
			assert.Assert(t, source.read <= 2<<20, "%d bytes were read", source.read)
		})
	}
}

// TestHeadWithoutEndIsGivenUp is the same for the head of an answer.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ start, repeat string }{
		"status line":           {"", "HTTP/1.1 "},
		"one header":            {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":               {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"informational answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"continued header":      {"HTTP/1.1 200 OK\r\nX: y\r\n", " z\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p, address, accepted := newPoolAndTarget(t)
			conn := get(t, p, address)
			sent := make(chan int64, 1)
			go func(far net.Conn) {
				n, _ := io.Copy(far, io.MultiReader(strings.NewReader(c.start), &endless{text: c.repeat}))
				sent <- n
			}(<-accepted)
			_, err := conn.Receive("GET")
			assert.Assert(t, errors.Is(err, httpwire.ErrHeadTooLarge), "%v", err)
			assert.NilError(t, conn.Close())
			select {
			case n := <-sent:
				assert.Assert(t, n < endlessBytes, "the target could send %d bytes", n)
			case <-time.After(10 * time.Second):
				t.Fatal("the target still sends")
			}
		})
	}
}

// TestHeadOfUsualSizeIsReadAfterLongAnswers guards against a bound of the head that counts the bodies before it.
func TestHeadOfUsualSizeIsReadAfterLongAnswers(t *testing.T) {
	p, address, accepted := newPoolAndTarget(t)
	conn := get(t, p, address)
	far := <-accepted
	body := strings.Repeat("b", 300_000)
	go func() {
		for range 3 {
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\nX: "+strings.Repeat("x", 30_000)+"\r\n\r\n"+body)
		}
	}()
	for range 3 {
		resp, err := conn.Receive("GET")
		assert.NilError(t, err)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(body))
	}
}
