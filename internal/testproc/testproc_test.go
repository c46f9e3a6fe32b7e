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
	reserved := ReserveNetwork(t) + ".1:7400"
	_, err := net.Dial("tcp", reserved)
	assert.ErrorContains(t, err, "refused")
	for i := range 500 { // of any address
		l, err := net.Listen("tcp", ":0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		assert.Assert(t, l.Addr().(*net.TCPAddr).Port != 7400)
		p, err := net.ListenPacket("udp", ":0")
		assert.NilError(t, err, "socket %d", i)
		t.Cleanup(func() { _ = p.Close() })
		assert.Assert(t, p.LocalAddr().(*net.UDPAddr).Port != 7400)
	}
	for range 2 { // a process may come back
		l, err := net.Listen("tcp", reserved)
		assert.NilError(t, err)
		conn, err := net.Dial("tcp", reserved)
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
		assert.NilError(t, l.Close())
		p, err := net.ListenPacket("udp", reserved)
		assert.NilError(t, err)
		assert.NilError(t, p.Close())
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
	ForgetEnds(t)
	ReportEnd(t, &EndedEarlyError{Name: "a daemon", Log: "its log"})
	t.Run("part", func(t *testing.T) {
		result := WhileRunning(t, wait)(t)
		assert.ErrorContains(t, result.Error(), "a daemon has ended too early")
	})
}

// TestEndsOfProcessesAreForgottenWithTheirTest guards against plays of a test (-count) that fail because of an earlier one.
func TestEndsOfProcessesAreForgottenWithTheirTest(t *testing.T) {
	name := ""
	t.Run("play", func(t *testing.T) {
		name = t.Name()
		ForgetEnds(t)
		ReportEnd(t, &EndedEarlyError{Name: "a daemon"})
		assert.ErrorContains(t, EndedEarly(t), "a daemon")
	})
	_, kept := unexpectedEnds.Load(name)
	assert.Assert(t, !kept)
}
