package target

import (
	"time"

	"carobshunt/internal/core"
)

// Times without a sign of life after which a target that has work of this host counts as hung.
const (
	// streamSilence is for an engine that writes, readSilence for one that has not read a prompt in the time that it
	// should take, beyond that time.
	streamSilence = 1800 * time.Millisecond
	readSilence   = 2 * time.Second
	// callSilence is for a plain service.
	callSilence = 500 * time.Millisecond
)

// hungRequests is how many requests of this host must wait for a target before it counts as hung: a single one may be
// slow for reasons of its own, and probes of its connection tell of a target that is gone.
const hungRequests = 2

// Heard notes a sign of life.
func (t *Target) Heard(now core.Time) { t.heard = now }

// HeardSince tells whether the target gave a sign of life after an instant.
func (t *Target) HeardSince(at core.Time) bool { return t.heard > at }

// Hung tells whether the target owes this host a sign of life for too long.
func (t *Target) Hung(now core.Time) bool {
	overdue := 0
	for _, p := range t.inFlight {
		if p.load.Streams > 0 && t.overdue(now, p) {
			overdue++
		}
	}
	return overdue >= hungRequests
}

func (t *Target) overdue(now core.Time, p *placed) bool {
	since := max(t.heard, p.begun)
	switch {
	case t.Engine == nil:
		return now-since >= callSilence
	case p.written:
		return now-since >= streamSilence
	}
	return now >= p.due+readSilence && t.heard < p.begun
}
