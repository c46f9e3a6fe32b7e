package client

import (
	"context"
	"net/http"
	"strconv"
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

// Bounds of AnswerMargin. A host looks at deadlines every 50 ms, and its answer takes a moment on the way.
const (
	minAnswerMargin = 75 * time.Millisecond
	maxAnswerMargin   = 250 * time.Millisecond
)

// AnswerMargin is how much earlier than the end of a budget the deadline at the host lies, so that the host's last
// word still reaches the caller in time.
func AnswerMargin(budget time.Duration) time.Duration {
	return min(max(budget/10, minAnswerMargin), budget/4, maxAnswerMargin)
}

// Do submits a request and returns what became of it. The error is non-nil only when nothing could be asked of any
// host, in which case nothing ran.
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

// submission is one request over its attempts.
type submission struct {
	client  *Client
	req     Request
	start   time.Time
	attempt int
	host    string
	// body is the present attempt's.
	body *sealedBody
	// sent is set once any byte of the body may have left, here or in an earlier process of the caller.
	sent bool
	// lost is set once an attempt whose body may have left ended without an answer.
	lost   bool
	result Result
	answer assembly
	// adopt is the engine's stream that an answer which broke off came from, and the host that served it.
	adopt adoption
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
		s.bindTo(chosen)
	}
	return nil
}

func (s *submission) bindTo(h api.Host) {
	s.req.Home = h.Home()
	s.req.Deadline = time.Duration(h.ClockMs)*time.Millisecond + s.remaining() - AnswerMargin(s.req.Budget)
}

// remaining is what is remaining of the budget.
func (s *submission) remaining() time.Duration { return s.req.Budget - time.Since(s.start) }

// attemptResult says how to go on after an attempt.
type attemptResult int

const (
	finished attemptResult = iota
	retrySameHost
	retryOtherHost
	// interrupted is an answer that broke off and may be resumed.
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

// setNoAnswer is the outcome of a request that never got a final answer.
func (s *submission) setNoAnswer() {
	s.result.Code = api.CodeDeadline
	s.result.Message = "no final answer within the budget"
	switch {
	case !s.sent:
		s.result.Outcome = api.OutcomeNotRun
	case s.req.Idempotent:
		s.result.Outcome = api.OutcomeFailed
	default:
		s.result.Outcome = api.OutcomeUnknown
	}
}

// correctOutcome corrects a refusal by what the caller alone knows. A host that can't tell whether a request ran is wrong
// about one whose body never left; a host that did not run an idempotent one can't speak for the host before it.
func (s *submission) correctOutcome() {
	switch {
	case s.result.Outcome == api.OutcomeUnknown && !s.sent && refusedBeforeRead(s.result.Code):
		s.result.Outcome = api.OutcomeNotRun
	case s.result.Outcome == api.OutcomeNotRun && s.req.Idempotent && s.lost:
		s.result.Outcome = api.OutcomeFailed
	}
}

// refusedBeforeRead tells whether a host refuses with this code before it has looked at the request itself.
func refusedBeforeRead(code api.Code) bool {
	switch code {
	case api.CodeHomeGone, api.CodeHomeUnreachable, api.CodeRecordsFull, api.CodeDraining:
		return true
	}
	return false
}

// switchHost turns to another host. A request of which no body was ever sent ran nowhere and may take a new home.
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

// pickOther is another host than the present one, if there is one; a different one at each attempt.
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
	sent := s.body.seal() // from here on nothing more of the body leaves
	s.sent = s.sent || sent
	if err != nil {
		s.lost = s.lost || sent
		return retryOtherHost
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		s.result.Host = resp.Header.Get(api.HeaderHost)
		return s.handleRefusal(readError(resp))
	}
	v := s.readAnswer(resp)
	s.lost = s.lost || sent && v == interrupted
	return v
}

// readAnswer takes frames until the answer is whole or breaks off.
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
		return retrySameHost // it joined an earlier attempt whose body broke off; now its own may be asked for
	}
	return finished
}

// bodyRead tells whether the present attempt's body was asked for.
func (s *submission) bodyRead() bool { return s.body != nil && s.body.seal() }

func (s *submission) handleRefusal(err error) attemptResult {
	var refused *api.Error
	if !errors.As(err, &refused) {
		return retryOtherHost
	}
	s.result.Outcome = refused.Outcome
	s.result.Code = refused.Code
	s.result.Message = refused.Message
	s.result.RetryAfter = time.Duration(refused.RetryAfterMs) * time.Millisecond
	homeless := refused.Code == api.CodeHomeGone || refused.Code == api.CodeHomeUnreachable
	switch {
	case refused.Code == api.CodeDraining, refused.Code == api.CodeNotReady, refused.Code == api.CodeNotServed, homeless && !s.sent:
		return retryOtherHost
	case refused.Code == api.CodeHomeUnreachable:
		return retrySameHost
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
		s.sent = true // the headers are all of it
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

// setHeaders sets what every question about the request carries.
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
