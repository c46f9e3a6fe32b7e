package outcomes

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"sort"
	"sync"
	"testing"

	"carobshunt/api"

	"gotest.tools/v3/assert"
)

const (
	schedules = 10_000
	seed      = 4
	// shown is how many faults a failing test prints.
	shown = 10
)

// TestMain collects garbage less often: the schedules make little that lasts.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// tally sums up what callers took away from the schedules of one kind.
type tally struct {
	calls, unknownArrived int
	byOutcome             map[api.Outcome]int
	// unknown counts unknown outcomes by code.
	unknown map[api.Code]int
}

// runAll runs schedules, numbered in steps, on all processors and returns what the oracles found, in order.
func runAll(count, first, step int, without mechanism) ([]string, map[string]*tally) {
	found := make([][]string, count)
	finals := make([]*oracle, count)
	var wg sync.WaitGroup
	workers := runtime.GOMAXPROCS(0)
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := w; i < count; i += workers {
				number := first + i*step
				s := newSchedule(seed, number, without)
				for _, fault := range s.run() {
					found[i] = append(found[i], fmt.Sprintf("schedule %d (%s): %s", number, s.kind.name, fault))
				}
				finals[i] = s.oracle
			}
		}()
	}
	wg.Wait()
	var faults []string
	tallies := make(map[string]*tally)
	for i := range count {
		faults = append(faults, found[i]...)
		name := kindOf(first + i*step).name
		if tallies[name] == nil {
			tallies[name] = &tally{byOutcome: make(map[api.Outcome]int), unknown: make(map[api.Code]int)}
		}
		tallies[name].add(finals[i])
	}
	return faults, tallies
}

func (t *tally) add(o *oracle) {
	for _, f := range o.finals {
		if f.idempotent {
			continue
		}
		t.calls++
		t.byOutcome[f.outcome]++
		if f.outcome == api.OutcomeUnknown {
			t.unknown[f.code]++
			if len(o.arrivals[f.key]) > 0 {
				t.unknownArrived++
			}
		}
	}
}

func TestRandomSchedulesKeepEveryPromise(t *testing.T) {
	faults, tallies := runAll(schedules, 0, 1, nothing)
	var names []string
	for name := range tallies {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		ta := tallies[name]
		t.Logf("%-22s %5d calls: %v; unknown %.1f%%, of these %d arrived, by code %v", name, ta.calls, ta.byOutcome,
			100*float64(ta.byOutcome[api.OutcomeUnknown])/float64(ta.calls), ta.unknownArrived, ta.unknown)
	}
	quiet := tallies["no fault"]
	assert.Assert(t, quiet.byOutcome[api.OutcomeDone]*10 > quiet.calls*8, "the schedules run too little: %v", quiet.byOutcome)
	assert.Equal(t, quiet.byOutcome[api.OutcomeUnknown], quiet.unknownArrived, "without a fault a run can be excluded")
	show(t, faults)
	assert.Equal(t, len(faults), 0)
}

func show(t *testing.T, faults []string) {
	for _, fault := range faults[:min(shown, len(faults))] {
		t.Log(fault)
	}
}
