// Package api holds the wire types that callers, operators and the daemon share: header names, outcomes, error
// codes and JSON messages. It has no behaviour beyond small methods.
package api

import "fmt"

// Header names of a submit request. Every attempt carries all required headers, so that a host can decide on it
// before reading any byte of the body.
const (
	// HeaderRequest is the request identifier chosen by the caller, 8 to 64 characters of [A-Za-z0-9_-].
	HeaderRequest = "Carob-Request"
	// HeaderAttempt is the attempt number, from 1; a caller increments it each time it submits the same identifier.
	HeaderAttempt = "Carob-Attempt"
	// HeaderTeam names the team whose limits the request counts against.
	HeaderTeam = "Carob-Team"
	// HeaderModel names the model, or the plain service, that is to answer.
	HeaderModel = "Carob-Model"
	// HeaderPromptTokens is the length of the prompt in tokens.
	HeaderPromptTokens = "Carob-Prompt-Tokens"
	// HeaderAnswerTokens is the maximum length of the answer in tokens.
	HeaderAnswerTokens = "Carob-Answer-Tokens"
	// HeaderPrefix names the prompt prefix that the request shares with others, if there is one.
	HeaderPrefix = "Carob-Prefix"
	// HeaderPrefixTokens is the length of the shared prefix in tokens.
	HeaderPrefixTokens = "Carob-Prefix-Tokens"
	// HeaderBodyChecksum is the 64-bit xxHash of the body, in hexadecimal.
	HeaderBodyChecksum = "Carob-Body-Checksum"
	// HeaderIdempotent is "true" when the request may be executed more than once.
	HeaderIdempotent = "Carob-Idempotent"
	// HeaderHome is the home of a request that is not idempotent, as "address/incarnation": the one host process
	// that may run it. For an idempotent request, it is the process that HeaderDeadline refers to, and that a query or a
	// cancel is forwarded to.
	HeaderHome = "Carob-Home"
	// HeaderDeadline is the end of the time budget, in milliseconds on the home's clock.
	HeaderDeadline = "Carob-Deadline-Ms"
	// HeaderBudget is the time budget in milliseconds. It is used for an idempotent request that carries no deadline, or
	// one on the clock of another process.
	HeaderBudget = "Carob-Budget-Ms"
	// HeaderRevision echoes the configuration revision of the lookup.
	HeaderRevision = "Carob-Revision"
	// HeaderForwarded is set by a host that forwards a request to its home; a forwarded request is not forwarded
	// again.
	HeaderForwarded = "Carob-Forwarded"
	// HeaderAdoptTarget and HeaderAdoptStream name the engine and the stream of an answer that was interrupted when
	// its host was lost. The next host adopts that stream if it can, and otherwise runs the request again.
	HeaderAdoptTarget = "Carob-Adopt-Target"
	HeaderAdoptStream = "Carob-Adopt-Stream"
	// HeaderHost is set on every answer: the host that decided on the request, as "address/incarnation".
	HeaderHost = "Carob-Host"
)

// Paths of the callers' and the operators' interfaces.
const (
	PathHosts    = "/v1/hosts"
	PathRequests = "/v1/requests"
	PathStatus   = "/v1/status"
	PathDrain    = "/v1/drain"
	PathWithheld = "/v1/withheld"
	PathDocument = "/v1/document"
)

// Outcome is the result of a request, or that it is still pending.
type Outcome string

const (
	// OutcomePending means that the request is admitted and has not finished.
	OutcomePending Outcome = "pending"
	// OutcomeDone means that the request ran and its answer is complete.
	OutcomeDone Outcome = "done"
	// OutcomeFailed means that the request may have run and ended without a complete answer.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun means that the request did not run: no target executed it. An idempotent request may still have run
	// through another host.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may or may not have run. Only a request that is not idempotent ends with this
	// outcome. A query or a cancel that is refused has it for any request.
	OutcomeUnknown Outcome = "unknown"
)

// Final reports whether the outcome is any other than pending.
func (o Outcome) Final() bool { return o != OutcomePending }

// Code is the reason why a request has no complete answer.
type Code string

// Reasons for a refusal or a failure.
const (
	CodeMalformed        Code = "malformed"
	CodeUnauthorized     Code = "unauthorized"
	CodeTooLarge         Code = "too_large"
	CodeTruncated        Code = "truncated"
	CodeChecksum         Code = "checksum_mismatch"
	CodeConflict         Code = "conflict"         // another request has this identifier
	CodeHomeRequired     Code = "home_required"    // a request that is not idempotent names no home
	CodeHomeGone         Code = "home_gone"        // the named home process has ended
	CodeHomeUnreachable  Code = "home_unreachable" // the home does not answer, and only it knows the outcome
	CodeClosed           Code = "closed"           // the attempt was answered, or its identifier closed, before; it will not run
	CodeDeadline         Code = "deadline_exceeded"
	CodeOverloaded       Code = "overloaded"
	CodeTeamLimit        Code = "team_limit"
	CodeBodyMemory       Code = "body_memory"  // the host has no memory for the body
	CodeRecordsFull      Code = "records_full" // the host has no room for another request record
	CodeNotReady         Code = "not_ready"
	CodeDraining         Code = "draining"
	CodeNotServed        Code = "team_not_served_here" // other hosts serve the team
	CodeNoTarget         Code = "no_target"
	CodeNoAllowedTarget  Code = "no_allowed_target" // no target of the service is in a region where the request may run
	CodeTargetFailed     Code = "target_failed"     // the target answered with a failure
	CodeTargetRefused    Code = "target_refused"    // the target did not execute the request
	CodeTargetLimit      Code = "target_limit"      // the targets take no more requests from all hosts together now
	CodeEvacuated        Code = "evacuated"         // all targets are in evacuated availability zones
	CodeHarmfulPrompt    Code = "harmful_prompt"    // prompts that share parts with this one have ended the targets that ran them
	CodeHarmfulRequest   Code = "harmful_request"   // the same request has ended the targets that ran it
	CodeSuspectRequest   Code = "suspect_request"   // the same request may have ended targets; one host at a time tries it again
	CodeTargetLost       Code = "target_lost"       // the target may have executed the request and gave no complete answer
	CodeCanceled         Code = "canceled"
	CodeNotFound         Code = "not_found"
	CodeUnknownModel     Code = "unknown_model"
	CodeUnknownTeam      Code = "unknown_team"
	CodeUnknownRoute     Code = "unknown_route"
	CodeUnknownKey       Code = "unknown_key"
	CodeNoRoom           Code = "no_room" // no target had room in time
	CodeRevisionBehind   Code = "revision_behind"
	CodeRecordExpired    Code = "record_expired" // the record, if there was one, is no longer kept
	CodeOffsetOutOfRange Code = "offset_out_of_range"
)

// Error is the JSON body of every answer that is neither a stream nor a result, and the error that package client
// decodes it to.
type Error struct {
	Request string  `json:"request,omitempty"`
	Attempt uint32  `json:"attempt,omitempty"`
	Outcome Outcome `json:"outcome"`
	Code    Code    `json:"code"`
	Message string  `json:"message"`
	// RetryAfterMs is the time to wait before a retry, in milliseconds; 0 if the host names none.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// Alternatives are other entry hosts to try, as IP address and port.
	Alternatives []string `json:"alternatives,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Outcome, e.Code, e.Message)
}

// Host is one entry host in the answer to a lookup.
type Host struct {
	// Address is where callers connect, an IP address and port.
	Address string `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Incarnation identifies one run of the host's process; each start has a new one.
	Incarnation string `json:"incarnation"`
	// ClockMs is the time on this host's own clock when the lookup was answered, in milliseconds since its process
	// started. It is an estimate if another host answered.
	ClockMs int64 `json:"clock_ms"`
}

// Home returns the value of HeaderHome that names this host as the home.
func (h Host) Home() string { return h.Address + "/" + h.Incarnation }

// Lookup is the answer at PathHosts: the entry hosts to use, those of the caller's zone first.
type Lookup struct {
	Hosts []Host `json:"hosts"`
	// AskInstead is set, and Hosts empty, if the host knows no host that serves the team: callers' addresses of hosts to
	// ask instead.
	AskInstead []string `json:"ask,omitempty"`
	// Revision is the configuration revision in force on the host.
	Revision uint64 `json:"revision"`
	// KeepMs is how long the caller may cache this answer, in milliseconds.
	KeepMs int64 `json:"keep_ms"`
}

// Frame is one line of a streamed answer (newline-delimited JSON). Package client ends the connection at a frame of
// another request, and ignores text that it has already or that does not follow the text before it.
type Frame struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	// Dispatch increases when the answer starts over, at another target or the same; text under a lower number is
	// discarded.
	Dispatch uint32 `json:"dispatch"`
	// Target is the address of the target that generates the answer, set on the first frame of a response that has one
	// and on the first frame after a change of Target or Stream.
	Target string `json:"target,omitempty"`
	// Stream is the target's name for the answer, set on the same frame.
	Stream string `json:"stream,omitempty"`
	// Offset is the position of Text in the whole answer, in bytes.
	Offset int64  `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Last is set on the final frame only.
	Last *Last `json:"last,omitempty"`
}

// Last ends a streamed answer and describes all text of its dispatch that was sent: the whole answer if Outcome is
// OutcomeDone, otherwise a part.
type Last struct {
	Outcome Outcome `json:"outcome"`
	Code    Code    `json:"code,omitempty"`
	Message string  `json:"message,omitempty"`
	// Length is the length of that text in bytes.
	Length int64 `json:"length"`
	// Checksum is the 64-bit xxHash of that text, in hexadecimal.
	Checksum     string `json:"checksum"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	// Target is the address of the last target that the request was sent to.
	Target string `json:"target,omitempty"`
	// QueuedMs, FirstTokenMs and TotalMs are the times from admission to the last dispatch, to the first token and
	// to the end of the answer, in milliseconds; 0 if there was none.
	QueuedMs     int64 `json:"queued_ms"`
	FirstTokenMs int64 `json:"first_token_ms"`
	TotalMs      int64 `json:"total_ms"`
}

// State is the answer to a query for the outcome of a request.
type State struct {
	Request string  `json:"request"`
	Outcome Outcome `json:"outcome"`
	Code    Code    `json:"code,omitempty"`
	Target  string  `json:"target,omitempty"`
	// Length is the number of answer bytes held so far.
	Length       int64 `json:"length"`
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}
