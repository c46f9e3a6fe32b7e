package dispatch

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/stream"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// errPastDeadline stops a request of which nothing was written when its time was over.
const errPastDeadline = errors.ConstError("the deadline passed before the first byte was written")

// writeGate is asked right before the first byte of a request goes out. A process that was paused between the
// decision and the write finds the deadline passed here, and nothing is written.
type writeGate struct {
	now      func() core.Time
	deadline core.Time
	opened   atomic.Bool
}

func (g *writeGate) open() error {
	if g.opened.Load() {
		return nil
	}
	if g.now() >= g.deadline {
		return errPastDeadline
	}
	g.opened.Store(true)
	return nil
}

// trace notes the first write on a connection that does not pass through the gate. It sees the headers enter the
// connection's buffer, which is enough for a request that may be sent again. On a connection that does pass through,
// it would open the gate before the deadline is checked.
func (g *writeGate) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { g.opened.Store(true) }}
}

// written tells whether any byte may have gone out.
func (g *writeGate) written() bool { return g.opened.Load() }

type gatedConn struct {
	net.Conn
	gate *writeGate
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.gate.open(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// tally follows a target's answer to judge at its end whether it is whole.
type tally struct {
	length int64
	sum    *xxhash.Digest
}

func newTally() *tally { return &tally{sum: xxhash.New()} }

func (t *tally) add(frame TargetFrame) bool {
	if frame.Offset != t.length {
		return false
	}
	t.length += int64(len(frame.Text))
	_, _ = t.sum.WriteString(frame.Text)
	return true
}

func (t *tally) judge(end TargetFrame) (node.Ending, string) {
	if end.Offset != t.length || end.Checksum != stream.FormatChecksum(t.sum.Sum64()) {
		return node.EndedLost, "length or checksum of the answer does not match"
	}
	return node.EndedDone, ""
}
