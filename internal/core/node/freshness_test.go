package node_test

import (
	"testing"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

// A fleet whose platform lists no entry hosts: a few hosts read, the others hear from them.

// readers are peers of an edge in its availability zone.
type readers struct {
	*edge
	sequence uint64
	// pulled tells whether a document was asked for.
	pulled bool
}

var readerPeers = []string{"10.0.0.2:2", "10.0.0.3:2", "10.0.0.4:2", "10.0.0.5:2", "10.0.0.6:2", "10.0.0.7:2", "10.0.0.8:2", "10.0.0.9:2"}

func newReaders(t *testing.T) *readers {
	r := &readers{edge: newEdge(t)}
	for _, peer := range readerPeers {
		r.beat(peer, "a")
	}
	return r
}

func (r *readers) beat(peer, zone string) {
	hb := node.HeartbeatHeard{}
	hb.Heartbeat.Peer, hb.Heartbeat.Incarnation, hb.Heartbeat.Zone = peer, "j", zone
	hb.Heartbeat.ClockMs, hb.Heartbeat.IntervalMs = r.now.Milliseconds(), 1600
	hb.Heartbeat.LoadsAddress = peer + "3"
	r.step(hb)
}

// tell has all peers tell how long ago the platform answered them.
func (r *readers) tell(age time.Duration, configRevision uint64) {
	r.sequence++
	for _, peer := range readerPeers {
		r.step(node.LoadsHeard{Peer: peer, Incarnation: "j", Sequence: r.sequence, Freshness: node.Freshness{
			Age: age, Config: conf.Version{Revision: configRevision},
		}})
		for _, a := range r.actions {
			_, pull := a.(node.PullDocument)
			r.pulled = r.pulled || pull
		}
	}
	r.step(node.Tick{})
}

func (r *readers) reads() bool { return r.node.Snapshot().Reads }

func TestHostReadsInThePlaceOfThoseThatThePlatformDoesNotAnswer(t *testing.T) {
	r := newReaders(t)
	assert.Assert(t, r.reads(), "nobody has told that the platform answers")
	r.tell(100*time.Millisecond, 1)
	assert.Assert(t, !r.reads(), "eight others are fresh, and two of them rank before it")
	r.after(1200 * time.Millisecond).step(node.Tick{})
	assert.Assert(t, r.reads(), "nobody is fresh any more")
	r.tell(-1, 1)
	assert.Assert(t, r.reads(), "the platform never answered them")
}

func TestHostReadsWhenItCouldNotGetWhatAReaderHas(t *testing.T) {
	r := newReaders(t)
	r.tell(100*time.Millisecond, 9)
	assert.Assert(t, r.pulled && !r.reads(), "their configuration is newer than its own and asked for")
	r.run(600 * time.Millisecond)
	r.tell(100*time.Millisecond, 9)
	assert.Assert(t, r.reads(), "it did not come")
	r.publish(9)
	r.tell(100*time.Millisecond, 9)
	assert.Assert(t, !r.reads())
}

func TestManyHostsAskAStoreThatIsDownNoMoreOftenThanFew(t *testing.T) {
	assert.Equal(t, newEdge(t).node.Snapshot().ReadRetryPause, 200*time.Millisecond)
	assert.Equal(t, newReaders(t).node.Snapshot().ReadRetryPause, 450*time.Millisecond, "nine hosts")
}

func TestHostsOfOtherZonesDoNotReadForThisOne(t *testing.T) {
	r := &readers{edge: newEdge(t)}
	for _, peer := range readerPeers {
		r.beat(peer, "b")
	}
	r.tell(100*time.Millisecond, 1)
	assert.Assert(t, r.reads())
}

func TestOutageThatOnlyReadersSawIsKnownToTheOthers(t *testing.T) {
	r := newReaders(t)
	r.tell(100*time.Millisecond, 1)
	r.run(4 * time.Second)
	for _, peer := range readerPeers {
		r.beat(peer, "a")
	}
	r.tell(0, 1)
	// The list that follows lacks a target that lapsed meanwhile: it is still served, as it may be back.
	r.step(node.HostsHeard{List: edgeHosts(2, "e1", "e2", "s1", "s2"), Source: "10.0.0.2:2"})
	r.step(node.Tick{})
	assert.Equal(t, len(r.node.Snapshot().TargetAddresses), 3, "engines")
}
