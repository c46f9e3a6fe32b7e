package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/node"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

func TestLoadDigestsArriveAndMalformedDatagramsAreDropped(t *testing.T) {
	from, to := newRecorder(), newRecorder()
	a, err := ListenLoads("127.0.0.1:0", "10.0.0.1:1", "i1", from, hclog.NewNullLogger())
	assert.NilError(t, err)
	b, err := ListenLoads("127.0.0.1:0", "10.0.0.2:1", "i2", to, hclog.NewNullLogger())
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.Receive(ctx) }()
	address := b.conn.LocalAddr().String()
	malformed, err := net.Dial("udp4", address)
	assert.NilError(t, err)
	_, err = malformed.Write([]byte("\x00nonsense"))
	assert.NilError(t, err)
	fresh := node.Freshness{
		Age: 300 * time.Millisecond, Config: conf.Version{Revision: 7, Digest: 1 << 63}, Hosts: conf.Version{Revision: 9, Digest: 2},
	}
	a.Send(node.SendLoads{To: []string{"nowhere", address}, Sequence: 3, Digest: []byte{1, 2}, Freshness: fresh})
	in := (<-to.inputs).(node.LoadsReceived)
	assert.DeepEqual(t, in, node.LoadsReceived{Peer: "10.0.0.1:1", Incarnation: "i1", Sequence: 3, Digest: []byte{1, 2}, Freshness: fresh})
	stop()
	assert.NilError(t, <-ended)
}

func TestBadAddressForLoadsIsAnError(t *testing.T) {
	_, err := ListenLoads("somewhere", "10.0.0.1:1", "i1", newRecorder(), hclog.NewNullLogger())
	assert.Assert(t, err != nil)
}

func TestDigestsAreExchangedOverIPv6(t *testing.T) {
	probe, err := net.Listen("tcp", "[::1]:0")
	if err != nil {
		t.Skip("this machine has no IPv6 loopback address")
	}
	_ = probe.Close()
	loads, err := ListenLoads("[::1]:0", "[::1]:1", "i1", newRecorder(), hclog.NewNullLogger())
	assert.NilError(t, err)
	_ = loads.conn.Close()
}
