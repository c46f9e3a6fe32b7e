package node

import (
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// refuseRestricted ends the waiting requests that only targets could serve that name a limit or want no requests for a while,
// if none will take them within the time that they may wait. It refuses them at once, with the time until one will.
func (n *Node) refuseRestricted() {
	type refusal struct {
		rec   *ledger.Record
		after time.Duration
	}
	var refused []refusal
	ahead := make(map[string]int)         // waiting requests by service
	unrestricted := make(map[string]bool) // services at which requests that may run in any zone wait for another reason
	n.queue.All(n.now, func(rec *ledger.Record) {
		if rec.Request.Routed == nil {
			return
		}
		if anywhere := !rec.Request.Zones.Restricted(); anywhere && unrestricted[rec.Request.Model] {
			return
		}
		wait, restricted := n.restrictedWait(rec, ahead[rec.Request.Model])
		unrestricted[rec.Request.Model] = !restricted && !rec.Request.Zones.Restricted()
		if restricted && n.now+wait > rec.WaitingSince+rec.WaitLimit {
			refused = append(refused, refusal{rec, wait})
			return
		}
		ahead[rec.Request.Model]++
	})
	for _, r := range refused {
		n.finish(r.rec, n.restrictedResult(r.rec, r.after))
	}
}

// restrictedResult returns the result of a request whose targets take no more requests for a time.
func (n *Node) restrictedResult(rec *ledger.Record, after time.Duration) core.Result {
	return core.Result{
		Outcome:    outcomeWithoutAnswer(rec),
		Code:       api.CodeTargetLimit,
		Message:    "the targets take no more requests now",
		RetryAfter: after + n.retryAfter(overloadRetryAfter),
	}
}

// restrictedWait returns how long a request has to wait for a target behind the given number of others, if all the targets
// that could serve it name a limit or want no requests for a while. It reports false if there is another reason why it
// waits.
func (n *Node) restrictedWait(rec *ledger.Record, ahead int) (time.Duration, bool) {
	soonest := time.Duration(-1)
	for _, t := range n.targets.All() {
		if !t.Serves(rec.Request.Model) || !t.TakesNewWork() || !rec.Request.AllowsZone(t.Zone) {
			continue
		}
		wait := t.HeldFor(n.now)
		switch {
		case wait > 0:
		case !t.Limited() || !t.Eligible(n.now):
			return 0, false
		default:
			wait = n.limitWait(t, ahead)
		}
		if soonest < 0 || wait < soonest {
			soonest = wait
		}
	}
	return soonest, soonest >= 0
}

// limitElsewhere is the time after which a caller may return if only other hosts send to the targets: it may reach one of
// them.
const limitElsewhere = time.Second

// limitWait returns how long a request has to wait for a limited target behind the given number of others.
func (n *Node) limitWait(t *target.Target, ahead int) time.Duration {
	if wait, sender := t.LimitWait(n.now, ahead); sender {
		return wait
	}
	return limitElsewhere
}
