package target

import (
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"
)

// Pauses after failures.
const (
	// firstPause follows a first failure of a target; it doubles with each further one up to lastPause.
	firstPause = 500 * time.Millisecond
	lastPause  = 8 * time.Second
	// linkPause follows a target's failure while this host's own link is suspected: no target is at fault, so each
	// is tried again soon.
	linkPause = 500 * time.Millisecond
	// zonePause follows any failure in a suspected availability zone, for all of its targets; the one that failed
	// waits twice as long, so that others are tried before it.
	zonePause = time.Second
	// failingFor is how long a target that is not tried again counts as failing.
	failingFor = 15 * time.Second
	// zoneFailures is the least number of failing targets that makes a zone suspect.
	zoneFailures = 2
)

// Suspects names what lies between this host and its targets and is suspected in their place.
type Suspects struct {
	// Link is true when this host's own link is suspected.
	Link bool
	// Zones are the suspected availability zones, sorted.
	Zones []string
}

// evidence is what this host has seen of failures. Each host judges by its own dispatches alone: what one host can't
// reach says nothing of what others can.
//
// More than half of a zone's targets failing, and at least two, point at the zone; more than half of all targets,
// in more than half of the zones, point at the own link. What is suspected in the targets' place shortens the time
// that they stay out of routing, and one answer from a target that had failed clears it.
type evidence struct {
	zones map[string]*zoneEvidence
	live  int
}

type zoneEvidence struct {
	live     int
	failing  map[string]*Target
	lastFail core.Time
}

func newEvidence() *evidence { return &evidence{zones: make(map[string]*zoneEvidence)} }

func (e *evidence) zone(name string) *zoneEvidence {
	z := e.zones[name]
	if z == nil {
		z = &zoneEvidence{failing: make(map[string]*Target)}
		e.zones[name] = z
	}
	return z
}

// count takes the targets of a new host list.
func (e *evidence) count(targets []*Target) {
	e.live = 0
	for _, z := range e.zones {
		z.live = 0
	}
	for _, t := range targets {
		if t.State != hostlist.StateLive {
			e.forget(t)
			continue
		}
		e.zone(t.Zone).live++
		e.live++
	}
}

func (e *evidence) forget(t *Target) {
	for _, z := range e.zones {
		delete(z.failing, t.Address)
	}
}

func (e *evidence) failed(now core.Time, t *Target) {
	t.suspectUntil = now + min(firstPause<<min(t.failures, 8), lastPause)
	t.failures++
	t.failedAt = now
	z := e.zone(t.Zone)
	z.lastFail = now
	if t.State == hostlist.StateLive {
		z.failing[t.Address] = t
	}
	e.expire(now)
}

// expire forgets old failures. Those of a suspected zone are kept together, since few of its targets are tried.
func (e *evidence) expire(now core.Time) {
	for _, z := range e.zones {
		if z.suspected() && now-z.lastFail < failingFor {
			continue
		}
		for address, t := range z.failing {
			if now-t.failedAt >= failingFor {
				delete(z.failing, address)
			}
		}
	}
}

func (e *evidence) answered(t *Target) {
	z := e.zone(t.Zone)
	_, failed := z.failing[t.Address]
	switch {
	case failed && e.linkSuspected():
		for _, zone := range e.zones {
			zone.clear()
		}
	case failed && z.suspected():
		z.clear()
	}
	delete(z.failing, t.Address)
	t.failures = 0
	t.suspectUntil = 0
}

func (z *zoneEvidence) clear() {
	for _, t := range z.failing {
		t.failures = 0
		t.suspectUntil = 0
	}
	clear(z.failing)
}

func (z *zoneEvidence) suspected() bool {
	return len(z.failing) >= zoneFailures && 2*len(z.failing) > z.live
}

func (e *evidence) linkSuspected() bool {
	failing, suspected, zones := 0, 0, 0
	for _, z := range e.zones {
		if z.live == 0 {
			continue
		}
		zones++
		failing += len(z.failing)
		if 2*len(z.failing) > z.live {
			suspected++
		}
	}
	return failing >= zoneFailures && 2*failing > e.live && 2*suspected > zones
}

// until is the instant from which a target is eligible again.
func (e *evidence) until(t *Target) core.Time {
	z := e.zone(t.Zone)
	switch {
	case t.failures == 0 && !z.suspected():
		return 0
	case e.linkSuspected():
		if t.failures == 0 {
			return 0
		}
		return t.failedAt + linkPause
	case z.suspected():
		return max(z.lastFail+zonePause, t.failedAt+2*zonePause)
	}
	return t.suspectUntil
}

func (e *evidence) suspects(now core.Time) Suspects {
	e.expire(now)
	s := Suspects{Link: e.linkSuspected()}
	for name, z := range e.zones {
		if z.suspected() {
			s.Zones = append(s.Zones, name)
		}
	}
	slices.Sort(s.Zones)
	return s
}
