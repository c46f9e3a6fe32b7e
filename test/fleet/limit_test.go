package fleet

import (
	"fmt"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

// A target that names a limit gets, from stableTime after it first did, in any limitWindow at most limitFactor times what
// the limit allows, and limitSlack requests more. Counted are the hosts that had passed on such an answer tellTime before
// or earlier.
const (
	stableTime  = 3 * time.Second
	limitWindow = 4 * time.Second
	tellTime    = 500 * time.Millisecond
	limitFactor = 1.5
	limitSlack  = 5
)

// limitUse is how a target's limit was used.
type limitUse struct {
	// most is the largest number of requests in a window that count, allowed the largest that is allowed.
	most    int
	allowed float64
	// share is the part of the limit that was used, by all hosts, from stableTime after it was first named.
	share float64
}

// limitUse counts the arrivals until now at a target that has named the same limit all the while.
func (t *target) limitUse() limitUse {
	rate := t.notice.Limit
	from := t.limitedSince + stableTime
	use := limitUse{allowed: limitFactor*rate*limitWindow.Seconds() + limitSlack}
	total := 0
	var window []virtual.Time
	for _, a := range t.arrivals {
		if a.at >= from {
			total++
		}
		if a.excused || a.told == never || a.at < a.told+tellTime {
			continue
		}
		window = append(window, a.at)
		for window[0] <= a.at-limitWindow {
			window = window[1:]
		}
		if a.at >= from {
			use.most = max(use.most, len(window))
		}
	}
	use.share = float64(total) / (rate * (t.fleet.world.Now() - from).Seconds())
	return use
}

// TestTargetGetsNoMoreThanTheLimitThatItNames guards against hosts that go on sending to a target by its load alone after
// it has named the requests a second that it takes from all of them together.
func TestTargetGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	for _, rate := range []float64{0.3, 1.7, 20} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			f := newFleet(t, fleetOptions{hosts: 4, engines: 6, desks: 3, seed: 1})
			until := f.world.Now() + 60*time.Second
			for _, h := range f.hosts {
				f.send(h, pathAsk, 12, until)
				f.send(h, pathRead, 30, until)
			}
			f.world.Run(f.world.Now() + 5*time.Second)
			limited := append(f.targets[:2:2], f.targets[6:]...)
			for _, target := range limited {
				target.nameLimit(rate)
			}
			f.world.Run(until)
			for _, target := range limited {
				use := target.limitUse()
				assert.Check(t, float64(use.most) <= use.allowed, "%s got %d in 4 s, allowed %g", target.address, use.most, use.allowed)
			}
		})
	}
}

// TestEndOfALimitIsLearnedFromAnswers guards against a limit that stays in force after the target has ceased to name it, at
// the host that sent to it or at the others.
func TestEndOfALimitIsLearnedFromAnswers(t *testing.T) {
	f := newFleet(t, fleetOptions{hosts: 4, engines: 1, desks: 1, seed: 2})
	desk := f.targets[1]
	until := f.world.Now() + 40*time.Second
	for _, h := range f.hosts {
		f.send(h, pathRead, 5, until)
	}
	desk.nameLimit(1)
	f.world.Run(f.world.Now() + 15*time.Second)
	desk.endLimit()
	ended := f.world.Now()
	f.world.Run(until)
	late := 0
	for _, a := range desk.arrivals {
		if a.at >= ended+2*time.Second {
			late++
		}
	}
	assert.Assert(t, late > 400, "%d of about 460 requests reach the target after the limit has ended", late)
	for _, h := range f.hosts {
		assert.Assert(t, h.Snapshot().Status.Targets[1].Limit == 0)
	}
}

// TestRefusalBecauseOfALimitTellsWhenToComeBack guards against requests that wait for a limited target until their time is
// over: what the limit does not allow soon is refused at once, as not run, with a time that fits the limit.
func TestRefusalBecauseOfALimitTellsWhenToComeBack(t *testing.T) {
	f := newFleet(t, fleetOptions{hosts: 4, engines: 1, desks: 1, seed: 3})
	f.targets[1].nameLimit(0.5)
	until := f.world.Now() + 30*time.Second
	for _, h := range f.hosts {
		f.send(h, pathRead, 10, until)
	}
	f.world.Run(f.world.Now() + 5*time.Second)
	f.refusals = nil
	f.world.Run(until)
	assert.Assert(t, len(f.refusals) > 900, "%d", len(f.refusals))
	for _, r := range f.refusals {
		assert.Equal(t, r.Outcome, api.OutcomeNotRun)
		assert.Equal(t, r.Code, api.CodeTargetLimit)
		assert.Assert(t, r.waited <= 350*time.Millisecond, "%v", r.waited)
		assert.Assert(t, r.RetryAfter >= 250*time.Millisecond && r.RetryAfter <= 12*time.Second, "%v", r.RetryAfter)
	}
}
