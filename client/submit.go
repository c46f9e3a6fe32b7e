package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"carobshunt/api"
	"carobshunt/internal/secure"
	"carobshunt/internal/stream"

	"github.com/juju/errors"
)

// Request is what a caller wants answered.
type Request struct {
	// ID identifies the request over all retries, 8 to 64 characters of [A-Za-z0-9_-].
	ID     string
	Model  string
	Prompt []byte
	// PromptTokens and AnswerTokens are lengths in tokens.
	PromptTokens int64
	AnswerTokens int64
	// Prefix names a beginning of PrefixTokens tokens that other prompts share; empty for none.
	Prefix       string
	PrefixTokens int64
	// Idempotent requests may be executed more than once.
	Idempotent bool
	Budget     time.Duration
	// Home binds a request that is not idempotent to the home that an earlier process of the caller chose, with the
	// deadline on that home's clock; both are empty for a new request.
	Home     string
	Deadline time.Duration
	// Via is the host to ask; empty for the home, or any.
	Via string
}

// Result is what became of a request.
type Result struct {
	Outcome api.Outcome
	Code    api.Code
	Message string
	// Text is the whole answer of a request that is done.
	Text string
	// Host is the entry host that decided, as address/incarnation; Target is what answered.
	Host   string
	Target string
	// Home and Deadline are what the request was bound to.
	Home       string
	Deadline   time.Duration
	RetryAfter time.Duration
	Attempts   int
	FirstToken time.Duration
	Total      time.Duration
	Last       api.Last
}

// Do submits a request and returns what became of it. The error is non-nil only when nothing could be asked of any
// host, in which case nothing ran.
func (c *Client) Do(ctx context.Context, req Request) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Budget)
	defer cancel()
	s := &submission{client: c, req: req, start: time.Now()}
	if err := s.bind(ctx); err != nil {
		return Result{}, errors.Trace(err)
	}
	s.run(ctx)
	s.result.Home = s.req.Home
	s.result.Deadline = s.req.Deadline
	s.result.Attempts = s.attempt
	s.result.Total = time.Since(s.start)
	return s.result, nil
}

// submission is one request over its attempts.
type submission struct {
	client  *Client
	req     Request
	start   time.Time
	attempt int
	host    string
	// bodySent is set once any byte of the body may have left.
	bodySent atomic.Bool
	result   Result
	answer   assembly
}

// bind chooses the host, which for a request that is not idempotent becomes its home.
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
		s.req.Home = chosen.Home()
		s.req.Deadline = time.Duration(chosen.ClockMs)*time.Millisecond + s.req.Budget - time.Since(s.start)
	}
	return nil
}

// verdict says how to go on after an attempt.
type verdict int

const (
	finished verdict = iota
	again
	elsewhere
)

func (s *submission) run(ctx context.Context) {
	for s.attempt < s.client.opts.MaxAttempts {
		s.attempt++
		switch s.try(ctx) {
		case finished:
			return
		case elsewhere:
			s.moveOn(ctx)
		case again:
		}
		pause := max(s.result.RetryAfter, retryPause)
		select {
		case <-ctx.Done():
			s.outOfTime()
			return
		case <-time.After(pause):
		}
	}
	if s.result.Outcome == "" {
		s.outOfTime()
	}
}

// outOfTime is the outcome of a request that never got a final answer.
func (s *submission) outOfTime() {
	s.result.Code = api.CodeDeadline
	s.result.Message = "no final answer within the budget"
	switch {
	case !s.bodySent.Load():
		s.result.Outcome = api.OutcomeNotRun
	case s.req.Idempotent:
		s.result.Outcome = api.OutcomeFailed
	default:
		s.result.Outcome = api.OutcomeUnknown
	}
}

// moveOn turns to another host. A request of which no body was ever sent ran nowhere and may take a new home.
func (s *submission) moveOn(ctx context.Context) {
	s.client.Forget()
	lookup, err := s.client.Lookup(ctx)
	if err != nil {
		return
	}
	other := lookup.Hosts[s.attempt%len(lookup.Hosts)]
	for _, h := range lookup.Hosts {
		if h.Address != s.host {
			other = h
		}
	}
	s.host = other.Address
	if s.req.Idempotent || !s.bodySent.Load() {
		s.req.Home = other.Home()
		s.req.Deadline = time.Duration(other.ClockMs)*time.Millisecond + s.req.Budget - time.Since(s.start)
	}
}

func (s *submission) try(ctx context.Context) verdict {
	req, err := s.request(ctx)
	if err != nil {
		return elsewhere
	}
	resp, err := s.client.http.Do(req)
	if err != nil {
		return elsewhere
	}
	defer func() { _ = resp.Body.Close() }()
	s.result.Host = resp.Header.Get(api.HeaderHost)
	if resp.StatusCode != http.StatusOK {
		return s.judgeRefusal(readError(resp))
	}
	last, err := s.answer.read(resp.Body, s.req.ID, func() { s.result.FirstToken = time.Since(s.start) })
	if err != nil {
		return again
	}
	s.result.Outcome = last.Outcome
	s.result.Code = last.Code
	s.result.Message = last.Message
	s.result.Target = last.Target
	s.result.Text = string(s.answer.text)
	s.result.RetryAfter = time.Duration(last.RetryAfterMs) * time.Millisecond
	s.result.Last = *last
	return finished
}

func (s *submission) judgeRefusal(err error) verdict {
	var refused *api.Error
	if !errors.As(err, &refused) {
		return elsewhere
	}
	s.result.Outcome = refused.Outcome
	s.result.Code = refused.Code
	s.result.Message = refused.Message
	s.result.RetryAfter = time.Duration(refused.RetryAfterMs) * time.Millisecond
	switch {
	case refused.Code == api.CodeDraining, refused.Code == api.CodeNotReady:
		return elsewhere
	case refused.Code == api.CodeHomeUnreachable:
		return again
	case refused.RetryAfterMs > 0 && s.client.opts.RetryRefused:
		return again
	}
	return finished
}

func (s *submission) request(ctx context.Context) (*http.Request, error) {
	body := &watchedBody{Reader: bytes.NewReader(s.req.Prompt), touched: &s.bodySent}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.client.url(s.host, api.PathRequests), body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.ContentLength = int64(len(s.req.Prompt))
	h := req.Header
	h.Set("Expect", "100-continue")
	secure.SetBearerKey(h, s.client.opts.Key)
	h.Set(api.HeaderRequest, s.req.ID)
	h.Set(api.HeaderAttempt, strconv.Itoa(s.attempt))
	h.Set(api.HeaderTeam, s.client.opts.Team)
	h.Set(api.HeaderModel, s.req.Model)
	h.Set(api.HeaderPromptTokens, strconv.FormatInt(s.req.PromptTokens, 10))
	h.Set(api.HeaderAnswerTokens, strconv.FormatInt(s.req.AnswerTokens, 10))
	h.Set(api.HeaderIdempotent, strconv.FormatBool(s.req.Idempotent))
	h.Set(api.HeaderBodyChecksum, stream.Checksum(s.req.Prompt))
	h.Set(api.HeaderHome, s.req.Home)
	h.Set(api.HeaderDeadline, strconv.FormatInt(s.req.Deadline.Milliseconds(), 10))
	if s.req.Prefix != "" {
		h.Set(api.HeaderPrefix, s.req.Prefix)
		h.Set(api.HeaderPrefixTokens, strconv.FormatInt(s.req.PrefixTokens, 10))
	}
	return req, nil
}

// watchedBody notes the first read: from then on the body counts as sent.
type watchedBody struct {
	io.Reader
	touched *atomic.Bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	return b.Reader.Read(p)
}
