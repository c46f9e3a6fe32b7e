package outcomes

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/virtual"
)

// fate is what a fake target makes of one dispatch.
type fate int

const (
	fateAnswer fate = iota
	fateNoConnection
	fateRefuse
	fateFail
	fateLostUnarrived
	fateLostArrived
	fateHang
	fateLateArrival
	fates
)

// fakeTarget answers, refuses, loses or delays dispatches at random. It keeps to what the real dispatcher does: the
// deadline is checked on the host's clock right before the first byte, and a dispatch ends once.
type fakeTarget struct {
	s       *schedule
	address string
	faulty  bool
	running map[dispatchName]*dispatch
}

type dispatchName struct {
	home   core.Home
	key    core.Key
	number uint32
}

type dispatch struct {
	target  *fakeTarget
	from    *virtual.Host
	process core.Home
	post    func(node.Input)
	order   node.StartDispatch
	written bool
	aborted bool
	ended   bool
	fate    fate
}

// Start implements virtual.Target.
func (t *fakeTarget) Start(_ *virtual.World, from *virtual.Host, order node.StartDispatch) {
	d := &dispatch{target: t, from: from, process: from.Self(), post: from.Poster(), order: order, fate: t.draw()}
	t.running[d.name()] = d
	t.s.world.After(t.s.upTo(5*time.Millisecond), func() { d.onHost(d.write) })
	t.s.world.After(order.Deadline-from.Clock(), func() { d.onHost(d.giveUp) })
}

// Abort implements virtual.Target.
func (t *fakeTarget) Abort(_ *virtual.World, from *virtual.Host, a node.AbortDispatch) {
	d := t.running[dispatchName{home: from.Self(), key: a.Key, number: a.Dispatch}]
	if d == nil {
		return
	}
	d.aborted = true
	t.s.world.After(t.s.upTo(2*time.Millisecond), func() { d.onHost(d.giveUp) })
}

func (t *fakeTarget) draw() fate {
	if !t.faulty || t.s.chance(0.4) {
		return fateAnswer
	}
	return fate(t.s.rng.IntN(int(fates)))
}

// maybeRan tells whether a dispatch of a request may have run as far as its host can know.
func (s *schedule) maybeRan(home core.Home, key core.Key) bool {
	for _, t := range s.targets {
		for _, d := range t.running {
			if d.process == home && d.order.Key == key && (d.written || !d.ended) {
				return true
			}
		}
	}
	return false
}

func (d *dispatch) name() dispatchName {
	return dispatchName{home: d.process, key: d.order.Key, number: d.order.Dispatch}
}

// onHost runs a step of the host's process: never after its death, and not while it is paused.
func (d *dispatch) onHost(step func()) {
	switch {
	case d.ended || !d.from.Alive() || d.from.Self() != d.process:
	case d.from.Paused():
		d.target.s.world.After(10*time.Millisecond, func() { d.onHost(step) })
	default:
		step()
	}
}

func (d *dispatch) write() {
	s := d.target.s
	if d.fate == fateNoConnection || d.aborted || d.from.Clock() >= d.order.Deadline {
		d.end(node.EndedNotWritten)
		return
	}
	if d.fate == fateRefuse {
		d.written = true
		s.world.After(s.upTo(20*time.Millisecond), func() { d.onHost(func() { d.end(node.EndedRefused) }) })
		return
	}
	d.written = true
	if d.fate != fateLostUnarrived {
		delay := s.upTo(5 * time.Millisecond)
		if d.fate == fateLateArrival {
			delay = s.upTo(longestBudget)
		}
		s.world.After(delay, d.arrive)
	}
	s.world.After(s.upTo(300*time.Millisecond), func() { d.onHost(d.answer) })
}

// arrive counts the arrival; bytes that were written arrive whatever became of the sender.
func (d *dispatch) arrive() {
	d.target.s.oracle.arrived(d.order.Request, d.target.s.world.Now())
}

func (d *dispatch) answer() {
	switch d.fate {
	case fateHang, fateLateArrival:
	case fateFail:
		d.end(node.EndedFailed)
	case fateLostArrived, fateLostUnarrived:
		d.end(node.EndedLost)
	default:
		d.post(node.DispatchFirstToken{Key: d.order.Key, Dispatch: d.order.Dispatch})
		d.target.s.world.After(d.target.s.upTo(200*time.Millisecond), func() { d.onHost(func() { d.end(node.EndedDone) }) })
	}
}

func (d *dispatch) giveUp() {
	if d.written {
		d.end(node.EndedLost)
		return
	}
	d.end(node.EndedNotWritten)
}

// end reports the end, and sometimes reports it again later.
func (d *dispatch) end(ending node.Ending) {
	if d.ended {
		return
	}
	d.ended = true
	s := d.target.s
	if s.without == withoutWrittenMark && ending == node.EndedLost {
		ending = node.EndedNotWritten
	}
	in := node.DispatchEnded{Key: d.order.Key, Dispatch: d.order.Dispatch, Target: d.target.address, Ending: ending}
	d.post(in)
	if s.kind.doubles && s.chance(0.2) {
		s.world.After(s.upTo(2*time.Second), func() { d.post(in) })
	}
}
