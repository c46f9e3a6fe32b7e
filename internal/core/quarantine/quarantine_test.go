package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"

	"gotest.tools/v3/assert"
)

const (
	harmful  core.PartID = 0xbad
	document core.PartID = 0xd0c
	first    core.PartID = 0xf1
)

// host drives the table of one host in virtual time.
type host struct {
	*Table
	now    core.Time
	serial int
}

func newHost(name string) *host { return &host{Table: New(name)} }

// pass lets time pass, with ticks.
func (h *host) pass(d time.Duration) {
	for end := h.now + d; h.now < end; h.now += 50 * time.Millisecond {
		h.Tick(h.now)
	}
}

// begin begins a dispatch to a process. Each prompt has a part of its own too.
func (h *host) begin(process string, parts ...core.PartID) target.Dispatch {
	h.serial++
	d := target.Dispatch{Key: core.Key{ID: fmt.Sprint(h.serial)}, Number: 1}
	own := core.PartID(1<<40 + h.serial)
	h.Begin(h.now, Run{
		Dispatch: d, Parts: append(parts, own), Process: target.Process{Address: process, Instance: process}, Exposure: 500 * time.Millisecond,
	})
	return d
}

// lose runs a prompt that is cut after 100 ms.
func (h *host) lose(process string, parts ...core.PartID) {
	d := h.begin(process, parts...)
	h.pass(100 * time.Millisecond)
	h.Lost(h.now, d)
}

// serve runs prompts that get their whole answer, side by side.
func (h *host) serve(count int, parts ...core.PartID) {
	var served []target.Dispatch
	for range count {
		served = append(served, h.begin("sound", parts...))
	}
	h.pass(300 * time.Millisecond)
	for _, d := range served {
		h.FirstEvent(h.now, d)
		h.Done(h.now, d, parts, nil)
	}
}

// loseApart loses prompts at several processes, a second apart, while others are served.
func (h *host) loseApart(count int, parts ...core.PartID) {
	for i := range count {
		h.serve(20, first)
		h.lose(fmt.Sprintf("process-%d-%d", h.serial, i), parts...)
		h.pass(time.Second)
	}
}

// TestPartOfPromptsThatEndTargetsIsWithheld guards against the loss of a target that is evidence against the target only.
func TestPartOfPromptsThatEndTargetsIsWithheld(t *testing.T) {
	h := newHost("a")
	h.loseApart(2, first, harmful)
	assert.Assert(t, h.Withholds([]core.PartID{harmful}, nil) == nil)
	h.loseApart(2, first, harmful)
	v := h.Withholds([]core.PartID{first, harmful, 77}, nil)
	assert.Assert(t, v != nil)
	assert.DeepEqual(t, v.Parts, []core.PartID{harmful})
	assert.Assert(t, h.Withholds([]core.PartID{first, 77}, nil) == nil)
}

// TestProofClearsAPart guards against parts that are blamed for ends that others caused: prompts with them are cut, and
// prompts with them do no harm.
func TestProofClearsAPart(t *testing.T) {
	h := newHost("a")
	for range 10 {
		h.loseApart(2, document)
		h.serve(1, document)
	}
	assert.Equal(t, len(h.Verdicts()), 0)
}

// TestTargetThatLivesOnProvesItsPrompts guards against prompts that stay suspects until their answer is whole: a target that
// still runs well after it has begun to write has not been ended.
func TestTargetThatLivesOnProvesItsPrompts(t *testing.T) {
	h := newHost("a")
	for i := range 6 {
		h.serve(20, first)
		process := fmt.Sprint("process-", i)
		d := h.begin(process, document)
		h.pass(100 * time.Millisecond)
		h.FirstEvent(h.now, d)
		h.pass(ProvenTime + 100*time.Millisecond)
		h.Alive(h.now, target.Process{Address: process, Instance: process})
		h.pass(100 * time.Millisecond)
		h.Lost(h.now, d)
	}
	assert.Equal(t, len(h.Verdicts()), 0)
	assert.Assert(t, h.parts.byID[document] == nil)
}

// TestEventsThatWaitedDuringASuspensionProveNothing guards against an event that was sent before the target ended, and that
// a suspended host reads long after.
func TestEventsThatWaitedDuringASuspensionProveNothing(t *testing.T) {
	h := newHost("a")
	d := h.begin("process", harmful)
	h.FirstEvent(h.now, d)
	h.now += 5 * time.Second
	h.Resumed()
	h.Alive(h.now, target.Process{Address: "process", Instance: "process"})
	h.pass(100 * time.Millisecond)
	h.Lost(h.now, d)
	assert.Assert(t, h.parts.byID[harmful] != nil)
}

// TestEndsAtOneMomentAreNoEvidence guards against a zone without power that is blamed on what ran there.
func TestEndsAtOneMomentAreNoEvidence(t *testing.T) {
	h := newHost("a")
	for range 2 {
		h.serve(50, first)
		var cut []target.Dispatch
		for i := range 20 {
			cut = append(cut, h.begin(fmt.Sprintf("process-%d-%d", h.serial, i), document))
		}
		h.pass(100 * time.Millisecond)
		for _, d := range cut {
			h.now += time.Millisecond
			h.Lost(h.now, d)
		}
		h.pass(5 * time.Second)
	}
	assert.Equal(t, len(h.Verdicts()), 0)
}

// TestTargetThatLivesOnHasNotEnded guards against prompts whose own connections break at targets that go on.
func TestTargetThatLivesOnHasNotEnded(t *testing.T) {
	h := newHost("a")
	for i := range 10 {
		h.serve(20, first)
		process := fmt.Sprint("process-", i)
		h.lose(process, document)
		h.pass(time.Second)
		h.Alive(h.now, target.Process{Address: process, Instance: process})
	}
	assert.Equal(t, len(h.Verdicts()), 0)
	assert.Equal(t, len(h.parts.byID), 0)
}

// TestNothingIsWithheldWhileNothingElseIsServed guards against a fault of all targets that is blamed on what they run.
func TestNothingIsWithheldWhileNothingElseIsServed(t *testing.T) {
	h := newHost("a")
	for i := range 30 {
		h.lose(fmt.Sprint("process-", i), first, document)
		h.pass(500 * time.Millisecond)
	}
	assert.Equal(t, len(h.Verdicts()), 0)
}

// TestVerdictNarrows guards against a verdict on all parts that the first prompts had in common, which lets others with the
// harmful one through, and against one that keeps withholding the others.
func TestVerdictNarrows(t *testing.T) {
	h := newHost("a")
	h.loseApart(4, document, harmful)
	assert.DeepEqual(t, h.Verdicts()[0].Parts, []core.PartID{harmful, document})
	h.loseApart(1, harmful)
	assert.Equal(t, len(h.Verdicts()), 1)
	assert.DeepEqual(t, h.Verdicts()[0].Parts, []core.PartID{harmful})
	assert.Assert(t, h.Withholds([]core.PartID{document}, nil) == nil)
}

// TestVerdictExplainsLosses guards against parts that are withheld because prompts with them ran beside harmful ones.
func TestVerdictExplainsLosses(t *testing.T) {
	h := newHost("a")
	for i := range 8 {
		h.serve(20, first)
		h.lose(fmt.Sprint("process-", i), harmful, document+core.PartID(i%2))
		h.pass(time.Second)
	}
	assert.Equal(t, len(h.Verdicts()), 1)
	assert.DeepEqual(t, h.Verdicts()[0].Parts, []core.PartID{harmful})
}

// tell passes on what one host tells, as of now on both clocks.
func tell(from, to *host) {
	p := from.Published()
	to.Receive(to.now, Sender{Peer: from.self, Incarnation: "1", Clock: from.now}, from.Rates(from.now), &p)
}

// TestHostsFindAPartTogether guards against hosts each of which sees too little.
func TestHostsFindAPartTogether(t *testing.T) {
	hosts := []*host{newHost("a"), newHost("b"), newHost("c"), newHost("d")}
	hosts[2].now = time.Hour // their clocks differ
	for i, h := range hosts {
		for _, other := range hosts {
			other.serve(20, first)
		}
		h.lose(fmt.Sprint("process-", i), harmful)
		for _, other := range hosts {
			other.pass(time.Second)
		}
		for _, other := range hosts {
			if other != h {
				tell(h, other)
				tell(h, other) // a loss counts once
			}
		}
	}
	for _, h := range hosts {
		h.pass(time.Second)
		assert.Equal(t, len(h.Verdicts()), 1, h.self)
		assert.Assert(t, h.Verdicts()[0].Ends >= minMoments, "%d", h.Verdicts()[0].Ends)
	}
}

// TestVerdictIsTakenOverAndEnds guards against hosts that disagree for long: one that has just started learns a verdict, and
// the proof of any host ends it at all.
func TestVerdictIsTakenOverAndEnds(t *testing.T) {
	a, b, c := newHost("a"), newHost("b"), newHost("c")
	a.loseApart(4, harmful)
	tell(a, b)
	tell(a, c)
	assert.Equal(t, len(b.Verdicts()), 1)
	assert.Equal(t, b.Verdicts()[0].By, "a")
	b.now += firstProbeAfter
	b.Probe(b.now, b.Verdicts()[0])
	b.serve(1, harmful)
	assert.Equal(t, len(b.Verdicts()), 0)
	a.now, c.now = a.now+firstProbeAfter, c.now+firstProbeAfter
	tell(b, a)
	assert.Equal(t, len(a.Verdicts()), 0)
	tell(c, a) // it has not been told yet
	assert.Equal(t, len(a.Verdicts()), 0)
	tell(a, c)
	assert.Equal(t, len(c.Verdicts()), 0)
}

// TestHostThatKnowsBetterTakesNoVerdictOver guards against one host's mistake that spreads.
func TestHostThatKnowsBetterTakesNoVerdictOver(t *testing.T) {
	a, b := newHost("a"), newHost("b")
	a.loseApart(4, document)
	assert.Equal(t, len(a.Verdicts()), 1)
	b.now = a.now
	b.serve(1, document)
	tell(a, b)
	assert.Equal(t, len(b.Verdicts()), 0)
	tell(b, a)
	assert.Equal(t, len(a.Verdicts()), 0)
}

// TestProbesAreRare guards against targets that are spent on finding out whether a part still does harm.
func TestProbesAreRare(t *testing.T) {
	h := newHost("a")
	h.loseApart(4, harmful)
	v := h.Verdicts()[0]
	begin := h.now
	probes := 0
	for h.now < begin+24*time.Hour {
		if h.now >= v.NextProbe() {
			h.Probe(h.now, v)
			h.lose(fmt.Sprint("probe-", probes), harmful)
			probes++
		}
		h.now += time.Second
	}
	assert.Assert(t, probes >= 24 && probes <= 30, "%d", probes)
	assert.Equal(t, len(h.Verdicts()), 1)
}

// TestMemoryIsBounded guards against callers that send ever new parts, and peers that tell absurd things.
func TestMemoryIsBounded(t *testing.T) {
	h := newHost("a")
	for i := range 400 {
		parts := make([]core.PartID, 1000)
		for j := range parts {
			parts[j] = core.PartID(i*1000 + j)
		}
		h.lose(fmt.Sprint("process-", i), parts...)
		p := Published{}
		for j := range 1000 {
			p.Losses = append(p.Losses, PublishedLoss{Number: uint64(i*1000 + j), Parts: parts[:10], AtMs: -1 << 62, ExposureMs: -5, RanMs: 1 << 62})
			p.Verdicts = append(p.Verdicts, PublishedVerdict{Parts: parts[j : j+1], SinceMs: 1 << 62, Probes: -7, ProbedMs: -1 << 62})
			p.Proofs = append(p.Proofs, PublishedProof{Part: parts[j], AtMs: 1 << 62})
		}
		h.Receive(h.now, Sender{Peer: "b", Clock: -1 << 62}, HostRates{}, &p)
		h.serve(1, parts...)
	}
	assert.Assert(t, len(h.parts.byID) <= maxSuspects && len(h.works.byID) <= maxSuspects)
	assert.Assert(t, len(h.verdicts) <= maxVerdicts)
	assert.Assert(t, len(h.parts.proofs.current) <= maxProofs+1000)
	assert.Assert(t, len(h.recent) <= maxRecent+64)
	assert.Assert(t, len(h.seen) <= maxRemembered && len(h.lost) <= maxRemembered)
	raw, err := json.Marshal(h.Published())
	assert.NilError(t, err)
	assert.Assert(t, len(raw) < 200_000, "%d bytes", len(raw))
}

// FuzzReceive guards against a peer's message that ends the process or leaves nonsense behind.
func FuzzReceive(f *testing.F) {
	f.Add([]byte(`{"l":[{"n":1,"p":{"a":"x"},"t":1,"e":1,"r":1,"s":[1,2]}],"p":[{"s":1,"t":5}],"v":[{"s":[3],"t":1,"e":2}]}`), 1.0, 2.0)
	f.Add([]byte(`{"v":[{"s":[3,3,2],"t":-1,"x":true,"n":-1,"l":99}]}`), -1.0, 1e300)
	f.Add([]byte(`{"l":[{"n":1,"t":1,"w":[1,2],"b":-9,"d":true}],"p":[{"w":1,"t":5}],"v":[{"w":3,"r":-5,"n":99,"t":1}]}`), 0.0, 0.0)
	f.Fuzz(func(t *testing.T, raw []byte, proven, exposure float64) {
		var p Published
		if json.Unmarshal(raw, &p) != nil {
			return
		}
		h := newHost("a")
		h.loseApart(3, 1, 2)
		for range 3 {
			h.Receive(h.now, Sender{Peer: "b", Clock: time.Second}, HostRates{Prompts: Rates{Proven: proven, ExposureMs: exposure}}, &p)
			h.loseApart(1, 3)
		}
		for _, v := range h.Verdicts() {
			assert.Assert(t, (len(v.Parts) > 0 || v.Work != 0) && v.Since <= h.now && v.Probes >= 0)
		}
		_ = h.Published()
	})
}
