// Package gateway serves the HTTP interface for callers of an entry host. Its handlers get decisions from the control
// loop and copy request and answer bytes; they never touch control state.
package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"carobshunt/api"
	"carobshunt/internal/bodyrate"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/netdial"
	"carobshunt/internal/stream"

	"github.com/labstack/echo/v4"
)

// Control is the part of the control loop that the handlers use.
type Control interface {
	Ask(context.Context, node.Input) (node.Decision, error)
	Post(node.Input)
	Snapshot() *node.Snapshot
	Now() core.Time
}

// Gateway handles the requests of callers.
type Gateway struct {
	control   Control
	exchanges *stream.Store
	self      core.Home
	maxBody   int64
	// bodies are those that are read.
	bodies    bodyrate.Tracker
	forwarder *http.Client
	observer  Observer
}

// Observer counts requests that are answered with an error, by its code.
type Observer interface {
	Refused(api.Code)
}

// New returns a gateway for the process self. maxBody is the largest request body accepted, in bytes.
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

// Register adds the routes and middleware to e.
func (g *Gateway) Register(e *echo.Echo) {
	e.HTTPErrorHandler = g.handleRouteError
	e.Use(g.setHostHeader, g.countRefusals, g.authorize)
	e.GET(api.PathHosts, g.lookup)
	e.POST(api.PathRequests, g.submit)
	e.GET(api.PathRequests+"/:id", g.state)
	e.DELETE(api.PathRequests+"/:id", g.cancel)
	e.GET(api.PathRequests+"/:id/answer", g.resume)
}

// setHostHeader names this process in the headers of each response; a response forwarded from the home names the home.
func (g *Gateway) setHostHeader(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set(api.HeaderHost, g.self.String())
		return next(c)
	}
}

// lookupTTL is how long a caller may cache a lookup response.
const lookupTTL = 10 * time.Second

// lookup responds with the hosts to use, those of the caller's availability zone first. The age of the snapshot is added
// to the hosts' clock readings, so that they are current.
func (g *Gateway) lookup(c echo.Context) error {
	snap := g.control.Snapshot()
	if len(snap.Hosts) == 0 {
		return writeError(c, &api.Error{
			Outcome:      api.OutcomeNotRun,
			Code:         api.CodeNotReady,
			Message:      snap.Status.NotReadyReason,
			RetryAfterMs: notReadyRetryAfter.Milliseconds(),
		})
	}
	age := (g.control.Now() - snap.Taken).Milliseconds()
	hosts, ask := snap.HostsFor(c.QueryParam("team"))
	response := api.Lookup{AskInstead: ask, Revision: snap.Heartbeat.Revision, KeepMs: lookupTTL.Milliseconds()}
	zone := c.QueryParam("zone")
	for _, sameZone := range []bool{true, false} {
		for _, h := range hosts {
			if (h.Zone == zone) == sameZone {
				h.ClockMs += age
				response.Hosts = append(response.Hosts, h)
			}
		}
	}
	return c.JSON(http.StatusOK, response)
}

// notReadyRetryAfter is the retry delay given to callers while a host or the home of a request is unavailable.
const notReadyRetryAfter = time.Second

// submit passes a request to the control loop, reads its body if it is admitted, and streams the answer.
func (g *Gateway) submit(c echo.Context) error {
	req, fault := parseSubmit(c.Request(), g.maxBody)
	if fault != nil {
		return writeError(c, fault)
	}
	decision, err := g.askAdmission(c, req)
	if err != nil {
		return writeError(c, stoppingError(req))
	}
	switch decision.Kind {
	case node.Forward:
		return g.forward(c, decision.Home)
	case node.Refuse:
		return writeError(c, refusal(req, decision))
	case node.Admit:
		ex := g.exchanges.Get(req.Key)
		if ex == nil {
			break // the request ended before this goroutine got here
		}
		if fault := g.receiveBody(c, req, ex, decision.Deadline); fault != "" {
			return g.answerBodyFault(c, req, ex, fault, decision.Deadline)
		}
	case node.Attach, node.Report:
	}
	return g.streamAnswer(c, req, g.exchanges.Get(req.Key), stream.Position{})
}

// askAdmission asks the control loop for its decision on a request. If there is no room for its body, a slow body of another request
// gives way, if there is one. The refused attempt of a request that is not idempotent is closed, so there is room for its next one.
func (g *Gateway) askAdmission(c echo.Context, req core.Request) (node.Decision, error) {
	submit := node.Submit{Request: req}
	decision, err := g.control.Ask(c.Request().Context(), submit)
	if err != nil || decision.Kind != node.Refuse || decision.Result.Code != api.CodeBodyMemory {
		return decision, err
	}
	if g.bodies.MakeRoom() == nil || !req.Idempotent {
		return decision, nil
	}
	return g.control.Ask(c.Request().Context(), submit)
}

// stoppingError returns the error for a request that got no decision from the control loop. The outcome of a request that
// is not idempotent is unknown, since an earlier submit of it may have run here.
func stoppingError(req core.Request) *api.Error {
	e := &api.Error{
		Request: req.ID, Attempt: req.Attempt,
		Outcome: api.OutcomeNotRun, Code: api.CodeDraining, Message: "this host is stopping",
		RetryAfterMs: notReadyRetryAfter.Milliseconds(),
	}
	if !req.Idempotent {
		e.Outcome = api.OutcomeUnknown
	}
	return e
}

// refusal returns the error response that carries the result of a decision.
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

// receiveBody reads the body of an admitted request, which also sends "100 Continue". The read ends at the request's deadline,
// or when the request has ended without this body. ex must be the exchange that was opened on admission: a later one under the
// same identifier belongs to another attempt.
func (g *Gateway) receiveBody(c echo.Context, req core.Request, ex *stream.Exchange, deadline core.Time) api.Code {
	control := http.NewResponseController(c.Response().Writer)
	_ = control.SetReadDeadline(time.Now().Add(deadline - g.control.Now()))
	stop := ex.Answer.OnFinal(func() { _ = control.SetReadDeadline(time.Now()) })
	defer stop()
	progress := g.bodies.Begin(req.ID, func() { _ = control.SetReadDeadline(time.Now()) })
	defer progress.End()
	body, fault := readBody(progress.Reader(c.Request().Body), req)
	if fault == api.CodeTruncated && progress.GaveWay() {
		fault = api.CodeBodyMemory
	}
	ended := node.BodyEnded{Key: req.Key, Attempt: req.Attempt, Fault: fault}
	if fault == "" {
		_ = control.SetReadDeadline(time.Time{})
		ex.SetBody(body)
		ended.Content = core.DigestContent("", "", "", body)
	}
	g.control.Post(ended)
	return fault
}

// answerBodyFault answers an attempt whose body was not received intact. A later attempt may still supply the body, so
// the outcome is "not run" only if the request ends without having run. The wait does not use the request's context,
// since that one ends at the body's read deadline.
func (g *Gateway) answerBodyFault(c echo.Context, req core.Request, ex *stream.Exchange, fault api.Code, deadline core.Time) error {
	e := &api.Error{
		Request: req.ID, Attempt: req.Attempt,
		Outcome: api.OutcomeNotRun, Code: fault, Message: "the body did not arrive whole",
	}
	wait := max(deadline-g.control.Now(), 0) + finalResultDelay
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), wait)
	defer cancel()
	chunk, err := ex.Answer.Next(ctx, stream.Position{})
	switch {
	case err != nil && req.Idempotent:
		e.Outcome = api.OutcomeFailed
	case err != nil:
		e.Outcome = api.OutcomeUnknown
	case chunk.Last == nil || chunk.Last.Outcome != api.OutcomeNotRun:
		return g.streamAnswer(c, req, ex, stream.Position{})
	case chunk.Last.Code == api.CodeDraining, chunk.Last.Code == api.CodeBodyMemory:
		e.Code, e.Message, e.RetryAfterMs = chunk.Last.Code, chunk.Last.Message, chunk.Last.RetryAfterMs
	}
	return writeErrorWithin(c, e, 0) // the time of the body is over
}

// finalResultDelay is the time after its deadline by which every request has its final result.
const finalResultDelay = time.Second

// readBody returns the body, or an error code if it is truncated or does not match its checksum.
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

// notHeldError returns the error for a request whose answer has expired.
func notHeldError(req core.Request) *api.Error {
	return &api.Error{
		Request: req.ID, Outcome: api.OutcomeFailed, Code: api.CodeNotFound, Message: "the answer is no longer held",
	}
}

// streamAnswer writes frames until the answer is final or the caller disconnects. A disconnect does not end the
// request: the caller may resume the answer later. Without its last frame, the answer ends with its connection: if the
// handler returned, net/http would end the body in order, also to a caller that has closed only its sending side. The
// exchange is nil if the answer has expired.
func (g *Gateway) streamAnswer(c echo.Context, req core.Request, ex *stream.Exchange, at stream.Position) error {
	if ex == nil {
		return writeError(c, notHeldError(req))
	}
	w := newFrameWriter(c.Response(), req)
	for {
		chunk, err := ex.Answer.Next(c.Request().Context(), at)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if err := w.write(chunk); err != nil {
			panic(http.ErrAbortHandler)
		}
		if chunk.Last != nil {
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

// ask gets a decision from the control loop on the request whose identifier is in the path.
func (g *Gateway) ask(c echo.Context, newInput func(core.Request) node.Input) (core.Request, node.Decision, *api.Error) {
	c.Request().Header.Set(api.HeaderRequest, c.Param("id"))
	p := &parser{header: c.Request().Header}
	req := parseCommon(p)
	if p.fault != nil {
		return req, node.Decision{}, withUnknownOutcome(withRequest(p.fault, req))
	}
	decision, err := g.control.Ask(c.Request().Context(), newInput(req))
	if err != nil {
		return req, decision, withUnknownOutcome(stoppingError(req))
	}
	return req, decision, nil
}

// withUnknownOutcome marks a refused query or cancel: the request that it names may have had any outcome.
func withUnknownOutcome(e *api.Error) *api.Error {
	e.Outcome = api.OutcomeUnknown
	return e
}

// answerState responds with the state of a request, as the control loop decided.
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

// resume streams an answer again from the byte "offset" of the dispatch numbered "dispatch".
func (g *Gateway) resume(c echo.Context) error {
	req, decision, fault := g.ask(c, func(r core.Request) node.Input { return node.Query{Request: r} })
	if fault != nil {
		return writeError(c, fault)
	}
	ex := g.exchanges.Get(req.Key)
	switch {
	case decision.Kind == node.Forward:
		return g.forward(c, decision.Home)
	case decision.Kind == node.Refuse, ex == nil && decision.Result.Code != "":
		return writeError(c, refusal(req, decision))
	case ex == nil:
		return writeError(c, notHeldError(req))
	}
	dispatch, dispatchErr := strconv.ParseUint(c.QueryParam("dispatch"), 10, 32)
	offset, offsetErr := strconv.ParseInt(c.QueryParam("offset"), 10, 64)
	if dispatchErr != nil || offsetErr != nil || offset < 0 {
		return writeError(c, malformed("dispatch, offset: must be whole numbers"))
	}
	at := stream.Position{Dispatch: uint32(dispatch), Offset: offset}
	if ex.Answer.Beyond(at) {
		return writeError(c, &api.Error{
			Request: req.ID, Outcome: decision.Result.Outcome, Code: api.CodeOffsetOutOfRange, Message: "the answer is shorter than that",
		})
	}
	return g.streamAnswer(c, req, ex, at)
}
