package fleet

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	coretarget "carobshunt/internal/core/target"
	"carobshunt/internal/virtual"
)

// target is a fake target that says something of itself in its answers, and that some work may end. It records what reaches
// it.
type target struct {
	fleet   *fleet
	address string
	engine  bool
	// notice is what it says now. limitedSince is when it first named its limit.
	notice       coretarget.Notice
	limitedSince virtual.Time
	// refuses is set while it refuses all requests, with its notice.
	refuses bool
	// told is when a process has first passed on an answer that named the limit in force.
	told     map[core.Home]virtual.Time
	arrivals []arrival
	// leavingSince is when its process first said that it leaves, toldLeaving when hosts' processes first passed on such an
	// answer or had such an entry, and refused when they got refusals that ask them to stay away.
	leavingSince virtual.Time
	toldLeaving  map[core.Home]virtual.Time
	refused      map[core.Home][]virtual.Time
	// late are the requests that callers sent later than drainTime after the host's process that sent them on had passed on
	// an answer in which the target's process says that it leaves.
	late []arrival
	// instance is the name of its process and startMs its start, as in its entry in the host list. starts counts the
	// processes; down is set while there is none. runs are the requests of the process that have not ended.
	instance string
	startMs  int64
	starts   int
	// resets counts how often all connections to the target broke.
	resets int
	down   bool
	runs   []*run
	// unhealthy is set while its health is bad although it answers requests, falseHealth while its health does not say that it leaves.
	unhealthy, falseHealth bool
}

// arrival is a request that has reached a target.
type arrival struct {
	at   virtual.Time
	home core.Home
	// told is when the sender had first passed on an answer that named the limit, never if it had not.
	told virtual.Time
	// submitted is when the caller sent the request.
	submitted virtual.Time
	// excused is set if the sender was disturbed shortly before.
	excused bool
	// parts are the parts of its prompt. request is set if callers send it again and again.
	parts   []core.PartID
	request *repeated
}

// never is the instant of an event that has not happened.
const never = virtual.Time(-1)

// Times of targets: on the network, to the answer of a plain service, and to the first and last token of an engine.
const (
	networkTime    = time.Millisecond
	deskTime       = 15 * time.Millisecond
	harmTime       = 70 * time.Millisecond
	firstTokenTime = 60 * time.Millisecond
	streamTime     = 1200 * time.Millisecond
)

// nameLimit makes the target name a limit, in requests a second, from now on.
func (t *target) nameLimit(rate float64) {
	t.notice.Limited, t.notice.Limit = true, rate
	t.limitedSince = t.fleet.world.Now()
	clear(t.told)
}

// endLimit makes the target name no limit any more.
func (t *target) endLimit() { t.notice.Limited, t.notice.Limit = false, 0 }

// Start implements virtual.Target.
func (t *target) Start(w *virtual.World, from *virtual.Host, start node.StartDispatch) {
	post, home := from.Poster(), from.Self()
	w.After(networkTime, func() {
		end := node.DispatchEnded{Key: start.Key, Dispatch: start.Dispatch, Target: start.Target, Ending: node.EndedDone}
		if t.down {
			end.Ending = node.EndedNotWritten
			post(end)
			return
		}
		t.arrive(from, home, &start)
		switch {
		case start.Instance != t.instance:
			end.Ending = node.EndedRefused
			w.After(networkTime, func() { post(end) })
		case t.refuses:
			end.Ending = node.EndedRefused
			t.answer(w, from, &start, 0, func(n *coretarget.Notice) { post(endedWith(end, n)) })
			t.refused[home] = append(t.refused[home], w.Now()+networkTime)
		case t.engine:
			t.run(w, from, post, &start)
		default:
			t.work(w, from, &start, func(n *coretarget.Notice) { post(endedWith(end, n)) })
		}
	})
}

// work answers a request of a plain service, unless the request ends the process.
func (t *target) work(w *virtual.World, from *virtual.Host, start *node.StartDispatch, deliver func(*coretarget.Notice)) {
	r := t.fleet.repeats[start.Key.ID]
	if r == nil || !r.harmful {
		t.fleet.begun[start.Key.ID] = true
		t.answer(w, from, start, deskTime, deliver)
		return
	}
	process := t.starts
	w.After(harmTime, func() {
		if t.starts == process {
			t.crashBy(end{request: r})
		}
	})
	t.answer(w, from, start, harmTime+time.Millisecond, deliver)
}

// checkTimeout is when a check of a target without a process fails.
const checkTimeout = time.Second

// Check implements virtual.HealthTarget.
func (t *target) Check(w *virtual.World, from *virtual.Host, check node.CheckTarget) {
	post := from.Poster()
	w.After(networkTime, func() {
		result, after := coretarget.CheckServes, networkTime
		switch {
		case t.down:
			result, after = coretarget.CheckFailed, checkTimeout
		case check.Process.Instance != t.instance || t.unhealthy:
			result = coretarget.CheckFailed
		case t.notice.Leaving && !t.falseHealth:
			result = coretarget.CheckLeaves
		}
		checked := node.TargetChecked{Process: check.Process, SentAt: check.SentAt, Result: result}
		if t.engine && result != coretarget.CheckFailed {
			checked.Start = t.startMs
		}
		w.After(after, func() { post(checked) })
	})
}

// endedWith returns the end of a dispatch with a notice; without one it was lost.
func endedWith(end node.DispatchEnded, notice *coretarget.Notice) node.DispatchEnded {
	end.Notice = notice
	if notice == nil {
		end.Ending = node.EndedLost
	}
	return end
}

// answer passes the notice in force after a time to the host's process that asked, which passes the answer on at once. If the
// target's process has ended by then, it passes nil on.
func (t *target) answer(
	w *virtual.World, from *virtual.Host, start *node.StartDispatch, after time.Duration, deliver func(*coretarget.Notice),
) {
	home, process, resets := from.Self(), t.starts, t.resets
	w.After(after, func() {
		if t.starts != process || t.resets != resets && !t.engine || t.down {
			deliver(nil)
			return
		}
		notice := t.notice
		notice.From = start.Process()
		w.After(networkTime, func() {
			if from.Alive() && !from.Paused() && from.Self() == home {
				t.passedOn(home, process, &notice)
			}
			deliver(&notice)
		})
	})
}

// passedOn records that a host's process has passed on an answer of a process of the target.
func (t *target) passedOn(home core.Home, process int, notice *coretarget.Notice) {
	now := t.fleet.world.Now()
	if _, ok := t.told[home]; !ok && notice.Limited && t.notice.Limited {
		t.told[home] = now
	}
	if notice.Leaving && t.starts == process {
		t.tellLeaving(home)
	}
}

// tellLeaving records that a host's process has the word of the target's process that it leaves.
func (t *target) tellLeaving(home core.Home) {
	if _, ok := t.toldLeaving[home]; !ok {
		t.toldLeaving[home] = t.fleet.world.Now()
	}
}

func (t *target) arrive(from *virtual.Host, home core.Home, start *node.StartDispatch) {
	a := arrival{
		at: t.fleet.world.Now(), home: home, told: never, submitted: t.fleet.submitted[start.Key.ID], excused: t.fleet.excused(from),
		parts: start.Request.Parts, request: t.fleet.repeats[start.Key.ID],
	}
	if told, ok := t.told[home]; ok {
		a.told = told
	}
	if told, ok := t.toldLeaving[home]; ok && start.Instance == t.instance && a.submitted > told+drainTime {
		t.late = append(t.late, a)
	}
	t.arrivals = append(t.arrivals, a)
}

// nextProcess gives the target a process that says nothing of itself, under the name that the one before had.
func (t *target) nextProcess() {
	t.starts++
	t.startMs = t.fleet.world.Now().Milliseconds()
	t.notice = coretarget.Notice{}
	t.refuses, t.unhealthy, t.falseHealth = false, false, false
	clear(t.toldLeaving)
}

// Abort implements virtual.Target. A request that has arrived runs to its end.
func (t *target) Abort(*virtual.World, *virtual.Host, node.AbortDispatch) {}
