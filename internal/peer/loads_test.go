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
	for _, compact := range []bool{false, true} {
		a.Send(node.SendLoads{To: []string{"nowhere", address}, Bundle: bundle, Compact: compact})
		in := (<-to.inputs).(node.LoadsReceived)
		assert.DeepEqual(t, in, node.LoadsReceived{From: "10.0.0.1:1", Bundle: bundle})
	}
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
		for _, compact := range []bool{false, true} {
			raw, err := encodeLoads("10.0.0.1:1", &loadshare.Bundle{Hop: hop}, compact)
			assert.NilError(t, err)
			_, err = decodeLoads(raw)
			assert.Equal(t, err == nil, known, "%d: %v", hop, err)
		}
	}
}

// Addresses and incarnations that have no shorter form, or whose shorter form would be decoded to another text, must arrive
// unchanged: the core compares them with those of heartbeats.
func TestCompactFormKeepsAddressesAndIncarnations(t *testing.T) {
	digests := []loadshare.Digest{
		{Peer: "10.0.0.1:1", Incarnation: "00ff"},
		{Peer: "10.0.0.1:01", Incarnation: "00FF"},
		{Peer: "[2001:db8::1]:7402", Incarnation: "0ff"},
		{Peer: "[2001:DB8::1]:7402", Incarnation: "i1"},
		{Peer: "[::ffff:192.0.2.1]:7402", Incarnation: ""},
		{Peer: "[fe80::1%eth0]:7402", Incarnation: "aa"},
		{Peer: "host:7402", Incarnation: "aa"},
		{Peer: "", Incarnation: "aa"},
	}
	for i := range digests {
		digests[i].Loads = []byte{}
		digests[i].Freshness.Config.Revision = uint64(i / 2)
		want := loadshare.Bundle{Digests: digests[i : i+1]}
		raw, err := encodeLoads(digests[i].Peer, &want, true)
		assert.NilError(t, err)
		in, err := decodeLoads(raw)
		assert.NilError(t, err)
		assert.DeepEqual(t, in, node.LoadsReceived{From: digests[i].Peer, Bundle: want})
	}
	raw, err := encodeLoads("a", &loadshare.Bundle{Digests: digests}, true)
	assert.NilError(t, err)
	in, err := decodeLoads(raw)
	assert.NilError(t, err)
	assert.DeepEqual(t, in.Bundle.Digests, digests)
}

// A datagram in the compact form that is damaged, or of a version to come, must be an error and not end the process.
func TestMalformedCompactDatagramIsAnError(t *testing.T) {
	good := compactDigest{Peer: "a", Incarnation: "i"}
	versions := []versionMessage{{}}
	for name, m := range map[string]compactMessage{
		"index above the versions": {From: "a", Versions: versions, Digests: []compactDigest{{Peer: "a", Incarnation: "i", Config: 1}}},
		"negative index":           {From: "a", Versions: versions, Digests: []compactDigest{{Peer: "a", Incarnation: "i", Hosts: -1}}},
		"number as address":        {From: 7, Versions: versions, Digests: []compactDigest{good}},
		"short address":            {From: "a", Versions: versions, Digests: []compactDigest{{Peer: []byte{1}, Incarnation: "i"}}},
		"number as incarnation":    {From: "a", Versions: versions, Digests: []compactDigest{{Peer: "a", Incarnation: 7}}},
	} {
		raw, err := cbor.Marshal(m)
		assert.NilError(t, err)
		_, err = decodeLoads(raw)
		assert.Assert(t, err != nil, name)
	}
	raw, err := cbor.Marshal(compactMessage{From: "a", Versions: versions, Digests: []compactDigest{good}})
	assert.NilError(t, err)
	_, err = decodeLoads(raw)
	assert.NilError(t, err)
	for i := range raw {
		_, err := decodeLoads(raw[:i])
		assert.Assert(t, err != nil, "cut after %d bytes", i)
	}
}

func FuzzDatagram(f *testing.F) {
	for _, compact := range []bool{false, true} {
		raw, err := encodeLoads("10.0.0.1:1", &loadshare.Bundle{Digests: []loadshare.Digest{{Peer: "10.0.0.2:1", Incarnation: "aa"}}}, compact)
		assert.NilError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		in, err := decodeLoads(raw)
		assert.Assert(t, err == nil || len(in.Bundle.Digests) == 0)
	})
}
