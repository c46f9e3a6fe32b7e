// Package core holds the types that the deterministic state machines of an entry host share. No package below this
// one does I/O, reads a clock or uses a random source that was not passed in: time is an argument, received messages
// are inputs, and side effects are returned as actions.
package core

import (
	"cmp"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"carobshunt/api"
	"carobshunt/internal/document"
)

// Time is an instant on one host's own clock: the time since its process started. Instants of different hosts are
// never compared.
type Time = time.Duration

// Home identifies one process of an entry host by its callers' address and its incarnation, which is new at each start.
type Home struct {
	Address     string
	Incarnation string
}

// ParseHome parses the form "address/incarnation" and reports whether it is valid.
func ParseHome(s string) (Home, bool) {
	address, incarnation, ok := strings.Cut(s, "/")
	if !ok || address == "" || incarnation == "" {
		return Home{}, false
	}
	return Home{Address: address, Incarnation: incarnation}, true
}

// String returns the form that ParseHome reads.
func (h Home) String() string { return h.Address + "/" + h.Incarnation }

// Key identifies a request. Callers choose the ID, so it is unique only within a team.
type Key struct {
	Team string
	ID   string
}

// Compare orders keys by team, then by ID, so that several requests are always processed in the same order.
func (k Key) Compare(other Key) int {
	return cmp.Or(strings.Compare(k.Team, other.Team), strings.Compare(k.ID, other.ID))
}

// Request is what a host knows of a request from its headers, before any byte of its body.
type Request struct {
	Key
	// Attempt is the caller's submit number, from 1.
	Attempt uint32
	Model   string
	// PromptTokens and AnswerTokens are the declared lengths, in tokens.
	PromptTokens int64
	AnswerTokens int64
	// Prefix names a shared prompt prefix of PrefixTokens tokens; empty for none.
	Prefix       string
	PrefixTokens int64
	// Parts identify the parts of the prompt that it may share with other requests, in order and each once.
	Parts []PartID
	// Works identify the work, from the most specific: see WorksOf. They are empty until the body is known.
	Works []WorkID
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// Home is the only process that may execute the request if it is not idempotent.
	Home Home
	// Deadline is the end of the time budget on the clock of Home, or of this host without one; 0 if unknown. An idempotent
	// request without one, or with another home, gets one on this host's clock: Budget from now, or the class's default.
	Deadline Time
	// Budget is the time budget that the caller names, 0 if none; that of a routed request is at most its route's timeout.
	Budget time.Duration
	// BodyBytes and BodyChecksum describe the body that follows.
	BodyBytes    int64
	BodyChecksum string
	// Revision is the configuration revision that the caller's lookup returned; 0 if unknown.
	Revision uint64
	// Adopt is the stream that a stopped or failed home left behind, as the caller names it: see Adoption.Belongs.
	Adopt Adoption
	// Forwarded is set for a request that another host forwarded.
	Forwarded bool
	// Zones are the zones in which the request may run, by the document in force when it was submitted.
	Zones ZoneSet
	// Routed is set for a request that is to be matched to a route of the document by authority and path.
	Routed *Routed
}

// AllowsZone reports whether the request may run in an availability zone.
func (r *Request) AllowsZone(zone string) bool { return r.Zones.Has(zone) }

// Adoption names a stream at an engine that another host started for the same request.
type Adoption struct {
	Target string
	Stream string
}

// Belongs reports whether the request may adopt the stream: it must be idempotent, and the stream must have been started
// under its key, so that no caller adopts another caller's stream.
func (a Adoption) Belongs(req *Request) bool {
	s, err := ParseStream(a.Stream)
	return err == nil && req.Idempotent && s.Key == req.Key
}

// SameBody reports whether two submits of one key have the same model, body and idempotency.
func (r *Request) SameBody(other *Request) bool {
	return r.Model == other.Model &&
		r.BodyBytes == other.BodyBytes &&
		r.BodyChecksum == other.BodyChecksum &&
		r.Idempotent == other.Idempotent
}

// Result is how a request ended, or why it was refused.
type Result struct {
	Outcome    api.Outcome
	Code       api.Code
	Message    string
	RetryAfter time.Duration
}

// Timing records when a request reached each step, on this host's clock; 0 for a step not reached. Dispatched is the time
// of the last dispatch, FirstToken that of its first token.
type Timing struct {
	Admitted   Time
	Dispatched Time
	FirstToken Time
	Finished   Time
	// LongestGap is the longest time between two events of the answer, as far as a dispatch reported it.
	LongestGap time.Duration
}

// Stream identifies one dispatch of one request at an engine. The name carries the home and the budget, so any host can
// tell which process owns the stream and when its budget has passed, without asking another host.
type Stream struct {
	Home     Home
	Budget   time.Duration
	Key      Key
	Dispatch uint32
}

const streamFields = 6

// Name returns the text form of the stream.
func (s Stream) Name() string {
	return strings.Join([]string{
		s.Home.Address,
		s.Home.Incarnation,
		strconv.FormatInt(s.Budget.Milliseconds(), 10),
		url.QueryEscape(s.Key.Team),
		url.QueryEscape(s.Key.ID),
		strconv.FormatUint(uint64(s.Dispatch), 10),
	}, "~")
}

// ParseStream parses the form that Name returns.
func ParseStream(name string) (Stream, error) {
	parts := strings.Split(name, "~")
	if len(parts) != streamFields {
		return Stream{}, &StreamNameError{Name: name}
	}
	budget, err1 := strconv.ParseInt(parts[2], 10, 64)
	team, err2 := url.QueryUnescape(parts[3])
	id, err3 := url.QueryUnescape(parts[4])
	dispatch, err4 := strconv.ParseUint(parts[5], 10, 32)
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil {
		return Stream{}, &StreamNameError{Name: name}
	}
	return Stream{
		Home:     Home{Address: parts[0], Incarnation: parts[1]},
		Budget:   time.Duration(budget) * time.Millisecond,
		Key:      Key{Team: team, ID: id},
		Dispatch: uint32(dispatch),
	}, nil
}

// ParseOwner returns the stream that a name belongs to. The name is that of a stream, a reservation or an export.
func ParseOwner(name string) (Stream, error) {
	parts := strings.Split(name, "~")
	if len(parts) == streamFields+1 {
		name = strings.Join(parts[:streamFields], "~")
	}
	return ParseStream(name)
}

// Reservation identifies memory that is held for a stream before it starts and while it runs. Try is new for each
// reservation that a process makes, so that a delayed release never frees a later reservation.
type Reservation struct {
	Stream Stream
	Try    uint32
}

// Name returns the text form: the stream's name and one more field.
func (r Reservation) Name() string {
	return r.Stream.Name() + "~r" + strconv.FormatUint(uint64(r.Try), 10)
}

// Export identifies a KV cache export of a stream.
type Export struct {
	Stream Stream
	Number uint32
}

// Name returns the text form: the stream's name and one more field.
func (e Export) Name() string {
	return e.Stream.Name() + "~e" + strconv.FormatUint(uint64(e.Number), 10)
}

// StreamNameError reports a name that does not have the form of Stream.Name.
type StreamNameError struct{ Name string }

// Error implements error.
func (e *StreamNameError) Error() string { return fmt.Sprintf("not a stream name: %q", e.Name) }

// Work is the estimated cost of a request, as if no part of its prompt were cached.
type Work struct {
	Class document.Class
	// PrefillTokens is the prompt length, in tokens.
	PrefillTokens int64
	// PrefillWork is the prefill work of the prompt, in weighted tokens; queue lengths are measured in it.
	PrefillWork int64
	// Group is set when no single engine can hold the request in memory.
	Group        bool
	AnswerTokens int64
}
