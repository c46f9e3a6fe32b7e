package replay

import (
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/trace"
	"carobshunt/internal/virtual"
)

// call is a request of the trace with its progress and result. Its instants are in world time; 0 means not yet.
type call struct {
	req  *trace.Request
	key  core.Key
	band string
	// host is the entry host of the latest submit, home the process on it and deadline the deadline on its clock.
	host     *virtual.Host
	home     core.Home
	deadline core.Time
	// submits is the number of submits, duplicates not included.
	submits uint32
	// startedAt is when the caller sends the request.
	startedAt time.Duration
	// firstTokenAt is when the first token of the latest dispatch came.
	firstTokenAt time.Duration
	endedAt      time.Duration
	// outcome is empty until the request ends.
	outcome api.Outcome
	code    api.Code
	// decidedAt is when the first decision of a host came.
	decidedAt time.Duration
	// dispatches is the number of dispatches to targets, arrivals the number of those that a plain service received.
	dispatches int
	arrivals   int
	// answers is the number of final results.
	answers int
}

// addCalls schedules the requests of the trace, except those of excluded bands.
func (r *run) addCalls() {
	for i := range r.opts.Trace.Requests {
		req := &r.opts.Trace.Requests[i]
		c := &call{req: req, key: core.Key{Team: req.Team, ID: req.ID}, band: bandOf(req, r.servedByEngines)}
		if r.isExcluded(c.band) {
			continue
		}
		c.startedAt = warmup + req.At()
		r.calls = append(r.calls, c)
		r.byKey[c.key] = c
		r.unfinished++
		r.world.At(c.startedAt, func() { r.submit(c) })
		for n := range req.Duplicates {
			r.world.At(c.startedAt+time.Duration(n+1)*duplicateInterval, func() { r.duplicate(c) })
		}
	}
}

// duplicateInterval is the interval between the copies of a request that a caller sends more than once.
const duplicateInterval = 300 * time.Millisecond

func (r *run) isExcluded(band string) bool {
	for _, b := range r.opts.WithoutBands {
		if b == band {
			return true
		}
	}
	return false
}

// servedByEngines reports whether engines serve the named model; plain services serve the others.
func (r *run) servedByEngines(name string) bool {
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

// submit sends the request to a random live host other than the last one. Without such a host, or after maxSubmits
// submits, the request ends as not run.
func (r *run) submit(c *call) {
	c.submits++
	h := r.pickHost(c.host)
	if h == nil || c.submits > maxSubmits {
		r.end(c, api.OutcomeNotRun, api.CodeHomeUnreachable)
		return
	}
	c.host = h
	c.home = h.Self()
	c.deadline = h.Clock() + r.remainingBudget(c)
	r.world.After(hopTime, func() { r.submitTo(c, h) })
}

// pickHost returns a random live host other than the given one, or nil.
func (r *run) pickHost(exclude *virtual.Host) *virtual.Host {
	var live []*virtual.Host
	for _, h := range r.hosts {
		if h.Alive() && h != exclude {
			live = append(live, h)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[r.rng.IntN(len(live))]
}

// remainingBudget returns the rest of a call's time budget, at least one millisecond.
func (r *run) remainingBudget(c *call) time.Duration {
	remaining := time.Duration(c.req.BudgetMs)*time.Millisecond - (r.world.Now() - c.startedAt)
	return max(remaining, time.Millisecond)
}

// request returns the request for the latest submit of a call.
func (r *run) request(c *call) core.Request {
	return core.Request{
		Key:          c.key,
		Attempt:      c.submits,
		Model:        c.req.Model,
		PromptTokens: c.req.PromptTokens,
		AnswerTokens: c.req.AnswerTokens,
		Prefix:       c.req.Prefix,
		PrefixTokens: c.req.PrefixTokens,
		Idempotent:   c.req.Idempotent,
		Home:         c.home,
		Deadline:     c.deadline,
		Budget:       r.remainingBudget(c),
		BodyBytes:    c.req.PromptTokens,
	}
}

// submitTo submits the request to a host; a host that has died meanwhile loses the connection.
func (r *run) submitTo(c *call, h *virtual.Host) {
	if !h.Alive() {
		r.handleConnectionLoss(c)
		return
	}
	req := r.request(c)
	h.Submit(req, func(d node.Decision) { r.handleDecision(c, h, req.Attempt, d) })
}

// handleDecision handles a host's decision: it sends the body after an admission, and tries another host if this one
// takes no new requests.
func (r *run) handleDecision(c *call, h *virtual.Host, attempt uint32, d node.Decision) {
	if c.decidedAt == 0 {
		c.decidedAt = r.world.Now()
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

// duplicate submits the same identifier to another host, as a caller does that received no answer.
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

// forward passes a duplicate on to the host of the call's latest submit.
func (r *run) forward(c *call, req core.Request) {
	req.Forwarded = true
	if c.host.Alive() {
		c.host.Submit(req, func(node.Decision) {})
	}
}

// loseConnection returns a function that submits a request again, as its caller does after losing the connection, unless
// the request has ended. It returns nil for an unknown identifier.
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

// breakConnections handles the loss of all callers' connections to a host.
func (r *run) breakConnections(h *virtual.Host) {
	for _, c := range r.calls {
		if c.host == h && c.outcome == "" && c.startedAt <= r.world.Now() {
			r.handleConnectionLoss(c)
		}
	}
}

// handleConnectionLoss handles the loss of a caller's connection to a dead host: the caller tries another host. A
// request that is not idempotent ends as unknown instead if a host has decided on it, since its body may have been read.
func (r *run) handleConnectionLoss(c *call) {
	if !c.req.Idempotent && c.decidedAt != 0 {
		r.end(c, api.OutcomeUnknown, api.CodeHomeGone)
		return
	}
	r.submit(c)
}

// handleFinish handles the final result of a request; only the host of the latest submit counts.
func (r *run) handleFinish(h *virtual.Host, f node.Finish) {
	c := r.byKey[f.Key]
	if c != nil && c.host == h {
		r.end(c, f.Result.Outcome, f.Result.Code)
	}
}

// end records the result of a call; the first result stays.
func (r *run) end(c *call, outcome api.Outcome, code api.Code) {
	c.answers++
	if c.outcome != "" {
		return
	}
	c.outcome, c.code, c.endedAt = outcome, code, r.world.Now()
	r.unfinished--
}

// countDispatch counts a dispatch to a target.
func (r *run) countDispatch(dispatch node.StartDispatch) { r.byKey[dispatch.Key].dispatches++ }

// countArrival counts the arrival of a call at a plain service.
func (r *run) countArrival(key core.Key) { r.byKey[key].arrivals++ }

// recordFirstToken records the time of the first token. A later dispatch overwrites it, so that an answer that starts
// over counts with its last start.
func (r *run) recordFirstToken(dispatch node.StartDispatch) {
	r.byKey[dispatch.Key].firstTokenAt = r.world.Now()
}

// recordGap records an inter-token gap, once the measured part of the trace has begun.
func (r *run) recordGap(band string, d time.Duration) {
	if r.world.Now() >= r.measureFrom() {
		r.gaps.add(band, d)
	}
}
