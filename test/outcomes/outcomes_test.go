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
	// maxShown is the number of faults that a failing test prints.
	maxShown = 10
)

// TestMain collects garbage less often, since little of what the schedules allocate stays in use.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// tally counts the final outcomes of non-idempotent requests in the schedules of one kind.
type tally struct {
	calls, unknownArrived int
	byOutcome             map[api.Outcome]int
	// unknown counts unknown outcomes by code.
	unknown map[api.Code]int
}

// runAll runs count schedules, numbered from first in steps, on all processors. It returns the faults in order of the
// schedules, and the tallies by kind.
func runAll(count, first, step int, without mechanism) ([]string, map[string]*tally) {
	found := make([][]string, count)
	oracles := make([]*oracle, count)
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
				oracles[i] = s.oracle
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
		tallies[name].add(oracles[i])
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

func TestRandomSchedulesKeepEveryGuarantee(t *testing.T) {
	faults, tallies := runAll(schedules, 0, 1, none)
	var names []string
	for name := range tallies {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		sum := tallies[name]
		t.Logf("%-22s %5d calls: %v; unknown %.1f%%, of these %d arrived, by code %v", name, sum.calls, sum.byOutcome,
			100*float64(sum.byOutcome[api.OutcomeUnknown])/float64(sum.calls), sum.unknownArrived, sum.unknown)
	}
	noFault := tallies["no fault"]
	assert.Assert(t, noFault.byOutcome[api.OutcomeDone]*10 > noFault.calls*8, "too few requests ran: %v", noFault.byOutcome)
	assert.Equal(t, noFault.byOutcome[api.OutcomeUnknown], noFault.unknownArrived, "without a fault every unknown request must have arrived")
	logFaults(t, faults)
	assert.Equal(t, len(faults), 0)
}

func logFaults(t *testing.T, faults []string) {
	for _, fault := range faults[:min(maxShown, len(faults))] {
		t.Log(fault)
	}
}
