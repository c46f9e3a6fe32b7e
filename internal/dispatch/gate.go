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

// errPastDeadline is returned for a write that would have begun after the request's deadline.
const errPastDeadline = errors.ConstError("the deadline passed before the first byte was written")

// writeGate records whether a byte of a request may have been written. On a gatedConn, it also checks the deadline immediately
// before the first byte: a process that was suspended between the decision and the write then writes nothing.
type writeGate struct {
	now      func() core.Time
	deadline core.Time
	opened   atomic.Bool
}

// open allows writing from now on, or returns errPastDeadline if nothing was written by the deadline.
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

// trace records the first write on a connection that does not go through the gate. It fires when the headers
// enter the connection's buffer, which is precise enough for an idempotent request. A gated connection must not use
// it, since it would open the gate before the deadline is checked.
func (g *writeGate) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { g.opened.Store(true) }}
}

// written reports whether any byte may have been sent.
func (g *writeGate) written() bool { return g.opened.Load() }

// gatedConn is a connection whose writes go through a writeGate.
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

// answerVerifier tracks the length and checksum of a target's answer to verify at its end that it is complete.
type answerVerifier struct {
	length int64
	sum    *xxhash.Digest
}

func newAnswerVerifier() *answerVerifier { return &answerVerifier{sum: xxhash.New()} }

// add counts in a frame. It reports false if the frame does not continue the text before it.
func (v *answerVerifier) add(frame TargetFrame) bool {
	if frame.Offset != v.length {
		return false
	}
	v.length += int64(len(frame.Text))
	_, _ = v.sum.WriteString(frame.Text)
	return true
}

// verify returns how the dispatch ended, given the last frame of its answer.
func (v *answerVerifier) verify(end TargetFrame) (node.Ending, string) {
	if end.Offset != v.length || end.Checksum != stream.FormatChecksum(v.sum.Sum64()) {
		return node.EndedLost, "length or checksum of the answer does not match"
	}
	return node.EndedDone, ""
}
