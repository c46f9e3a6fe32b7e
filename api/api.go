// Package api holds the wire types that callers, operators and the daemon share: header names, outcomes, error
// codes and JSON messages. It has no behaviour beyond small predicates.
package api

import "fmt"

// Header names of a submit request. Every submit carries all of the required ones, so that a host can decide
// before it has read any byte of the body.
const (
	// HeaderRequest is the request identifier chosen by the caller, 8 to 64 characters of [A-Za-z0-9_-].
	HeaderRequest = "Carob-Request"
	// HeaderAttempt is the attempt number, from 1; a caller raises it for every submit of one identifier.
	HeaderAttempt = "Carob-Attempt"
	// HeaderTeam names the team on whose limits the request counts.
	HeaderTeam = "Carob-Team"
	// HeaderModel names the model, or the plain service, that is to answer.
	HeaderModel = "Carob-Model"
	// HeaderPromptTokens is the length of the prompt in tokens.
	HeaderPromptTokens = "Carob-Prompt-Tokens"
	// HeaderAnswerTokens is the longest answer that the caller wants, in tokens.
	HeaderAnswerTokens = "Carob-Answer-Tokens"
	// HeaderPrefix names the shared beginning of the prompt, if there is one.
	HeaderPrefix = "Carob-Prefix"
	// HeaderPrefixTokens is the length of the shared beginning in tokens.
	HeaderPrefixTokens = "Carob-Prefix-Tokens"
	// HeaderBodyChecksum is the 64-bit xxHash of the body, in hexadecimal.
	HeaderBodyChecksum = "Carob-Body-Checksum"
	// HeaderIdempotent is "true" when the request may be executed more than once.
	HeaderIdempotent = "Carob-Idempotent"
	// HeaderHome is the home of a request that is not idempotent, as "address/incarnation".
	HeaderHome = "Carob-Home"
	// HeaderDeadline is the end of the time budget, in milliseconds of the home's clock.
	HeaderDeadline = "Carob-Deadline-Ms"
	// HeaderBudget is the time budget in milliseconds, for a request that carries no deadline.
	HeaderBudget = "Carob-Budget-Ms"
	// HeaderRevision echoes the configuration revision of the look-up.
	HeaderRevision = "Carob-Revision"
	// HeaderForwarded is set by a host that passes a request on to its home; such a request is not passed on again.
	HeaderForwarded = "Carob-Forwarded"
	// HeaderAdoptTarget and HeaderAdoptStream name the engine and the stream of an answer that broke off with its
	// home. The host that is asked next goes on with that stream if it can, and else runs the request anew.
	HeaderAdoptTarget = "Carob-Adopt-Target"
	HeaderAdoptStream = "Carob-Adopt-Stream"
	// HeaderHost is set on every answer: the address and incarnation of the host that decided.
	HeaderHost = "Carob-Host"
)

// Paths of the callers' and the operators' interface.
const (
	PathHosts    = "/v1/hosts"
	PathRequests = "/v1/requests"
	PathStatus   = "/v1/status"
	PathDrain    = "/v1/drain"
	PathDocument = "/v1/document"
)

// Outcome says what became of a request.
type Outcome string

const (
	// OutcomePending means that the request is admitted and not finished.
	OutcomePending Outcome = "pending"
	// OutcomeDone means that the request ran and its answer is whole.
	OutcomeDone Outcome = "done"
	// OutcomeFailed means that the request may have run and ended without a whole answer.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun means that the request did not run: no byte of it reached a target.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown is said only of a request that is not idempotent and whose execution can't be excluded.
	OutcomeUnknown Outcome = "unknown"
)

// Final tells whether the outcome can no longer change.
func (o Outcome) Final() bool { return o != OutcomePending }

// Code is the reason of an answer other than a whole one.
type Code string

// Reasons for a refusal or a failure.
const (
	CodeMalformed        Code = "malformed"
	CodeUnauthorized     Code = "unauthorized"
	CodeTooLarge         Code = "too_large"
	CodeTruncated        Code = "truncated"
	CodeChecksum         Code = "checksum_mismatch"
	CodeConflict         Code = "conflict"
	CodeHomeRequired     Code = "home_required"
	CodeHomeGone         Code = "home_gone"
	CodeHomeUnreachable  Code = "home_unreachable"
	CodeClosed           Code = "closed"
	CodeDeadline         Code = "deadline_exceeded"
	CodeOverloaded       Code = "overloaded"
	CodeTeamLimit        Code = "team_limit"
	CodeBodyMemory       Code = "body_memory"
	CodeRecordsFull      Code = "records_full"
	CodeNotReady         Code = "not_ready"
	CodeDraining         Code = "draining"
	CodeNotServed        Code = "team_not_served_here"
	CodeNoTarget         Code = "no_target"
	CodeTargetFailed     Code = "target_failed"
	CodeTargetRefused    Code = "target_refused"
	CodeTargetLost       Code = "target_lost"
	CodeCanceled         Code = "canceled"
	CodeNotFound         Code = "not_found"
	CodeUnknownModel     Code = "unknown_model"
	CodeUnknownTeam      Code = "unknown_team"
	CodeUnknownRoute     Code = "unknown_route"
	CodeUnknownKey       Code = "unknown_key"
	CodeNoRoom           Code = "no_room"
	CodeRevisionBehind   Code = "revision_behind"
	CodeRecordExpired    Code = "record_expired"
	CodeOffsetOutOfRange Code = "offset_out_of_range"
)

// Error is the JSON body of every answer that is not a stream, and the typed error that the caller's library
// returns for it.
type Error struct {
	Request string  `json:"request,omitempty"`
	Attempt uint32  `json:"attempt,omitempty"`
	Outcome Outcome `json:"outcome"`
	Code    Code    `json:"code"`
	Message string  `json:"message"`
	// RetryAfterMs is the time after which another try makes sense, in milliseconds; 0 when none does.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// Alternatives are other entry hosts to turn to, as IP address and port.
	Alternatives []string `json:"alternatives,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Outcome, e.Code, e.Message)
}

// Host is one entry host in a look-up answer.
type Host struct {
	// Address is the callers' address, an IP address and port.
	Address string `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Incarnation is new at each start of the process.
	Incarnation string `json:"incarnation"`
	// ClockMs is a reading of the host's own clock at the moment of the answer, in milliseconds since its start.
	ClockMs int64 `json:"clock_ms"`
}

// Home is the value of HeaderHome for this host.
func (h Host) Home() string { return h.Address + "/" + h.Incarnation }

// Lookup answers PathHosts: the entry hosts to use, the nearest first.
type Lookup struct {
	Hosts []Host `json:"hosts"`
	// Ask names callers' addresses of hosts to ask instead, where the one that was asked knows none that serve the
	// team; Hosts is empty then.
	Ask      []string `json:"ask,omitempty"`
	Revision uint64   `json:"revision"`
	// KeepMs is how long the caller may keep this answer, in milliseconds.
	KeepMs int64 `json:"keep_ms"`
}

// Frame is one line of a streamed answer (newline-delimited JSON). A caller drops a frame whose request or
// sequence it does not expect.
type Frame struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	// Dispatch rises when the answer starts over at another target; what came under a lower number is void.
	Dispatch uint32 `json:"dispatch"`
	// Target and Stream are set on the first frame of a dispatch: what makes the answer, and its name there.
	Target string `json:"target,omitempty"`
	Stream string `json:"stream,omitempty"`
	// Offset is the position of Text in the whole answer, in bytes.
	Offset int64  `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Last is set on the final frame only.
	Last *Last `json:"last,omitempty"`
}

// Last closes a streamed answer.
type Last struct {
	Outcome Outcome `json:"outcome"`
	Code    Code    `json:"code,omitempty"`
	Message string  `json:"message,omitempty"`
	// Length is the length of the whole answer in bytes.
	Length int64 `json:"length"`
	// Checksum is the 64-bit xxHash of the whole answer, in hexadecimal.
	Checksum     string `json:"checksum"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	// Target is the address of the target that answered.
	Target string `json:"target,omitempty"`
	// QueuedMs, FirstTokenMs and TotalMs are times since admission, in milliseconds.
	QueuedMs     int64 `json:"queued_ms"`
	FirstTokenMs int64 `json:"first_token_ms"`
	TotalMs      int64 `json:"total_ms"`
}

// State answers a question after a request's outcome.
type State struct {
	Request string  `json:"request"`
	Outcome Outcome `json:"outcome"`
	Code    Code    `json:"code,omitempty"`
	Target  string  `json:"target,omitempty"`
	// Length is the number of answer bytes held so far.
	Length       int64 `json:"length"`
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}
