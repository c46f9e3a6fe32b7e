package gateway

import (
	"net/http"
	"regexp"
	"strconv"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
)

var validID = regexp.MustCompile(`^[A-Za-z0-9_-]{8,64}$`)

// parser reads a request's headers and keeps the first fault that it finds.
type parser struct {
	header http.Header
	fault  *api.Error
}

func (p *parser) fail(name, why string) {
	if p.fault == nil {
		p.fault = malformed(name + ": " + why)
	}
}

func malformed(message string) *api.Error {
	return &api.Error{Outcome: api.OutcomeNotRun, Code: api.CodeMalformed, Message: message}
}

func (p *parser) text(name string, required bool) string {
	value := p.header.Get(name)
	if value == "" && required {
		p.fail(name, "missing")
	}
	return value
}

func (p *parser) number(name string, required bool, low, high int64) int64 {
	value := p.text(name, required)
	if value == "" {
		return 0
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < low || n > high {
		p.fail(name, "must be a whole number from "+strconv.FormatInt(low, 10)+" to "+strconv.FormatInt(high, 10))
		return 0
	}
	return n
}

func (p *parser) flag(name string) bool {
	switch p.header.Get(name) {
	case "true":
		return true
	case "false":
		return false
	}
	p.fail(name, "must be true or false")
	return false
}

func (p *parser) identifier(name string) string {
	value := p.text(name, true)
	if !validID.MatchString(value) {
		p.fail(name, "must be 8 to 64 characters of A-Z a-z 0-9 _ -")
	}
	return value
}

func (p *parser) home() core.Home {
	value := p.header.Get(api.HeaderHome)
	if value == "" {
		return core.Home{}
	}
	home, ok := core.ParseHome(value)
	if !ok {
		p.fail(api.HeaderHome, "must be address/incarnation")
	}
	return home
}

func (p *parser) duration(name string, highMs int64) time.Duration {
	return time.Duration(p.number(name, false, 1, highMs)) * time.Millisecond
}

// Upper bounds of header values.
const (
	maxTokens   = 1 << 21
	maxAttempts = 1 << 20
	maxBudgetMs = int64(ledger.MaxBudget / time.Millisecond)
	// maxClockMs bounds a reading of a host's clock, which starts with the process: about 139 years.
	maxClockMs = 1 << 42
	// maxBytesPerToken bounds the body bytes per declared prompt token.
	maxBytesPerToken = 16
)

// parseSubmit reads the headers of a submit. It returns the error for the caller if they are invalid.
func parseSubmit(r *http.Request, maxBody int64) (core.Request, *api.Error) {
	p := &parser{header: r.Header}
	req := parseCommon(p)
	req.Attempt = uint32(p.number(api.HeaderAttempt, true, 1, maxAttempts))
	req.Model = p.text(api.HeaderModel, true)
	req.PromptTokens = p.number(api.HeaderPromptTokens, true, 1, maxTokens)
	req.AnswerTokens = p.number(api.HeaderAnswerTokens, true, 1, maxTokens)
	req.Prefix = p.text(api.HeaderPrefix, false)
	req.PrefixTokens = p.number(api.HeaderPrefixTokens, false, 0, req.PromptTokens)
	if req.Prefix != "" {
		req.Parts = []core.PartID{core.NewPartID(req.Prefix)}
	}
	req.Adopt = core.Adoption{Target: p.text(api.HeaderAdoptTarget, false), Stream: p.text(api.HeaderAdoptStream, false)}
	req.BodyChecksum = p.text(api.HeaderBodyChecksum, true)
	req.BodyBytes = r.ContentLength
	if p.fault == nil {
		p.fault = checkLength(&req, maxBody)
	}
	return req, withRequest(p.fault, req)
}

// parseCommon reads the headers that a submit, a query and a cancel have in common.
func parseCommon(p *parser) core.Request {
	return core.Request{
		Key:        core.Key{Team: p.text(api.HeaderTeam, true), ID: p.identifier(api.HeaderRequest)},
		Idempotent: p.flag(api.HeaderIdempotent),
		Home:       p.home(),
		Deadline:   p.duration(api.HeaderDeadline, maxClockMs),
		Budget:     p.duration(api.HeaderBudget, maxBudgetMs),
		Revision:   uint64(p.number(api.HeaderRevision, false, 0, 1<<62)),
		Forwarded:  p.header.Get(api.HeaderForwarded) != "",
	}
}

// checkLength checks the length of the body against the host's limit and the declared prompt.
func checkLength(req *core.Request, maxBody int64) *api.Error {
	switch {
	case req.BodyBytes < 0:
		return malformed("Content-Length: missing")
	case req.BodyBytes > maxBody:
		return &api.Error{Outcome: api.OutcomeNotRun, Code: api.CodeTooLarge, Message: "the body is larger than this host takes"}
	case req.BodyBytes > req.PromptTokens*maxBytesPerToken:
		return malformed(api.HeaderPromptTokens + ": too few for a body of this length")
	}
	return nil
}

// withRequest adds the identifier and the attempt of req to e, which may be nil.
func withRequest(e *api.Error, req core.Request) *api.Error {
	if e != nil {
		e.Request = req.ID
		e.Attempt = req.Attempt
	}
	return e
}
