package quarantine

import (
	"fmt"
	"math"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"

	"gotest.tools/v3/assert"
)

const (
	repeated core.WorkID = 0x3ea
	polled   core.WorkID = 0x900
)

// beginWork begins a dispatch of a plain request to a process.
func (h *host) beginWork(process string, works ...core.WorkID) target.Dispatch {
	h.serial++
	d := target.Dispatch{Key: core.Key{ID: fmt.Sprint(h.serial)}, Number: 1}
	h.Begin(h.now, Run{Dispatch: d, Works: works, Process: target.Process{Address: process, Instance: process}, Plain: true})
	return d
}

// loseWork runs a plain request that is cut after 70 ms.
func (h *host) loseWork(process string, works ...core.WorkID) {
	d := h.beginWork(process, works...)
	h.now += 70 * time.Millisecond
	h.Lost(h.now, d)
}

// serveWork runs a plain request to its whole answer.
func (h *host) serveWork(works ...core.WorkID) {
	d := h.beginWork("sound", works...)
	h.now += 15 * time.Millisecond
	h.Done(h.now, d, nil, works)
}

// loseWorkApart loses a request at several processes, three seconds apart, and waits for a verdict.
func (h *host) loseWorkApart(count int, works ...core.WorkID) {
	for range count {
		h.loseWork(fmt.Sprint("process-", h.serial), works...)
		h.pass(3 * time.Second)
	}
}

// TestRequestThatEndsThreeTargetsIsWithheld guards against a request without a prompt that is never blamed, though nothing else
// is served meanwhile.
func TestRequestThatEndsThreeTargetsIsWithheld(t *testing.T) {
	h := newHost("a")
	h.loseWorkApart(2, repeated)
	assert.Assert(t, h.Withholds(nil, []core.WorkID{repeated}) == nil)
	h.loseWorkApart(1, repeated)
	v := h.Withholds(nil, []core.WorkID{repeated})
	assert.Assert(t, v != nil)
	assert.Equal(t, v.Ends, 3)
	assert.Assert(t, h.Withholds(nil, []core.WorkID{polled}) == nil)
	assert.Assert(t, h.Withholds([]core.PartID{first}, nil) == nil)
}

// TestHostsTakeTurnsAfterTwoEnds guards against a request that takes down all targets of a service at a time.
func TestHostsTakeTurnsAfterTwoEnds(t *testing.T) {
	h := newHost("a")
	h.loseWork("one", repeated)
	assert.Assert(t, h.Restrains(nil, []core.WorkID{repeated}) == nil)
	h.loseWork("two", repeated)
	r := h.Restrains(nil, []core.WorkID{repeated})
	assert.Assert(t, r != nil && r.Verdict == nil && !r.Running)
	assert.Equal(t, r.Next, h.now+firstTrialAfter)
	d := h.beginWork("three", repeated)
	assert.Assert(t, h.Restrains(nil, []core.WorkID{repeated}).Running)
	h.Done(h.now, d, nil, []core.WorkID{repeated})
	assert.Assert(t, h.Restrains(nil, []core.WorkID{repeated}) == nil)
}

// TestProofClearsARequestButNotLaterLosses guards against a poll that is blamed for accidents between its answers, and against a
// request that ends targets from some time on and is trusted for its answers before.
func TestProofClearsARequestButNotLaterLosses(t *testing.T) {
	h := newHost("a")
	for range 10 {
		h.loseWorkApart(2, polled)
		h.serveWork(polled)
	}
	assert.Equal(t, len(h.Verdicts()), 0)
	h.pass(5 * time.Minute)
	h.serveWork(polled)
	h.loseWorkApart(3, polled)
	assert.Equal(t, len(h.Verdicts()), 1)
}

// TestEndsAtOneMomentAreNoEvidenceAgainstARequest guards against a service that loses power while several of its targets run the
// same request.
func TestEndsAtOneMomentAreNoEvidenceAgainstARequest(t *testing.T) {
	h := newHost("a")
	var cut []target.Dispatch
	for i := range 3 {
		cut = append(cut, h.beginWork(fmt.Sprint("process-", i), polled))
	}
	h.now += 10 * time.Millisecond
	for _, d := range cut {
		h.Lost(h.now, d)
	}
	h.pass(10 * time.Second)
	assert.Equal(t, len(h.Verdicts()), 0)
}

// TestRunUnderWayMayProveARequestHarmless guards against a verdict that does not wait for the answers to a request that is
// always under way.
func TestRunUnderWayMayProveARequestHarmless(t *testing.T) {
	h := newHost("a")
	for i := range 2 {
		h.loseWork(fmt.Sprint("process-", i), polled)
		h.pass(time.Second)
	}
	d := h.beginWork("sound", polled)
	h.loseWork("third", polled)
	h.Tick(h.now)
	assert.Equal(t, len(h.Verdicts()), 0)
	h.Done(h.now, d, nil, []core.WorkID{polled})
	h.pass(5 * time.Second)
	assert.Equal(t, len(h.Verdicts()), 0)
}

// TestRequestLostInAWaveIsNotBlamed guards against a request that is always under way and that is blamed for a wave of ends after a
// calm time, with which other requests are lost too.
func TestRequestLostInAWaveIsNotBlamed(t *testing.T) {
	const others core.WorkID = 0x1000
	h := newHost("a")
	var served []target.Dispatch
	for i := range 20 {
		served = append(served, h.beginWork("sound", others+core.WorkID(2*i)))
	}
	h.now += 1500 * time.Millisecond
	for i, d := range served {
		h.Done(h.now, d, nil, []core.WorkID{others + core.WorkID(2*i)})
	}
	var ended [][]target.Dispatch // by process
	for i := range 10 {
		ended = append(ended, []target.Dispatch{h.beginWork(fmt.Sprint("process-", i), others+core.WorkID(2*i))})
		if i%2 == 0 {
			ended[i] = append(ended[i], h.beginWork(fmt.Sprint("process-", i), polled))
		}
	}
	for _, dispatches := range ended {
		h.pass(100 * time.Millisecond)
		for _, d := range dispatches {
			h.Lost(h.now, d)
		}
	}
	h.pass(10 * time.Second)
	assert.Equal(t, len(h.Verdicts()), 0)
}

// TestMoreSpecificWorkIsBlamedFirst guards against a prompt that is withheld for another one with the same path and body.
func TestMoreSpecificWorkIsBlamedFirst(t *testing.T) {
	const path core.WorkID = 0x9a7 // a general one
	h := newHost("a")
	h.loseWorkApart(4, repeated, path)
	assert.Equal(t, len(h.Verdicts()), 1)
	assert.Equal(t, h.Verdicts()[0].Work, repeated)
	h = newHost("a")
	for i := range 4 {
		h.loseWorkApart(1, core.WorkID(2*i+2), path)
	}
	assert.Equal(t, len(h.Verdicts()), 1)
	assert.Equal(t, h.Verdicts()[0].Work, path)
}

// TestRequestThatComesAgainIsNoEvidenceAgainstItsParts guards against a document that is blamed because one request with it came
// often.
func TestRequestThatComesAgainIsNoEvidenceAgainstItsParts(t *testing.T) {
	h := newHost("a")
	for i := range 6 {
		h.serve(20, first)
		h.serial++
		d := target.Dispatch{Key: core.Key{ID: fmt.Sprint(h.serial)}, Number: 1}
		process := fmt.Sprint("process-", i)
		h.Begin(h.now, Run{
			Dispatch: d, Parts: []core.PartID{document}, Works: []core.WorkID{repeated}, Exposure: 500 * time.Millisecond,
			Process: target.Process{Address: process, Instance: process},
		})
		h.pass(100 * time.Millisecond)
		h.Lost(h.now, d)
		h.pass(3 * time.Second)
	}
	assert.Equal(t, len(h.Verdicts()), 1)
	assert.Equal(t, h.Verdicts()[0].Work, repeated)
}

// TestRequestIsLetThroughTwiceForGood guards against targets that are spent on a request that nothing will mend.
func TestRequestIsLetThroughTwiceForGood(t *testing.T) {
	h := newHost("a")
	h.loseWorkApart(3, repeated)
	v := h.Verdicts()[0]
	for _, after := range workProbeAfter {
		assert.Equal(t, v.NextProbe(), max(v.Since, v.ProbedAt)+after)
		h.now = v.NextProbe()
		h.Probe(h.now, v)
		h.loseWork(fmt.Sprint("probe-", v.Probes), repeated)
	}
	assert.Equal(t, v.NextProbe(), NotAgain)
	h.now += 10 * time.Minute
	h.Release(h.now, v)
	assert.Assert(t, h.Restrains(nil, []core.WorkID{repeated}) == nil)
}

// TestHostsOfOtherCellsLearnOfARequest guards against evidence on a request that stays within a cell: it comes to any host.
func TestHostsOfOtherCellsLearnOfARequest(t *testing.T) {
	hosts := []*host{newHost("a"), newHost("b"), newHost("c")}
	hosts[1].now = time.Hour // their clocks differ
	for i, h := range hosts {
		h.loseWork(fmt.Sprint("process-", i), repeated)
		for _, other := range hosts {
			other.pass(200 * time.Millisecond)
			if other != h {
				p := h.Published().OfOtherCells()
				other.Receive(other.now, Sender{Peer: h.self, Incarnation: "1", Clock: h.now}, HostRates{}, &p)
			}
		}
	}
	for _, h := range hosts {
		h.pass(3 * time.Second)
		assert.Equal(t, len(h.Verdicts()), 1, h.self)
		assert.Equal(t, h.Verdicts()[0].Work, repeated)
	}
}

// BenchmarkRequestInAWave measures a loss and a tick while targets end all the time, and one request is lost again and again.
func BenchmarkRequestInAWave(b *testing.B) {
	h := newHost("a")
	h.serve(20, first)
	for i := 0; b.Loop(); i++ {
		h.loseWork(fmt.Sprint("t-", i), core.WorkID(1000+i%60), core.WorkID(2000+i))
		h.now += 100 * time.Millisecond
		h.Tick(h.now)
	}
}

// TestHostWithABrokenLinkBlamesNoRequest guards against a host that loses its own requests at all targets, which go on: other
// hosts see them alive.
func TestHostWithABrokenLinkBlamesNoRequest(t *testing.T) {
	cut, sound := newHost("a"), newHost("b")
	for i := range 3 {
		cut.loseWork(fmt.Sprint("process-", i), polled)
		cut.pass(3 * time.Second)
		sound.now = cut.now
		tell(cut, sound)
	}
	assert.Equal(t, len(cut.Verdicts()), 1)
	sound.pass(time.Second)
	for i := range 3 {
		sound.Alive(sound.now, target.Process{Address: fmt.Sprint("process-", i), Instance: fmt.Sprint("process-", i)})
	}
	cut.now = sound.now
	tell(sound, cut)
	assert.Equal(t, len(cut.Verdicts()), 0)
	tell(cut, sound)
	assert.Equal(t, len(sound.Verdicts()), 0)
	assert.Assert(t, cut.Restrains(nil, []core.WorkID{polled}) == nil)
}

// TestLossAtAProcessWithoutANameIsNoEnd guards against a request that is blamed where nothing can show that a target lives on.
func TestLossAtAProcessWithoutANameIsNoEnd(t *testing.T) {
	h := newHost("a")
	for i := range 6 {
		d := target.Dispatch{Key: core.Key{ID: fmt.Sprint(i)}, Number: 1}
		h.Begin(h.now, Run{Dispatch: d, Works: []core.WorkID{polled}, Process: target.Process{Address: fmt.Sprint("t-", i)}, Plain: true})
		h.now += 70 * time.Millisecond
		h.Lost(h.now, d)
		h.pass(3 * time.Second)
	}
	assert.Equal(t, len(h.Verdicts()), 0)
}

// TestRunsAreWeighedExactly guards against evidence that is too weak where a work has few runs: three of three that are lost are
// less likely than three events where as many are expected.
func TestRunsAreWeighedExactly(t *testing.T) {
	chances := []float64{0.1, 0.2, 0.5}
	alone := lossesTail([]*loss{{}, {}, {}}, chances)
	assert.Assert(t, math.Abs(alone-0.1*0.2*0.5) < 1e-12, "%g", alone)
	// Of three runs with a chance of 0.5, two or three are lost in 4 of 8 cases.
	beside := lossesTail([]*loss{{beside: 1}, {}}, []float64{0.5, 0.5})
	assert.Assert(t, math.Abs(beside-0.5) < 1e-12, "%g", beside)
}
