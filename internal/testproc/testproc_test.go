package testproc

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestReservedAddressIsGivenToNobodyElse guards against tests that fail because another socket has taken the port of a
// process that does not listen yet, or is down.
func TestReservedAddressIsGivenToNobodyElse(t *testing.T) {
	reserved := ReserveAddress(t)
	_, err := net.Dial("tcp", reserved)
	assert.ErrorContains(t, err, "refused")
	for range 500 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		assert.Assert(t, l.Addr().String() != reserved)
	}
	for range 2 { // a process may come back
		l, err := net.Listen("tcp", reserved)
		assert.NilError(t, err)
		conn, err := net.Dial("tcp", reserved)
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
		assert.NilError(t, l.Close())
	}
}

func TestNetworksAreReservedOnce(t *testing.T) {
	seen := make(map[string]bool)
	for range 20 {
		seen[ReserveNetwork(t)] = true
	}
	assert.Equal(t, len(seen), 20)
}

// TestWaitEndsWithTheProcessThatIsAwaited guards against tests that wait for a process that is gone until time is out.
func TestWaitEndsWithTheProcessThatIsAwaited(t *testing.T) {
	wait := func(poll.LogT) poll.Result { return poll.Continue("") }
	assert.NilError(t, EndedEarly(t))
	assert.Assert(t, !WhileRunning(t, wait)(t).Done())
	ReportEnd(t, &EndedEarlyError{Name: "a daemon", Log: "its log"})
	t.Run("part", func(t *testing.T) {
		result := WhileRunning(t, wait)(t)
		assert.ErrorContains(t, result.Error(), "a daemon has ended too early")
	})
}
