// Package core holds the types that the deterministic state machines of an entry host share. Nothing below this
// package does I/O, reads a clock or draws a random number that it was not handed: time is an argument, what is
// heard comes in as an input, what is to be done goes out as an action.
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

// Home names one process of an entry host: its callers' address, and the incarnation that is new at each start.
type Home struct {
	Address     string
	Incarnation string
}

// ParseHome reads the form "address/incarnation".
func ParseHome(s string) (Home, bool) {
	address, incarnation, ok := strings.Cut(s, "/")
	if !ok || address == "" || incarnation == "" {
		return Home{}, false
	}
	return Home{Address: address, Incarnation: incarnation}, true
}

// String returns the form that ParseHome reads.
func (h Home) String() string { return h.Address + "/" + h.Incarnation }

// Key identifies a request: identifiers are chosen by callers, so they are unique within a team only.
type Key struct {
	Team string
	ID   string
}

// Compare orders keys, so that what is done for several of them is done in the same order every time.
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
	// Prefix names a shared beginning of PrefixTokens tokens; empty for none.
	Prefix       string
	PrefixTokens int64
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// Home is the process that alone may execute a request that is not idempotent.
	Home Home
	// Deadline is the end of the budget on this host's clock; 0 asks for Budget from now, or the class's default.
	Deadline Time
	Budget   time.Duration
	// BodyBytes and BodyChecksum describe the body that follows.
	BodyBytes    int64
	BodyChecksum string
	// Revision is the configuration revision of the caller's look-up; 0 if unknown.
	Revision uint64
	// Adopt is the stream that a home which is gone left behind; only of an idempotent request.
	Adopt Adoption
	// Forwarded marks a request that another host passed on.
	Forwarded bool
	// Routed is set for a request that came for a route of the document.
	Routed *Routed
}

// Adoption names a stream at an engine that another host started for the same request.
type Adoption struct {
	Target string
	Stream string
}

// Belongs tells whether the stream is one of the request's: a caller can adopt none of another caller's.
func (a Adoption) Belongs(req *Request) bool {
	s, err := ParseStream(a.Stream)
	return err == nil && req.Idempotent && s.Key == req.Key
}

// SameBody tells whether two submits of one key ask for the same thing.
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

// Timing is when a request reached each step, on this host's clock; 0 for a step not reached.
type Timing struct {
	Admitted   Time
	Dispatched Time
	FirstToken Time
	Finished   Time
}

// Stream names one dispatch of one request at an engine, so that every host can tell whose it is and when it has
// outlived its budget, without asking anybody.
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

// ParseStream reads what Name returned.
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

// ParseOwner reads the stream to which a stream, reservation or export belongs from the name of any of them.
func ParseOwner(name string) (Stream, error) {
	parts := strings.Split(name, "~")
	if len(parts) == streamFields+1 {
		name = strings.Join(parts[:streamFields], "~")
	}
	return ParseStream(name)
}

// Reservation names memory that is held for a stream before it starts and while it runs. Try is new for each
// reservation that a process makes, so that a late release never hits a later reservation.
type Reservation struct {
	Stream Stream
	Try    uint32
}

// Name returns the text form: the stream's name and one more field.
func (r Reservation) Name() string {
	return r.Stream.Name() + "~r" + strconv.FormatUint(uint64(r.Try), 10)
}

// Export names a KV export of a stream.
type Export struct {
	Stream Stream
	Number uint32
}

// Name returns the text form: the stream's name and one more field.
func (e Export) Name() string {
	return e.Stream.Name() + "~e" + strconv.FormatUint(uint64(e.Number), 10)
}

// StreamNameError reports a stream name that no host of this system made.
type StreamNameError struct{ Name string }

// Error implements error.
func (e *StreamNameError) Error() string { return fmt.Sprintf("not a stream name: %q", e.Name) }

// Work is the cost of a request in the unit in which queues and targets are measured.
type Work struct {
	Class document.Class
	// PrefillTokens is the prompt length less what is expected to be cached.
	PrefillTokens int64
	// PrefillWork is the same with each token weighted by its position, in tokens of weight 1.
	PrefillWork int64
	// Group is set when no single engine can hold the request.
	Group        bool
	AnswerTokens int64
}
