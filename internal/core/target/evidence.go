package target

import (
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"
)

// Times for which targets get no new work after failures.
const (
	// initialBackoff follows the first failure of a target; it doubles with each further one up to maxBackoff. It also
	// follows the first refusal, where it doubles up to maxRefusalBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// linkBackoff follows a target's failure while this host's own link is suspected. The targets are not at fault
	// then, so each is retried soon.
	linkBackoff = 500 * time.Millisecond
	// zoneBackoff follows any failure in a suspected availability zone, for all of its targets. The target that failed
	// waits twice as long, so that others are tried first.
	zoneBackoff = time.Second
	// failureWindow is how long a target that is not retried counts as failing.
	failureWindow = 15 * time.Second
	// minFailures is the least number of failing targets that makes a zone or this host's link suspected.
	minFailures = 2
)

// Suspects names what is suspected as the cause of failures instead of the targets themselves.
type Suspects struct {
	// Link is set when this host's own link is suspected.
	Link bool
	// Zones are the suspected availability zones, sorted.
	Zones []string
}

// evidence tracks the failures that this host has seen. Each host relies on its own dispatches alone: that one host
// can't reach a target does not mean that others can't.
//
// A zone is suspected when more than half of its targets, and at least two, are failing. This host's own link is
// suspected when at least two and more than half of all targets are failing and, in more than half of the zones, more than
// half of the zone's targets. While a zone or the link is suspected, targets stay out of routing for a fixed time instead
// of one that doubles, and one answer or refusal from a failing target clears the suspicion.
type evidence struct {
	zones map[string]*zoneEvidence
	// live is the number of live targets in the host list.
	live int
}

type zoneEvidence struct {
	// live is the number of live targets in the zone.
	live int
	// failing are the targets that failed lately, by address; lastFail is the time of the last failure in the zone.
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

// setTargets counts the live targets anew; those that are not live no longer count as failing.
func (e *evidence) setTargets(targets []*Target) {
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

// failed records a failure of a target.
func (e *evidence) failed(now core.Time, t *Target) {
	t.ejectedUntil = now + min(initialBackoff<<min(t.failures, 8), maxBackoff)
	t.failures++
	t.failedAt = now
	z := e.zone(t.Zone)
	z.lastFail = now
	if t.State == hostlist.StateLive {
		z.failing[t.Address] = t
	}
	e.expire(now)
}

// expire forgets old failures. Those of a suspected zone are kept until its last one is old, since few of its targets
// are retried.
func (e *evidence) expire(now core.Time) {
	for _, z := range e.zones {
		if z.suspected() && now-z.lastFail < failureWindow {
			continue
		}
		for address, t := range z.failing {
			if now-t.failedAt >= failureWindow {
				delete(z.failing, address)
			}
		}
	}
}

// answered records an answer or a refusal, which clears the target's failures and any suspicion that they contributed to.
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
	t.ejectedUntil = 0
}

// clear forgets the failures in the zone.
func (z *zoneEvidence) clear() {
	for _, t := range z.failing {
		t.failures = 0
		t.ejectedUntil = 0
	}
	clear(z.failing)
}

func (z *zoneEvidence) suspected() bool {
	return len(z.failing) >= minFailures && 2*len(z.failing) > z.live
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
	return failing >= minFailures && 2*failing > e.live && 2*suspected > zones
}

// eligibleAt returns the time from which a target is eligible again as far as failures go; 0 or a past time if it is now.
func (e *evidence) eligibleAt(t *Target) core.Time {
	z := e.zone(t.Zone)
	switch {
	case t.failures == 0 && !z.suspected():
		return 0
	case e.linkSuspected():
		if t.failures == 0 {
			return 0
		}
		return t.failedAt + linkBackoff
	case z.suspected():
		return max(z.lastFail+zoneBackoff, t.failedAt+2*zoneBackoff)
	}
	return t.ejectedUntil
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
