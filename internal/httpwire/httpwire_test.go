package httpwire_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"carobshunt/internal/httpwire"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// newPoolAndTarget returns a pool, the address of a target, and the connections that the target accepts.
func newPoolAndTarget(t *testing.T) (*httpwire.Pool, string, chan net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return httpwire.NewPool((&net.Dialer{}).DialContext), listener.Addr().String(), accepted
}

// attempts numbers the requests for which get returns connections.
var attempts atomic.Int64

// get returns a connection for a request of an attempt of its own.
func get(t *testing.T, p *httpwire.Pool, address string) *httpwire.Conn {
	t.Helper()
	return getFor(t, p, address, strconv.FormatInt(attempts.Add(1), 10))
}

func getFor(t *testing.T, p *httpwire.Pool, address, attempt string) *httpwire.Conn {
	t.Helper()
	c, err := p.Get(context.Background(), address, attempt)
	assert.NilError(t, err)
	return c
}

func TestConnectionIsUsedAgain(t *testing.T) {
	p, address, accepted := newPoolAndTarget(t)
	c := get(t, p, address)
	targetConn := <-accepted
	n, err := c.Send([]byte("GET / HTTP/1.1\r\n\r\n"), nil)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(18))
	_, err = bufio.NewReader(targetConn).ReadString('\n')
	assert.NilError(t, err)
	_, err = targetConn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	assert.NilError(t, err)
	resp, err := c.Receive("GET")
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	p.Put(c, 0)
	again := get(t, p, address)
	assert.Assert(t, again == c)
	assert.Assert(t, get(t, p, address) != c, "a connection carries one request at a time")
}

// TestConnectionCarriesAnAttemptOnce guards against a late copy of an attempt's answer on the connection on which the same
// attempt is sent again.
func TestConnectionCarriesAnAttemptOnce(t *testing.T) {
	p, address, _ := newPoolAndTarget(t)
	older, newer := getFor(t, p, address, "a"), getFor(t, p, address, "b")
	p.Put(older, 0)
	p.Put(newer, 0)
	assert.Assert(t, getFor(t, p, address, "b") == older, "the idle connection that has not carried it")
	third := getFor(t, p, address, "b")
	assert.Assert(t, third != older && third != newer)
	p.Put(older, 0)
	assert.Assert(t, getFor(t, p, address, "a") == newer)
}

// TestConnectionIsClosedBeforeItsRecordOverflows guards against a record of carried attempts that grows for as long as a
// busy connection lives, or that forgets the oldest.
func TestConnectionIsClosedBeforeItsRecordOverflows(t *testing.T) {
	p, address, _ := newPoolAndTarget(t)
	first, requests := get(t, p, address), 1
	for c := first; ; requests++ {
		p.Put(c, 0)
		if c = get(t, p, address); c != first {
			break
		}
	}
	assert.Equal(t, requests, 512)
}

func TestConnectionThatTheTargetClosedOrWroteOnIsNotUsedAgain(t *testing.T) {
	for name, act := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"stray":  func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			p, address, accepted := newPoolAndTarget(t)
			c := get(t, p, address)
			act(<-accepted)
			poll.WaitOn(t, func(poll.LogT) poll.Result { // until the stray bytes or the close have arrived
				p.Put(c, 0)
				again := get(t, p, address)
				if again != c {
					return poll.Success()
				}
				return poll.Continue("the connection is still reused")
			}, poll.WithDelay(time.Millisecond))
		})
	}
}

func TestConnectionIsNotUsedShortlyBeforeTheTargetClosesIt(t *testing.T) {
	p, address, accepted := newPoolAndTarget(t)
	c := get(t, p, address)
	<-accepted
	p.Put(c, 500*time.Millisecond)
	later := get(t, p, address)
	assert.Assert(t, later != c)
	p.Put(later, 0)
	p.CloseIdle()
	assert.Assert(t, get(t, p, address) == later, "a connection that is still usable stays in the pool")
}

func TestEventsAreReadWhole(t *testing.T) {
	e := httpwire.NewEvents(strings.NewReader("id: 7\r\ndata: a\r\n\r\n: note\n\nid:8\ndata: b\n\n"))
	first, err := e.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(first.Raw), "id: 7\r\ndata: a\r\n\r\n")
	assert.Assert(t, first.HasID && first.ID == 7)
	second, err := e.Next()
	assert.NilError(t, err)
	assert.Assert(t, !second.HasID)
	third, err := e.Next()
	assert.NilError(t, err)
	assert.Assert(t, third.HasID && third.ID == 8)
	_, err = e.Next()
	assert.Assert(t, errors.Is(err, io.EOF))
}

func TestTruncatedAndOversizedEventsAreErrors(t *testing.T) {
	for _, text := range []string{"id: 7", "id: 7\ndata: a\n", "id: 7\n\nid"} {
		e := httpwire.NewEvents(strings.NewReader(text))
		var err error
		for err == nil {
			_, err = e.Next()
		}
		assert.Assert(t, errors.Is(err, httpwire.ErrTruncatedEvent), "%q: %v", text, err)
	}
	e := httpwire.NewEvents(strings.NewReader(strings.Repeat("data: xxxxxxxx\n", 100_000)))
	_, err := e.Next()
	assert.Assert(t, errors.Is(err, httpwire.ErrEventTooLarge), "%v", err)
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 7\ndata: a\n\n", 3)
	f.Fuzz(func(t *testing.T, text string, _ int) {
		e := httpwire.NewEvents(strings.NewReader(text))
		var out strings.Builder
		for {
			event, err := e.Next()
			if err != nil {
				break
			}
			out.Write(event.Raw)
		}
		assert.Assert(t, strings.HasPrefix(text, out.String()), "events are passed on byte for byte")
	})
}
