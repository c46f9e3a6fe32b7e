package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/rendezvous"

	"gotest.tools/v3/assert"
)

// fetchFleet is a host of zone a among ten peers in each of the zones a and b.
type fetchFleet struct {
	*readers
	near, far string
}

// newFetchFleet returns a fleet in which the host is, or is not, one of the two of its zone that fetch from other zones.
func newFetchFleet(t *testing.T, fetcher bool) *fetchFleet {
	t.Helper()
	const self = "10.0.0.1:2"
	f := &fetchFleet{readers: &readers{routedHost: newRoutedHost(t)}}
	for i, added := 0, 0; added < 10; i++ {
		peer := fmt.Sprintf("10.1.0.%d:2", i)
		if (rendezvous.Position("fetch", self, []string{self, peer}) == 0) != fetcher {
			continue
		}
		added++
		f.near = peer
		f.heartbeat(peer, "a")
		f.far = fmt.Sprintf("10.2.0.%d:2", i)
		f.heartbeat(f.far, "b")
	}
	return f
}

// offers delivers a digest from a peer that has a newer configuration, and reports whether the host fetches it.
func (f *fetchFleet) offers(peer string) bool {
	f.sequence++
	digest := loadshare.Digest{Peer: peer, Incarnation: "j", Sequence: f.sequence}
	digest.Freshness = loadshare.Freshness{Age: -1, Config: conf.Version{Revision: 9}}
	f.step(node.LoadsReceived{From: peer, Bundle: loadshare.Bundle{Digests: []loadshare.Digest{digest}}})
	return slices.ContainsFunc(f.actions, func(a node.Action) bool {
		fetch, ok := a.(node.FetchDocument)
		return ok && fetch.Peer == peer
	})
}

// A new configuration spreads to 77 hosts: if each fetched it from the host that read it, that one would send it 76 times.
func TestVersionIsFetchedFromTheOwnZoneFirst(t *testing.T) {
	f := newFetchFleet(t, false)
	assert.Assert(t, !f.offers(f.far), "a host of the own zone will have it soon")
	assert.Assert(t, f.offers(f.near))
}

func TestVersionIsFetchedFromAnotherZoneIfTheOwnHasItNot(t *testing.T) {
	f := newFetchFleet(t, false)
	assert.Assert(t, !f.offers(f.far))
	f.after(250 * time.Millisecond)
	assert.Assert(t, !f.offers(f.far))
	f.after(100 * time.Millisecond)
	assert.Assert(t, f.offers(f.far))
}

func TestFewHostsOfAZoneFetchFromOthersAtOnce(t *testing.T) {
	f := newFetchFleet(t, true)
	assert.Assert(t, f.offers(f.far))
}

func TestNewVersionIsAnnouncedToTheOwnZoneAndToFewHostsOfOthers(t *testing.T) {
	f := newFetchFleet(t, false)
	f.publish(9)
	announced := make(map[string]int)
	for _, a := range f.actions {
		if hb, ok := a.(node.SendHeartbeat); ok && hb.Heartbeat.Revision == 9 {
			announced[hb.Peer[:5]]++
		}
	}
	assert.DeepEqual(t, announced, map[string]int{"10.1.": 10, "10.2.": 2})
	digests := 0
	for _, a := range f.actions {
		if loads, ok := a.(node.SendLoads); ok && loads.Bundle.Digests[0].Freshness.Config.Revision == 9 {
			digests++
		}
	}
	assert.Assert(t, digests > 0, "the others learn of it by a load digest")
}

// TestRefusedHostListIsNotFetchedAgainAtOnce guards against a host list that is fetched twice a second although it is invalid, and
// against a line in the log each time.
func TestRefusedHostListIsNotFetchedAgainAtOnce(t *testing.T) {
	f := newFetchFleet(t, false)
	offers := func(revision uint64) bool {
		f.sequence++
		digest := loadshare.Digest{Peer: f.near, Incarnation: "j", Sequence: f.sequence}
		digest.Freshness = loadshare.Freshness{Age: -1, Hosts: conf.Version{Revision: revision}}
		f.step(node.LoadsReceived{From: f.near, Bundle: loadshare.Bundle{Digests: []loadshare.Digest{digest}}})
		return slices.ContainsFunc(f.actions, func(a node.Action) bool { _, ok := a.(node.FetchHosts); return ok })
	}
	refused := func(why string) bool {
		f.step(node.HostsRefused{Source: f.near, Why: why})
		return slices.ContainsFunc(f.actions, func(a node.Action) bool {
			change, ok := a.(node.StateChange)
			return ok && change.Event == node.EventHostsRefused
		})
	}
	assert.Assert(t, offers(1000))
	assert.Assert(t, refused("a"))
	assert.Assert(t, !refused("a"), "it is reported once")
	assert.Assert(t, refused("b"))
	f.run(time.Second)
	assert.Assert(t, !offers(1000))
	assert.Assert(t, offers(1001), "a newer one is fetched")
	refused("b")
	f.run(11 * time.Second)
	f.heartbeat(f.near, "a")
	assert.Assert(t, offers(1001))
}

// TestTextOfAPeerThatIsNoDocumentIsRefused guards against a peer's text that is dropped without a trace, and fetched again and again.
func TestTextOfAPeerThatIsNoDocumentIsRefused(t *testing.T) {
	f := newFetchFleet(t, false)
	assert.Assert(t, f.offers(f.near))
	f.step(node.DocumentFetched{Version: conf.Version{Digest: 7}, Raw: []byte("x"), Source: f.near})
	assert.Equal(t, len(f.actions), 1)
	change, ok := f.actions[0].(node.StateChange)
	assert.Assert(t, ok && change.Event == node.EventRejected, "%v", f.actions)
	f.run(time.Second)
	assert.Assert(t, !f.offers(f.near))
}
