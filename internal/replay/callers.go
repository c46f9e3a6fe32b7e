package replay

import (
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/trace"
	"carobshunt/internal/virtual"
)

// call is one request of a caller and what became of it.
type call struct {
	req  *trace.Request
	key  core.Key
	band string
	// host is the entry host that has the request now; home is its process for a request that may not be repeated.
	host     *virtual.Host
	home     core.Home
	deadline core.Time
	tries    uint32
	started  time.Duration
	first    time.Duration
	ended    time.Duration
	outcome  api.Outcome
	code     api.Code
	decided  time.Duration
	attempts int
	arrivals int
	answers  int
}

func (r *run) addCalls() {
	for i := range r.opts.Trace.Requests {
		req := &r.opts.Trace.Requests[i]
		c := &call{req: req, key: core.Key{Team: req.Team, ID: req.ID}, band: bandOf(req, r.serves)}
		if r.isLeftOut(c.band) {
			continue
		}
		c.started = warmup + req.At()
		r.calls = append(r.calls, c)
		r.byKey[c.key] = c
		r.open++
		r.world.At(c.started, func() { r.submit(c) })
		for n := range req.Duplicates {
			r.world.At(c.started+time.Duration(n+1)*duplicateAfter, func() { r.duplicate(c) })
		}
	}
}

// duplicateAfter is the time between the copies of a request that a caller sends twice.
const duplicateAfter = 300 * time.Millisecond

func (r *run) isLeftOut(band string) bool {
	for _, b := range r.opts.Without {
		if b == band {
			return true
		}
	}
	return false
}

// serves tells whether a model is served by engines.
func (r *run) serves(name string) bool {
	for _, h := range r.opts.Hosts.Hosts {
		for _, m := range h.Models {
			if m == name {
				return h.MemoryTokens > 0
			}
		}
	}
	return false
}

func (r *run) callOf(key core.Key) *call { return r.byKey[key] }

// submit sends the request to a live host, another one than the last where there is one.
func (r *run) submit(c *call) {
	c.tries++
	h := r.pickHost(c.host)
	if h == nil || c.tries > callerTries {
		r.end(c, api.OutcomeNotRun, api.CodeHomeUnreachable)
		return
	}
	c.host = h
	c.home = h.Self()
	c.deadline = h.Clock() + r.left(c)
	r.world.After(hopTime, func() { r.offer(c, h) })
}

func (r *run) pickHost(not *virtual.Host) *virtual.Host {
	var live []*virtual.Host
	for _, h := range r.hosts {
		if h.Alive() && h != not {
			live = append(live, h)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[r.rng.IntN(len(live))]
}

// left is what is left of a call's budget.
func (r *run) left(c *call) time.Duration {
	left := time.Duration(c.req.BudgetMs)*time.Millisecond - (r.world.Now() - c.started)
	return max(left, time.Millisecond)
}

func (r *run) request(c *call) core.Request {
	return core.Request{
		Key:          c.key,
		Attempt:      c.tries,
		Model:        c.req.Model,
		PromptTokens: c.req.PromptTokens,
		AnswerTokens: c.req.AnswerTokens,
		Prefix:       c.req.Prefix,
		PrefixTokens: c.req.PrefixTokens,
		Idempotent:   c.req.Idempotent,
		Home:         c.home,
		Deadline:     c.deadline,
		Budget:       r.left(c),
		BodyBytes:    c.req.PromptTokens,
	}
}

func (r *run) offer(c *call, h *virtual.Host) {
	if !h.Alive() {
		r.connectionBroke(c)
		return
	}
	req := r.request(c)
	h.Submit(req, func(d node.Decision) { r.decide(c, h, req.Attempt, d) })
}

func (r *run) decide(c *call, h *virtual.Host, attempt uint32, d node.Decision) {
	if c.decided == 0 {
		c.decided = r.world.Now()
	}
	switch d.Kind {
	case node.Admit:
		post := h.Poster()
		r.world.After(hopTime, func() { post(node.BodyEnded{Key: c.key, Attempt: attempt}) })
	case node.Refuse:
		if d.Result.Code == api.CodeNotReady || d.Result.Code == api.CodeDraining {
			r.submit(c)
			return
		}
		r.end(c, d.Result.Outcome, d.Result.Code)
	}
}

// duplicate sends the same identifier to another host, as a caller does that received no answer.
func (r *run) duplicate(c *call) {
	h := r.pickHost(c.host)
	if h == nil {
		return
	}
	req := r.request(c)
	req.Attempt++
	h.Submit(req, func(d node.Decision) {
		if d.Kind == node.Forward {
			r.forward(c, req)
		}
	})
}

// forward carries a duplicate on to its home.
func (r *run) forward(c *call, req core.Request) {
	req.Forwarded = true
	if c.host.Alive() {
		c.host.Submit(req, func(node.Decision) {})
	}
}

// loseConnection makes the caller of one request lose its connection and submit the same identifier again.
func (r *run) loseConnection(id string) func() {
	for _, c := range r.calls {
		if c.req.ID == id {
			return func() {
				if c.outcome == "" {
					r.duplicate(c)
				}
			}
		}
	}
	return nil
}

func (r *run) connectionsBroke(h *virtual.Host) {
	for _, c := range r.calls {
		if c.host == h && c.outcome == "" && c.started <= r.world.Now() {
			r.connectionBroke(c)
		}
	}
}

// connectionBroke is what a caller does whose host died: it asks another one, unless the request may not be repeated
// and its body may have been read.
func (r *run) connectionBroke(c *call) {
	if !c.req.Idempotent && c.decided != 0 {
		r.end(c, api.OutcomeUnknown, api.CodeHomeGone)
		return
	}
	r.submit(c)
}

func (r *run) finished(h *virtual.Host, f node.Finish) {
	c := r.byKey[f.Key]
	if c != nil && c.host == h {
		r.end(c, f.Result.Outcome, f.Result.Code)
	}
}

func (r *run) end(c *call, outcome api.Outcome, code api.Code) {
	c.answers++
	if c.outcome != "" {
		return
	}
	c.outcome, c.code, c.ended = outcome, code, r.world.Now()
	r.open--
}

// dispatched counts an attempt at a target.
func (r *run) dispatched(order node.StartDispatch) { r.byKey[order.Key].attempts++ }

// arrived counts a call that a plain service received.
func (r *run) arrived(key core.Key) { r.byKey[key].arrivals++ }

// firstToken records the first token of the last dispatch: an answer that starts over is late.
func (r *run) firstToken(order node.StartDispatch) { r.byKey[order.Key].first = r.world.Now() }

// gap records a time between tokens, once the figures are taken.
func (r *run) gap(band string, d time.Duration) {
	if r.world.Now() >= r.measured() {
		r.gaps.add(band, d)
	}
}
