package client

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"carobshunt/api"
	"carobshunt/internal/secure"
	"carobshunt/internal/stream"

	"github.com/juju/errors"
)

// Request is one request of a caller.
type Request struct {
	// ID identifies the request over all retries, 8 to 64 characters of [A-Za-z0-9_-].
	ID     string
	Model  string
	Prompt []byte
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int64
	// AnswerTokens is the maximum length of the answer in tokens.
	AnswerTokens int64
	// Prefix names the first PrefixTokens tokens of the prompt, which other prompts share; empty for none.
	Prefix       string
	PrefixTokens int64
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// Budget is the time within which the caller wants the outcome.
	Budget time.Duration
	// Home binds a request that is not idempotent to the home that an earlier process of the caller chose, as
	// "address/incarnation"; empty for a new request.
	Home string
	// Deadline is the deadline on the clock of that home; 0 for a new request.
	Deadline time.Duration
	// Via is the address of the host to ask first; empty for the nearest one.
	Via string
}

// Result is the outcome of a request and what is known about it.
type Result struct {
	Outcome api.Outcome
	Code    api.Code
	Message string
	// Text is the answer that the last frame ended: complete if the request is done, otherwise a part. It is empty if no
	// such frame was received.
	Text string
	// Host is the entry host that decided, as "address/incarnation".
	Host string
	// Target is the address of the last target that the request was sent to; empty without a last frame.
	Target string
	// Home is the last home that the request was bound to, as "address/incarnation".
	Home string
	// Deadline is the deadline on the clock of that home.
	Deadline time.Duration
	// RetryAfter is the time that the host asked to wait before a retry; 0 if it named none.
	RetryAfter time.Duration
	Attempts   int
	// FirstToken is the time from the call of Do to the first text. If the answer started over, it may be the first text
	// of the later execution.
	FirstToken time.Duration
	// Total is the time that Do took.
	Total time.Duration
	// Last is the frame that ended the answer; zero if none was received.
	Last api.Last
}

// Bounds of AnswerMargin, which is smaller for budgets below 300 ms. A host checks deadlines every 50 ms, and its answer
// needs time to arrive.
const (
	minAnswerMargin = 75 * time.Millisecond
	maxAnswerMargin = 250 * time.Millisecond
)

// AnswerMargin returns how long before the end of a budget the deadline at the host is, so that the host's final
// answer still reaches the caller within the budget.
func AnswerMargin(budget time.Duration) time.Duration {
	return min(max(budget/10, minAnswerMargin), budget/4, maxAnswerMargin)
}

// Do submits a request and returns its outcome, after retries where they may help. The error is non-nil only if no
// host to submit to could be found, in which case this call has submitted nothing.
func (c *Client) Do(ctx context.Context, req Request) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Budget)
	defer cancel()
	s := &submission{client: c, req: req, start: time.Now(), sent: req.Home != ""}
	if err := s.bind(ctx); err != nil {
		return Result{}, errors.Trace(err)
	}
	s.run(ctx)
	s.correctOutcome()
	s.result.Home = s.req.Home
	s.result.Deadline = s.req.Deadline
	s.result.Attempts = s.attempt
	s.result.Total = time.Since(s.start)
	return s.result, nil
}

// submission is a request with the state of its attempts.
type submission struct {
	client *Client
	req    Request
	start  time.Time
	// attempt is the number of the current attempt, from 1.
	attempt int
	// host is the address of the host that the current attempt goes to.
	host string
	// body is the body of the current attempt.
	body *sealedBody
	// sent is set once any byte of the body, or of the headers if the body is empty, may have been sent, by this process or
	// an earlier one of the caller.
	sent bool
	// lost is set once an attempt in which such a byte may have been sent got no answer or an interrupted one.
	lost   bool
	result Result
	answer assembly
	// adopt names the engine's stream of an interrupted answer and the host that served it.
	adopt adoption
}

// bind chooses the host to submit to: Request.Via, or else the first one of the lookup. It makes that host the home of
// a request that names none, or the first one of the lookup if the lookup does not name Via.
func (s *submission) bind(ctx context.Context) error {
	if s.req.Via != "" {
		s.host = s.req.Via
	}
	if s.req.Home != "" && s.host != "" {
		return nil
	}
	lookup, err := s.client.Lookup(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	chosen := lookup.Hosts[0]
	for _, h := range lookup.Hosts {
		if h.Address == s.host {
			chosen = h
		}
	}
	if s.host == "" {
		s.host = chosen.Address
	}
	if s.req.Home == "" {
		s.bindTo(chosen)
	}
	return nil
}

func (s *submission) bindTo(h api.Host) {
	s.req.Home = h.Home()
	s.req.Deadline = time.Duration(h.ClockMs)*time.Millisecond + s.remaining() - AnswerMargin(s.req.Budget)
}

// remaining returns the unused part of the budget.
func (s *submission) remaining() time.Duration { return s.req.Budget - time.Since(s.start) }

// attemptResult is how an attempt ended, which determines what to do next.
type attemptResult int

const (
	finished attemptResult = iota
	retrySameHost
	retryOtherHost
	// interrupted means that the answer broke off or failed its checks, and may be resumed.
	interrupted
)

func (s *submission) run(ctx context.Context) {
	for s.attempt < s.client.opts.MaxAttempts {
		s.attempt++
		v := s.try(ctx)
		if v == interrupted {
			v = s.recoverAnswer(ctx)
		}
		if v == finished {
			return
		}
		if v == retryOtherHost {
			s.switchHost(ctx)
		}
		select {
		case <-ctx.Done():
			s.setNoAnswer()
			return
		case <-time.After(max(s.result.RetryAfter, retryPause)):
		}
	}
	if s.result.Outcome == "" {
		s.setNoAnswer()
	}
}

// setNoAnswer sets the outcome of a request that got no final answer within its budget, or within its attempts if no
// refusal came after the last lost one.
func (s *submission) setNoAnswer() {
	s.result.Code = api.CodeDeadline
	s.result.Message = "no final answer within the budget or the attempts"
	switch {
	case !s.sent:
		s.result.Outcome = api.OutcomeNotRun
	case s.req.Idempotent:
		s.result.Outcome = api.OutcomeFailed
	default:
		s.result.Outcome = api.OutcomeUnknown
	}
}

// correctOutcome corrects the outcome of a refusal by what only the caller knows. A host answers unknown where it can't
// tell whether the request ran, but a request whose body was never sent did not run. A host that did not run an
// idempotent request answers not_run, but an earlier host may have run it.
func (s *submission) correctOutcome() {
	switch {
	case s.result.Outcome == api.OutcomeUnknown && !s.sent && refusedBeforeRead(s.result.Code):
		s.result.Outcome = api.OutcomeNotRun
	case s.result.Outcome == api.OutcomeNotRun && s.req.Idempotent && s.lost:
		s.result.Outcome = api.OutcomeFailed
	}
}

// refusedBeforeRead reports whether a host refuses with this code before it evaluates the request itself.
func refusedBeforeRead(code api.Code) bool {
	switch code {
	case api.CodeHomeGone, api.CodeHomeUnreachable, api.CodeRecordsFull, api.CodeDraining:
		return true
	}
	return false
}

// switchHost selects another host for the next attempt. A request whose body was never sent ran nowhere, so it may be
// bound to a new home.
func (s *submission) switchHost(ctx context.Context) {
	s.client.Forget()
	lookup, err := s.client.Lookup(ctx)
	if err != nil {
		return
	}
	other := s.pickOther(lookup.Hosts)
	s.host = other.Address
	if s.req.Idempotent || !s.sent {
		s.bindTo(other)
	}
}

// pickOther returns a host other than the current one, if there is one, and a different one at each attempt.
func (s *submission) pickOther(hosts []api.Host) api.Host {
	for i := range hosts {
		if h := hosts[(s.attempt+i)%len(hosts)]; h.Address != s.host {
			return h
		}
	}
	return hosts[0]
}

func (s *submission) try(ctx context.Context) attemptResult {
	req, err := s.newRequest(ctx)
	if err != nil {
		return retryOtherHost
	}
	resp, err := s.client.http.Do(req)
	sent := s.body.seal() // from here on, no more of the body is read
	if req.ContentLength == 0 {
		sent = !dialFailed(err) // the headers are the whole request
	}
	s.sent = s.sent || sent
	if err != nil {
		if sent {
			s.attemptLost()
		}
		return retryOtherHost
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		s.result.Host = resp.Header.Get(api.HeaderHost)
		return s.handleRefusal(readError(resp), sent)
	}
	v := s.readAnswer(resp)
	if v == interrupted && (sent || s.answer.dispatch > 0) {
		s.sent = true // a host that answers without this body has that of an earlier submit
		s.attemptLost()
	}
	return v
}

// attemptLost records that an attempt of a request that may have been sent got no answer of a host or an interrupted one.
// What an earlier refusal said is void, since the request may have run after it.
func (s *submission) attemptLost() {
	s.lost = true
	s.result.Outcome, s.result.Code, s.result.Message, s.result.RetryAfter = "", "", "", 0
}

// dialFailed reports whether a request failed before there was a connection to send it on.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readAnswer reads frames until the answer is complete or interrupted.
func (s *submission) readAnswer(resp *http.Response) attemptResult {
	s.result.Host = resp.Header.Get(api.HeaderHost)
	s.answer.setHost(s.result.Host)
	last, err := s.answer.read(resp.Body, s.req.ID, func() { s.result.FirstToken = time.Since(s.start) })
	if err != nil {
		s.adopt.record(&s.answer, s.host, s.req.Idempotent)
		return interrupted
	}
	s.result.Outcome = last.Outcome
	s.result.Code = last.Code
	s.result.Message = last.Message
	s.result.Target = last.Target
	s.result.Text = string(s.answer.text)
	s.result.RetryAfter = time.Duration(last.RetryAfterMs) * time.Millisecond
	s.result.Last = *last
	if last.Outcome == api.OutcomeNotRun && last.Code == api.CodeTruncated && !s.bodyRead() {
		return retrySameHost // it joined an earlier attempt whose body was truncated; now the host may ask for its own
	}
	if s.endedByStop(last) {
		s.sent = s.sent && last.Outcome != api.OutcomeNotRun // its home says that nothing of it ran, or will
		return retryOtherHost
	}
	return finished
}

// endedByStop reports whether a host has ended a request because it stops, and another host may run it: one that did not run, or
// that may be repeated.
func (s *submission) endedByStop(last *api.Last) bool {
	if last.Code != api.CodeDraining {
		return false
	}
	return last.Outcome == api.OutcomeNotRun || s.req.Idempotent && last.Outcome == api.OutcomeFailed
}

// bodyRead reports whether the host asked for the body of the current attempt.
func (s *submission) bodyRead() bool { return s.body != nil && s.body.seal() }

// handleRefusal takes over a refusal. An answer that is no refusal of this request, such as the error page of a proxy, tells
// nothing of an attempt that may have sent the request.
func (s *submission) handleRefusal(err error, sent bool) attemptResult {
	var refused *api.Error
	if !errors.As(err, &refused) || refused.Request != "" && refused.Request != s.req.ID {
		if sent {
			s.attemptLost()
		}
		return retryOtherHost
	}
	s.result.Outcome = refused.Outcome
	s.result.Code = refused.Code
	s.result.Message = refused.Message
	s.result.RetryAfter = time.Duration(refused.RetryAfterMs) * time.Millisecond
	homeUnavailable := refused.Code == api.CodeHomeGone || refused.Code == api.CodeHomeUnreachable
	switch {
	case refused.Code == api.CodeDraining, refused.Code == api.CodeNotReady, refused.Code == api.CodeNotServed, homeUnavailable && !s.sent:
		return retryOtherHost
	case refused.Code == api.CodeHomeUnreachable:
		return retrySameHost
	case refused.Code == api.CodeHarmfulPrompt, refused.Code == api.CodeHarmfulRequest:
		return finished
	case refused.RetryAfterMs > 0 && s.client.opts.RetryRefused:
		return retrySameHost
	}
	return finished
}

func (s *submission) newRequest(ctx context.Context) (*http.Request, error) {
	s.body = newSealedBody(s.req.Prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.client.url(s.host, api.PathRequests), s.body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.ContentLength = int64(len(s.req.Prompt))
	if req.ContentLength == 0 {
		req.Body = http.NoBody
	}
	s.setHeaders(req.Header)
	h := req.Header
	h.Set("Expect", "100-continue")
	h.Set(api.HeaderAttempt, strconv.Itoa(s.attempt))
	h.Set(api.HeaderModel, s.req.Model)
	h.Set(api.HeaderPromptTokens, strconv.FormatInt(s.req.PromptTokens, 10))
	h.Set(api.HeaderAnswerTokens, strconv.FormatInt(s.req.AnswerTokens, 10))
	h.Set(api.HeaderBodyChecksum, stream.Checksum(s.req.Prompt))
	s.adopt.setHeaders(h, s.host)
	if s.req.Prefix != "" {
		h.Set(api.HeaderPrefix, s.req.Prefix)
		h.Set(api.HeaderPrefixTokens, strconv.FormatInt(s.req.PrefixTokens, 10))
	}
	return req, nil
}

// setHeaders sets the headers of every submit request and every query about the request.
func (s *submission) setHeaders(h http.Header) {
	secure.SetBearerKey(h, s.client.opts.Key)
	h.Set(api.HeaderRequest, s.req.ID)
	h.Set(api.HeaderTeam, s.client.opts.Team)
	if revision := s.client.seenRevision(); revision > 0 {
		h.Set(api.HeaderRevision, strconv.FormatUint(revision, 10))
	}
	h.Set(api.HeaderIdempotent, strconv.FormatBool(s.req.Idempotent))
	h.Set(api.HeaderHome, s.req.Home)
	h.Set(api.HeaderDeadline, strconv.FormatInt(s.req.Deadline.Milliseconds(), 10))
	h.Set(api.HeaderBudget, strconv.FormatInt(max(s.remaining().Milliseconds(), 1), 10))
}
