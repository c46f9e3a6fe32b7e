package outcomes

import (
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/virtual"
)

// send carries an attempt's headers to a host.
func (s *schedule) send(c *conn, to *virtual.Host) {
	delay := time.Millisecond + s.upTo(4*time.Millisecond)
	if s.kind.delays && s.chance(0.2) {
		delay = s.upTo(longestDelay)
	}
	if c.foreign && s.chance(0.5) {
		delay = s.upTo(c.caller.budget)
	}
	if s.kind.long && s.chance(0.1) {
		delay = s.upTo(longLength)
	}
	s.world.After(delay, func() { s.arrive(c, to, c.req, func(r core.Result) { s.back(func() { c.heard(r) }) }) })
}

// back carries something to a caller.
func (s *schedule) back(f func()) { s.world.After(time.Millisecond+s.upTo(4*time.Millisecond), f) }

// arrive hands an attempt to the process that is there.
func (s *schedule) arrive(c *conn, at *virtual.Host, req core.Request, answer func(core.Result)) {
	if !at.Alive() {
		s.back(c.fail)
		return
	}
	taken := s.spoilt(req, at)
	decided := false
	at.Submit(taken, func(d node.Decision) {
		decided = true
		switch d.Kind {
		case node.Refuse:
			s.oracle.said(req, d.Result, s.world.Now())
			answer(d.Result)
		case node.Forward:
			s.forward(at, d.Home, req, answer, func(home *virtual.Host, req core.Request, answer func(core.Result)) {
				s.arrive(c, home, req, answer)
			})
		case node.Admit:
			s.open(at, req.Key, d.Deadline)
			s.receive(c, at, taken)
			s.wait(at, req, answer)
		case node.Attach:
			s.wait(at, req, answer)
		}
	})
	if !decided && !at.Paused() {
		s.oracle.faultf("%v was not decided on at once", req.Key)
	}
}

// forward passes a request on; a home that can't be reached is told as such.
func (s *schedule) forward(
	from *virtual.Host, home core.Home, req core.Request, answer func(core.Result),
	arrive func(*virtual.Host, core.Request, func(core.Result)),
) {
	to := s.byAddress[home.Address]
	delay, ok := s.Delay(s.world.Now(), from.Peer(), to.Peer())
	if !ok || !to.Alive() {
		s.world.After(time.Second, func() {
			result := core.Result{Outcome: api.OutcomeUnknown, Code: api.CodeHomeUnreachable, RetryAfter: time.Second}
			s.oracle.said(req, result, s.world.Now())
			answer(result)
		})
		return
	}
	req.Forwarded = true
	s.world.After(delay, func() { arrive(to, req, answer) })
}

// receive asks the caller for the body and reads it, as far as it comes.
func (s *schedule) receive(c *conn, at *virtual.Host, req core.Request) {
	post := at.Poster()
	s.back(func() {
		if !c.maySendBody() {
			s.world.After(s.upTo(50*time.Millisecond), func() {
				post(node.BodyEnded{Key: req.Key, Attempt: req.Attempt, Fault: api.CodeTruncated})
			})
			return
		}
		c.body = true
		c.caller.bodySent = true
		c.caller.lost = c.caller.lost || c.copied
		fault := api.Code("")
		if s.kind.breaks && s.chance(0.2) {
			fault = api.CodeTruncated
		}
		delay := s.upTo(50 * time.Millisecond)
		if s.kind.delays && s.chance(0.2) {
			delay = s.upTo(longestDelay)
		}
		s.world.After(delay, func() { post(node.BodyEnded{Key: req.Key, Attempt: req.Attempt, Fault: fault}) })
		if s.kind.doubles && s.chance(0.2) {
			s.world.After(s.upTo(longestDelay), func() {
				post(node.BodyEnded{Key: req.Key, Attempt: req.Attempt, Fault: api.CodeTruncated})
			})
		}
	})
}

// open makes the exchange of an admitted request; a later attempt that is asked for the body finds it.
func (s *schedule) open(h *virtual.Host, key core.Key, deadline core.Time) {
	if ex := s.exchange(h, key); ex != nil && ex.result == nil {
		return
	}
	if s.exchanges[h.Self()] == nil {
		s.exchanges[h.Self()] = make(map[core.Key]*exchange)
	}
	s.exchanges[h.Self()][key] = &exchange{deadline: deadline}
}

func (s *schedule) exchange(h *virtual.Host, key core.Key) *exchange {
	return s.exchanges[h.Self()][key]
}

func (s *schedule) wait(h *virtual.Host, req core.Request, answer func(core.Result)) {
	ex := s.exchange(h, req.Key)
	say := func(r core.Result) {
		s.oracle.said(req, r, s.world.Now())
		answer(r)
	}
	if ex.result != nil {
		say(*ex.result)
		return
	}
	ex.waiting = append(ex.waiting, say)
}

// exchange is the answer that a process holds for a request.
type exchange struct {
	deadline core.Time
	result   *core.Result
	waiting  []func(core.Result)
}

func (e *exchange) end(result core.Result) {
	e.result = &result
	for _, say := range e.waiting {
		say(result)
	}
	e.waiting = nil
}

// ask puts a query or a cancel to a host, or through it to the home.
func (s *schedule) ask(req core.Request, at *virtual.Host, cancel bool) {
	if !at.Alive() {
		return
	}
	put := at.Query
	if cancel {
		put = at.Cancel
	}
	put(req, func(d node.Decision) {
		if d.Kind == node.Forward {
			s.forward(at, d.Home, req, func(core.Result) {}, func(home *virtual.Host, req core.Request, _ func(core.Result)) {
				s.ask(req, home, cancel)
			})
			return
		}
		if d.Result.Outcome.Final() {
			req.Attempt = closedForGood
			s.oracle.said(req, d.Result, s.world.Now())
		}
	})
}
