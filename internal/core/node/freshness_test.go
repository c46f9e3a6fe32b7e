package node_test

import (
	"fmt"
	"testing"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/rendezvous"

	"gotest.tools/v3/assert"
)

// These tests run a host whose host list names no entry hosts: a few hosts read the platform and update the others.

// readers is a host with eight peers, which may read the platform for it.
type readers struct {
	*routedHost
	sequence uint64
	// fetched reports whether the host has fetched a document.
	fetched bool
}

var readerPeers = []string{"10.0.0.2:2", "10.0.0.3:2", "10.0.0.4:2", "10.0.0.5:2", "10.0.0.6:2", "10.0.0.7:2", "10.0.0.8:2", "10.0.0.9:2"}

func newReaders(t *testing.T) *readers {
	r := &readers{routedHost: newRoutedHost(t)}
	for _, peer := range readerPeers {
		r.heartbeat(peer, "a")
	}
	return r
}

func (r *readers) heartbeat(peer, zone string) {
	hb := node.HeartbeatReceived{}
	hb.Heartbeat.Peer, hb.Heartbeat.Incarnation, hb.Heartbeat.Zone = peer, "j", zone
	hb.Heartbeat.ClockMs, hb.Heartbeat.IntervalMs = r.now.Milliseconds(), 1600
	hb.Heartbeat.LoadsAddress = peer + "3"
	r.step(hb)
}

// report delivers a digest from each peer with the time since the platform answered it, and with its revision.
func (r *readers) report(age time.Duration, configRevision uint64) {
	r.sequence++
	for _, peer := range readerPeers {
		digest := loadshare.Digest{Peer: peer, Incarnation: "j", Sequence: r.sequence}
		digest.Freshness = loadshare.Freshness{Age: age, Config: conf.Version{Revision: configRevision}}
		r.step(node.LoadsReceived{From: peer, Bundle: loadshare.Bundle{Digests: []loadshare.Digest{digest}}})
		for _, a := range r.actions {
			_, fetch := a.(node.FetchDocument)
			r.fetched = r.fetched || fetch
		}
	}
	r.step(node.Tick{})
}

func (r *readers) reads() bool { return r.node.Snapshot().ReadsPlatform }

func TestHostReadsInPlaceOfPeersWithoutPlatformAnswer(t *testing.T) {
	r := newReaders(t)
	assert.Assert(t, r.reads(), "no peer has reported an answer of the platform")
	r.report(100*time.Millisecond, 1)
	assert.Assert(t, !r.reads(), "the platform answers eight peers, three of which rank before the host")
	r.after(1200 * time.Millisecond).step(node.Tick{})
	assert.Assert(t, r.reads(), "the last answers are too old")
	r.report(-1, 1)
	assert.Assert(t, r.reads(), "the platform never answered them")
}

func TestHostReadsWhenItFailsToFetchNewerVersion(t *testing.T) {
	r := newReaders(t)
	r.report(100*time.Millisecond, 9)
	assert.Assert(t, r.fetched && !r.reads(), "the newer configuration is being fetched")
	r.run(600 * time.Millisecond)
	r.report(100*time.Millisecond, 9)
	assert.Assert(t, r.reads(), "the fetch has timed out")
	r.publish(9)
	r.report(100*time.Millisecond, 9)
	assert.Assert(t, !r.reads())
}

func TestRateOfReadRetriesDoesNotGrowWithHosts(t *testing.T) {
	assert.Equal(t, newRoutedHost(t).node.Snapshot().ReadRetryPause, 200*time.Millisecond)
	assert.Equal(t, newReaders(t).node.Snapshot().ReadRetryPause, 450*time.Millisecond, "nine hosts")
}

// A store that drops its history fails the watches of all readers at once. If they paused like the many hosts that only read
// in an outage, a change of the configuration would be late everywhere.
func TestHostsWithTheDutyToReadRetrySoon(t *testing.T) {
	const peers, self = 60, "10.0.0.1:2"
	for _, hasDuty := range []bool{true, false} {
		r := &readers{routedHost: newRoutedHost(t)}
		for i, added := 0, 0; added < peers; i++ {
			peer := fmt.Sprintf("10.1.%d.%d:2", i/250, i%250)
			ranksFirst := rendezvous.Position("read", self, []string{self, peer}) == 0
			if ranksFirst == hasDuty {
				r.heartbeat(peer, "a")
				added++
			}
		}
		want := 200 * time.Millisecond
		if !hasDuty {
			want = want * (peers + 1) / 4
		}
		assert.Equal(t, r.node.Snapshot().ReadRetryPause, want)
	}
}

// Hosts of other zones read for this one as long as they report answers that are fresh. When its zone is cut off from
// theirs, the host must read by itself before its state is older than the bound for readers.
func TestHostThatIsCutOffFromTheReadersReadsByItself(t *testing.T) {
	r := &readers{routedHost: newRoutedHost(t)}
	for _, peer := range readerPeers {
		r.heartbeat(peer, "b")
	}
	r.report(100*time.Millisecond, 1)
	assert.Assert(t, !r.reads())
	r.run(950 * time.Millisecond)
	assert.Assert(t, !r.reads(), "their answers are fresh enough")
	r.run(100 * time.Millisecond)
	assert.Assert(t, r.reads(), "nothing was heard of them for 1.1 s")
}

func TestOutageSeenByReadersIsKnownToOtherHosts(t *testing.T) {
	r := newReaders(t)
	r.report(100*time.Millisecond, 1)
	r.run(4 * time.Second)
	for _, peer := range readerPeers {
		r.heartbeat(peer, "a")
	}
	r.report(0, 1)
	// The next list lacks a target whose entry expired during the outage. It stays in use, since it may be listed again.
	r.step(node.HostsReceived{List: targetList(2, "e1", "e2", "s1", "s2"), Source: "10.0.0.2:2"})
	r.step(node.Tick{})
	assert.Equal(t, len(r.node.Snapshot().TargetAddresses), 3, "engines")
}
