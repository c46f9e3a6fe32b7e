package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/node"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

func TestLoadDigestsArriveAndMalformedDatagramsAreDropped(t *testing.T) {
	from, to := newRecorder(), newRecorder()
	a, err := ListenLoads("127.0.0.1:0", "10.0.0.1:1", from, hclog.NewNullLogger())
	assert.NilError(t, err)
	b, err := ListenLoads("127.0.0.1:0", "10.0.0.2:1", to, hclog.NewNullLogger())
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.Receive(ctx) }()
	address := b.conn.LocalAddr().String()
	malformed, err := net.Dial("udp4", address)
	assert.NilError(t, err)
	_, err = malformed.Write([]byte("\x00nonsense"))
	assert.NilError(t, err)
	bundle := loadshare.Bundle{Hop: loadshare.HopToZone, Digests: []loadshare.Digest{
		{Peer: "10.0.0.1:1", Incarnation: "i1", Sequence: 3, Loads: []byte{1, 2}, Freshness: loadshare.Freshness{
			Age: 300 * time.Millisecond, Config: conf.Version{Revision: 7, Digest: 1 << 63}, Hosts: conf.Version{Revision: 9, Digest: 2},
		}},
		{Peer: "10.0.0.3:1", Incarnation: "i3", Sequence: 1 << 40, Loads: []byte{}, Freshness: loadshare.Freshness{Age: -time.Millisecond}},
	}}
	a.Send(node.SendLoads{To: []string{"nowhere", address}, Bundle: bundle})
	in := (<-to.inputs).(node.LoadsReceived)
	assert.DeepEqual(t, in, node.LoadsReceived{From: "10.0.0.1:1", Bundle: bundle})
	stop()
	assert.NilError(t, <-ended)
}

func TestBadAddressForLoadsIsAnError(t *testing.T) {
	_, err := ListenLoads("somewhere", "10.0.0.1:1", newRecorder(), hclog.NewNullLogger())
	assert.Assert(t, err != nil)
}

func TestDigestsAreExchangedOverIPv6(t *testing.T) {
	probe, err := net.Listen("tcp", "[::1]:0")
	if err != nil {
		t.Skip("this machine has no IPv6 loopback address")
	}
	_ = probe.Close()
	loads, err := ListenLoads("[::1]:0", "[::1]:1", newRecorder(), hclog.NewNullLogger())
	assert.NilError(t, err)
	_ = loads.conn.Close()
}

func TestDatagramWithUnknownHopIsMalformed(t *testing.T) {
	for hop, known := range map[loadshare.Hop]bool{
		-1: false, loadshare.HopFinal: true, loadshare.HopToRelay: true, loadshare.HopToZone: true, loadshare.HopToZone + 1: false,
	} {
		raw, err := cbor.Marshal(newLoadsMessage("10.0.0.1:1", &loadshare.Bundle{Hop: hop}))
		assert.NilError(t, err)
		_, err = decodeLoads(raw)
		assert.Equal(t, err == nil, known, "%d: %v", hop, err)
	}
}

func FuzzDatagram(f *testing.F) {
	raw, err := cbor.Marshal(newLoadsMessage("10.0.0.1:1", &loadshare.Bundle{Digests: []loadshare.Digest{{Peer: "10.0.0.2:1"}}}))
	assert.NilError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		in, err := decodeLoads(raw)
		assert.Assert(t, err == nil || len(in.Bundle.Digests) == 0)
	})
}
