package outcomes

import (
	"time"

	"carobshunt/api"
	"carobshunt/client"
	"carobshunt/internal/core"
	"carobshunt/internal/virtual"
)

// caller follows the rules of the callers' library: one home for a request whose body may have left, attempts
// numbered in order, the body only after the host asked for it.
type caller struct {
	s          *schedule
	key        core.Key
	idempotent bool
	retries    bool
	budget     time.Duration
	start      virtual.Time
	lookup     *lookup
	home       core.Home
	deadline   core.Time
	via        *virtual.Host
	attempt    uint32
	conn       *conn
	bodySent   bool
	lost       bool
	over       bool
}

// lookup is a kept look-up answer.
type lookup struct {
	hosts []api.Host
	at    virtual.Time
}

const (
	keepLookup = 10 * time.Second
	retryPause = 200 * time.Millisecond
)

// conn is one connection of an attempt. What was sent on it may arrive after the caller has left it.
type conn struct {
	caller *caller
	req    core.Request
	live   bool
	// copied is a copy of an attempt that the network, or another process of the caller, makes.
	copied bool
	// foreign is a copy that goes its own way.
	foreign bool
	// body is set once the body has gone out on it.
	body bool
}

func (c *caller) begin() {
	c.start = c.s.world.Now()
	c.s.world.After(c.budget, c.outOfTime)
	c.bind()
}

// bind chooses the home and goes to it.
func (c *caller) bind() {
	host, ok := c.pickHost()
	if !ok {
		c.s.world.After(retryPause, c.rebind)
		return
	}
	elapsed := c.s.world.Now() - c.lookup.at
	c.home = core.Home{Address: host.Address, Incarnation: host.Incarnation}
	c.deadline = core.Time(host.ClockMs)*time.Millisecond + elapsed + c.budget - client.AnswerMargin(c.budget) - (c.s.world.Now() - c.start)
	c.via = c.s.byAddress[host.Address]
	if c.s.chance(0.2) {
		c.via = c.s.anyHost()
	}
	c.submit()
}

func (c *caller) rebind() {
	if !c.over {
		c.bind()
	}
}

func (c *caller) pickHost() (api.Host, bool) {
	if c.lookup == nil || c.s.world.Now()-c.lookup.at > keepLookup {
		c.lookup = c.s.lookup()
	}
	if c.lookup == nil {
		return api.Host{}, false
	}
	return c.lookup.hosts[c.s.rng.IntN(len(c.lookup.hosts))], true
}

func (c *caller) request() core.Request {
	req := core.Request{
		Key: c.key, Attempt: c.attempt, Model: engineModel, PromptTokens: 10, AnswerTokens: 5,
		Idempotent: c.idempotent, Home: c.home, Deadline: c.deadline, Budget: c.start + c.budget - c.s.world.Now(),
		BodyBytes: bodyBytes, BodyChecksum: "sum",
	}
	if !c.idempotent {
		req.Model = serviceModel
	}
	return req
}

func (c *caller) submit() {
	if c.over {
		return
	}
	c.attempt++
	if c.conn != nil {
		c.conn.live = false
	}
	conn := &conn{caller: c, req: c.request(), live: true}
	c.conn = conn
	c.s.send(conn, c.via)
	if c.s.kind.doubles && c.s.chance(0.5) {
		c.double(conn)
	}
	if c.s.kind.breaks && c.s.chance(0.4) {
		c.s.world.After(c.s.upTo(time.Second), conn.fail)
	}
}

// double sends the attempt a second time, through any host. Where another process of the caller does that, the body
// counts as sent from then on.
func (c *caller) double(first *conn) {
	foreign := c.s.chance(0.5)
	c.bodySent = c.bodySent || foreign
	c.lost = c.lost || foreign
	c.s.send(&conn{caller: c, req: first.req, live: true, copied: true, foreign: foreign}, c.s.anyHost())
}

// maySendBody tells whether the body may still go out on this connection.
func (c *conn) maySendBody() bool {
	switch {
	case c.foreign:
		return true
	case c.copied:
		return !c.caller.over && c.caller.home == c.req.Home
	}
	return c.live
}

// fail is a connection that broke, as its caller sees it.
func (c *conn) fail() {
	if !c.live || c.copied || c.caller.over || c.caller.conn != c {
		return
	}
	c.live = false
	c.caller.lost = c.caller.lost || c.body
	c.caller.elsewhere()
}

// elsewhere goes on through another host; a request of which no body left may take a new home.
func (c *caller) elsewhere() {
	c.s.world.After(retryPause, func() {
		if c.over {
			return
		}
		if c.idempotent || !c.bodySent {
			c.lookup = nil
			c.bind()
			return
		}
		c.via = c.s.anyHost()
		c.submit()
	})
}

// heard handles a received answer.
func (c *conn) heard(result core.Result) {
	if c.copied || !c.live || c.caller.over || c.caller.conn != c {
		return
	}
	c.live = false
	c.caller.judge(result)
}

func (c *caller) judge(result core.Result) {
	homeless := result.Code == api.CodeHomeGone || result.Code == api.CodeHomeUnreachable
	switch {
	case result.Code == api.CodeDraining, result.Code == api.CodeNotReady, homeless && !c.bodySent:
		c.elsewhere()
	case result.Code == api.CodeHomeUnreachable, result.RetryAfter > 0 && c.retries:
		c.s.world.After(max(result.RetryAfter, retryPause), c.submit)
	default:
		c.finish(result.Outcome, result.Code)
	}
}

func (c *caller) outOfTime() {
	outcome := api.OutcomeUnknown
	if c.idempotent {
		outcome = api.OutcomeFailed
	}
	c.finish(outcome, api.CodeDeadline)
}

func (c *caller) finish(outcome api.Outcome, code api.Code) {
	if c.over {
		return
	}
	c.over = true
	c.lost = c.lost || c.conn != nil && c.conn.live && c.conn.body
	if c.conn != nil {
		c.conn.live = false
	}
	switch {
	case (outcome == api.OutcomeUnknown || outcome == api.OutcomeFailed) && !c.bodySent:
		outcome = api.OutcomeNotRun
	case outcome == api.OutcomeNotRun && c.idempotent && c.lost:
		outcome = api.OutcomeFailed
	}
	c.s.oracle.finals = append(c.s.oracle.finals, final{
		key: c.key, idempotent: c.idempotent, bodySent: c.bodySent, outcome: outcome, code: code,
	})
}

// ask sends a query or a cancel, as another process of the caller would.
func (c *caller) ask(cancel bool) {
	if c.home == (core.Home{}) {
		return
	}
	req := c.request()
	req.Attempt = 0
	c.s.ask(req, c.s.anyHost(), cancel)
}
