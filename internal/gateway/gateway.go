// Package gateway is the callers' interface of an entry host, over HTTP. Handlers ask the control loop for a
// decision, move bytes, and never touch control state.
package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/netdial"
	"carobshunt/internal/stream"

	"github.com/labstack/echo/v4"
)

// Control is the part of the control loop that handlers need.
type Control interface {
	Ask(context.Context, node.Input) (node.Decision, error)
	Post(node.Input)
	Snapshot() *node.Snapshot
	Now() core.Time
}

// Gateway serves callers.
type Gateway struct {
	control   Control
	exchanges *stream.Store
	self      core.Home
	maxBody   int64
	forwarder *http.Client
	observer  Observer
}

// Observer counts refusals.
type Observer interface {
	Refused(api.Code)
}

// New returns a gateway for the process self; maxBody bounds one request body, in bytes.
func New(control Control, exchanges *stream.Store, self core.Home, maxBody int64, dialer netdial.Dialer, observer Observer) *Gateway {
	return &Gateway{
		control:   control,
		exchanges: exchanges,
		self:      self,
		maxBody:   maxBody,
		forwarder: newForwarder(dialer),
		observer:  observer,
	}
}

// Register adds the routes.
func (g *Gateway) Register(e *echo.Echo) {
	e.HTTPErrorHandler = unknownPath
	e.Use(g.nameHost, g.countRefusals, g.authorize)
	e.GET(api.PathHosts, g.lookup)
	e.POST(api.PathRequests, g.submit)
	e.GET(api.PathRequests+"/:id", g.state)
	e.DELETE(api.PathRequests+"/:id", g.cancel)
	e.GET(api.PathRequests+"/:id/answer", g.resume)
}

func (g *Gateway) nameHost(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set(api.HeaderHost, g.self.String())
		return next(c)
	}
}

// keepLookup is how long a caller may keep a look-up answer.
const keepLookup = 10 * time.Second

// lookup answers with the hosts to use, those of the caller's availability zone first. Clock readings are brought
// up to this moment.
func (g *Gateway) lookup(c echo.Context) error {
	snap := g.control.Snapshot()
	if len(snap.Hosts) == 0 {
		return writeError(c, &api.Error{
			Outcome:      api.OutcomeNotRun,
			Code:         api.CodeNotReady,
			Message:      snap.Status.NotReadyReason,
			RetryAfterMs: notReadyPause.Milliseconds(),
		})
	}
	age := (g.control.Now() - snap.Taken).Milliseconds()
	hosts, ask := snap.HostsFor(c.QueryParam("team"))
	answer := api.Lookup{Ask: ask, Revision: snap.Heartbeat.Revision, KeepMs: keepLookup.Milliseconds()}
	zone := c.QueryParam("zone")
	for _, sameZone := range []bool{true, false} {
		for _, h := range hosts {
			if (h.Zone == zone) == sameZone {
				h.ClockMs += age
				answer.Hosts = append(answer.Hosts, h)
			}
		}
	}
	return c.JSON(http.StatusOK, answer)
}

const notReadyPause = time.Second

func (g *Gateway) submit(c echo.Context) error {
	req, fault := parseSubmit(c.Request(), g.maxBody)
	if fault != nil {
		return writeError(c, fault)
	}
	decision, err := g.control.Ask(c.Request().Context(), node.Submit{Request: req})
	if err != nil {
		return writeError(c, stopping(req))
	}
	switch decision.Kind {
	case node.Forward:
		return g.forward(c, decision.Home)
	case node.Refuse:
		return writeError(c, refusal(req, decision))
	case node.Admit:
		ex := g.exchanges.Get(req.Key)
		if ex == nil {
			break // it ended while this goroutine was held up
		}
		if fault := g.receive(c, req, ex, decision.Deadline); fault != "" {
			return g.answerFault(c, req, ex, fault, decision.Deadline)
		}
	case node.Attach, node.Report:
	}
	return g.streamAnswer(c, req, stream.Position{})
}

// stopping is the answer to a request that the control loop did not take. Of a request that is not idempotent an
// earlier submit may have run here.
func stopping(req core.Request) *api.Error {
	e := &api.Error{
		Request: req.ID, Attempt: req.Attempt,
		Outcome: api.OutcomeNotRun, Code: api.CodeDraining, Message: "this host is stopping",
		RetryAfterMs: notReadyPause.Milliseconds(),
	}
	if !req.Idempotent {
		e.Outcome = api.OutcomeUnknown
	}
	return e
}

func refusal(req core.Request, d node.Decision) *api.Error {
	return &api.Error{
		Request:      req.ID,
		Attempt:      req.Attempt,
		Outcome:      d.Result.Outcome,
		Code:         d.Result.Code,
		Message:      d.Result.Message,
		RetryAfterMs: d.Result.RetryAfter.Milliseconds(),
		Alternatives: d.Alternatives,
	}
}

// receive reads the body of an admitted request; reading it is what sends "100 Continue". A body that stalls is
// given up at the request's deadline. The exchange is the one that the admission opened: a later one of the same
// identifier is another attempt's.
func (g *Gateway) receive(c echo.Context, req core.Request, ex *stream.Exchange, deadline core.Time) api.Code {
	control := http.NewResponseController(c.Response().Writer)
	_ = control.SetReadDeadline(time.Now().Add(deadline - g.control.Now()))
	body, fault := readBody(c.Request().Body, req)
	if fault == "" {
		_ = control.SetReadDeadline(time.Time{})
		ex.SetBody(body)
	}
	g.control.Post(node.BodyEnded{Key: req.Key, Attempt: req.Attempt, Fault: fault})
	return fault
}

// answerFault answers an attempt whose body did not come. A later attempt may bring it; only when the request has
// ended without a run is "not run" true of this one. The request's context does not do for the wait: it ends with the
// body's read deadline.
func (g *Gateway) answerFault(c echo.Context, req core.Request, ex *stream.Exchange, fault api.Code, deadline core.Time) error {
	e := &api.Error{
		Request: req.ID, Attempt: req.Attempt,
		Outcome: api.OutcomeNotRun, Code: fault, Message: "the body did not arrive whole",
	}
	wait := max(deadline-g.control.Now(), 0) + lastWordTimeout
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), wait)
	defer cancel()
	chunk, err := ex.Answer.Next(ctx, stream.Position{})
	switch {
	case err != nil && req.Idempotent:
		e.Outcome = api.OutcomeFailed
	case err != nil:
		e.Outcome = api.OutcomeUnknown
	case chunk.Last == nil || chunk.Last.Outcome != api.OutcomeNotRun:
		return g.streamAnswer(c, req, stream.Position{})
	}
	return writeError(c, e)
}

// lastWordTimeout is how long after its deadline a request surely has its final result.
const lastWordTimeout = time.Second

// readBody returns the body, or the code of its fault.
func readBody(r io.Reader, req core.Request) ([]byte, api.Code) {
	body := make([]byte, req.BodyBytes)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, api.CodeTruncated
	}
	if stream.Checksum(body) != req.BodyChecksum {
		return nil, api.CodeChecksum
	}
	return body, ""
}

// streamAnswer writes frames until the answer is final or the caller is gone. A caller that is gone does not end
// its request: it may come back for the answer.
func (g *Gateway) streamAnswer(c echo.Context, req core.Request, at stream.Position) error {
	ex := g.exchanges.Get(req.Key)
	if ex == nil {
		return writeError(c, &api.Error{
			Request: req.ID, Outcome: api.OutcomeFailed, Code: api.CodeNotFound, Message: "the answer is no longer held",
		})
	}
	w := newFrameWriter(c.Response(), req)
	for {
		chunk, err := ex.Answer.Next(c.Request().Context(), at)
		if err != nil {
			return nil
		}
		if err := w.write(chunk); err != nil || chunk.Last != nil {
			return nil
		}
		at = stream.Position{Dispatch: chunk.At.Dispatch, Offset: chunk.At.Offset + int64(len(chunk.Text))}
	}
}

func (g *Gateway) state(c echo.Context) error {
	req, decision, fault := g.ask(c, func(r core.Request) node.Input { return node.Query{Request: r} })
	if fault != nil {
		return writeError(c, fault)
	}
	return g.answerState(c, req, decision)
}

func (g *Gateway) cancel(c echo.Context) error {
	req, decision, fault := g.ask(c, func(r core.Request) node.Input { return node.Cancel{Request: r} })
	if fault != nil {
		return writeError(c, fault)
	}
	return g.answerState(c, req, decision)
}

// ask puts a question about a request, named by the path, to the control loop.
func (g *Gateway) ask(c echo.Context, in func(core.Request) node.Input) (core.Request, node.Decision, *api.Error) {
	c.Request().Header.Set(api.HeaderRequest, c.Param("id"))
	p := &parser{header: c.Request().Header}
	req := parseCommon(p)
	if p.fault != nil {
		return req, node.Decision{}, untold(named(p.fault, req))
	}
	decision, err := g.control.Ask(c.Request().Context(), in(req))
	if err != nil {
		return req, decision, untold(stopping(req))
	}
	return req, decision, nil
}

// untold is the refusal of a question: it says nothing of the request that was asked about.
func untold(e *api.Error) *api.Error {
	e.Outcome = api.OutcomeUnknown
	return e
}

func (g *Gateway) answerState(c echo.Context, req core.Request, d node.Decision) error {
	switch d.Kind {
	case node.Forward:
		return g.forward(c, d.Home)
	case node.Refuse:
		return writeError(c, refusal(req, d))
	}
	state := api.State{
		Request:      req.ID,
		Outcome:      d.Result.Outcome,
		Code:         d.Result.Code,
		Target:       d.Target,
		RetryAfterMs: d.Result.RetryAfter.Milliseconds(),
	}
	if ex := g.exchanges.Get(req.Key); ex != nil {
		state.Length = ex.Answer.Len()
	}
	return c.JSON(http.StatusOK, state)
}

// resume streams an answer again from "offset" bytes of dispatch "dispatch".
func (g *Gateway) resume(c echo.Context) error {
	req, decision, fault := g.ask(c, func(r core.Request) node.Input { return node.Query{Request: r} })
	if fault != nil {
		return writeError(c, fault)
	}
	switch {
	case decision.Kind == node.Forward:
		return g.forward(c, decision.Home)
	case decision.Kind == node.Refuse:
		return writeError(c, refusal(req, decision))
	case g.exchanges.Get(req.Key) == nil:
		return writeError(c, refusal(req, decision))
	}
	dispatch, err1 := strconv.ParseUint(c.QueryParam("dispatch"), 10, 32)
	offset, err2 := strconv.ParseInt(c.QueryParam("offset"), 10, 64)
	if err1 != nil || err2 != nil || offset < 0 {
		return writeError(c, malformed("dispatch, offset: must be whole numbers"))
	}
	at := stream.Position{Dispatch: uint32(dispatch), Offset: offset}
	if g.exchanges.Get(req.Key).Answer.Beyond(at) {
		return writeError(c, &api.Error{
			Request: req.ID, Outcome: decision.Result.Outcome, Code: api.CodeOffsetOutOfRange, Message: "the answer is shorter than that",
		})
	}
	return g.streamAnswer(c, req, at)
}
