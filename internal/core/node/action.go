package node

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"
)

// Action is an effect that the caller of Step must carry out. The Node has no other output, apart from Snapshot. The method
// action does nothing; it only marks the types that are actions: those of this file, CheckTarget in checks.go, Reserve and
// Release in groups.go, ListMemory and CancelHolding in memory.go, and ReadOrders and SendOrder in orders.go.
type Action interface{ action() }

// DecisionKind is how the server that received a caller's request proceeds with it.
type DecisionKind int

// The kinds of decision.
const (
	// Admit: read the body, then send BodyEnded and stream the answer.
	Admit DecisionKind = iota
	// Attach: the request has a record already; stream its answer from the start.
	Attach
	// Refuse: answer with the Result immediately.
	Refuse
	// Forward: proxy the request to its home.
	Forward
	// Report: answer a query or a cancel with the Result.
	Report
)

// Decision answers a Submit, Cancel or Query.
type Decision struct {
	Kind   DecisionKind
	Result core.Result
	// Home is the destination of a Forward.
	Home core.Home
	// Target is the last target of the request, for Report.
	Target string
	// Alternatives are the caller addresses of other entry hosts that take requests, for Refuse. With api.CodeNotServed they
	// are some of those that serve the team.
	Alternatives []string
	// Deadline is the request's deadline on this host's clock, for Admit and Attach.
	Deadline core.Time
}

// Decide delivers the decision on the input that carried the Ticket.
type Decide struct {
	Ticket   Ticket
	Decision Decision
}

// Open allocates the buffers for a request's body and answer. It precedes the Decide that admits the request, so that
// a duplicate that attaches next finds them.
type Open struct{ Key core.Key }

// StartDispatch sends a request to a target.
type StartDispatch struct {
	Key      core.Key
	Dispatch uint32
	Target   string
	Role     hostlist.Role
	Stream   core.Stream
	// Priority orders requests at the engine; higher values run first.
	Priority int
	// Deadline is checked again before the first byte is written: immediately before, unless package dispatch sends an
	// idempotent request.
	Deadline core.Time
	Request  core.Request
	// Group lists the engines that run the request together, including Target; empty for a single engine.
	Group []string
	// Reservation names the memory reservation held on each engine of Group.
	Reservation core.Reservation
	// Adopt names a stream that already runs at the target and whose answer is read from its start; empty for a new
	// stream.
	Adopt string
	Work  core.Work
	// Instance identifies the target process; a different process at the address must refuse.
	Instance string
	// Start is the start of that process in the host list, which may be out of date.
	Start int64
	// HealthPath is where a target that is no engine answers for its health; empty if that is not known.
	HealthPath string
	// Basis is the state that the choice of the target was based on.
	Basis Basis
	// Helpers are prefill helpers: engines that each prefill a part of the prompt for the target.
	Helpers []string
}

// ID identifies the dispatch.
func (a *StartDispatch) ID() target.Dispatch { return target.Dispatch{Key: a.Key, Number: a.Dispatch} }

// Process returns the process that the dispatch is meant for, as the host list has it.
func (a *StartDispatch) Process() target.Process {
	return target.Process{Address: a.Target, Instance: a.Instance, Start: a.Start}
}

// Basis records the load and the versions that a target was chosen with, for the log.
type Basis struct {
	// Streams and Pending are the known load of the target when the dispatch begins, without the dispatch itself: its
	// dispatches that have not ended, with or without a first token, and its pending prefill work in weighted tokens. See
	// target.Load. The load of the request's own group is included.
	Streams int64
	Pending int64
	// Limit is the number of requests a second that the target takes from all hosts together; 0 for no limit.
	Limit float64
	// PeersAge is the age of the oldest of the peers' last load digests that came by datagram; 0 without any.
	PeersAge time.Duration
	// Revision and HostsVersion are the versions of the configuration and the host list in force.
	Revision     uint64
	HostsVersion uint64
}

// Refused reports, for the log, a request that was refused on its headers.
type Refused struct {
	Key          core.Key
	Result       core.Result
	PromptTokens int64
	// Config is the configuration that the request was refused by.
	Config ConfigBasis
}

// ConfigBasis tells, for the log, by which configuration a request was decided, and whether the host knew that it was behind.
type ConfigBasis struct {
	// Revision is the one in force, for InForce; 0 before the first.
	Revision uint64
	InForce  time.Duration
	// Known is the highest revision that this host knows to be in force on any host.
	Known uint64
}

// Unanswered reports, for the log, a dispatch that ended in any way but EndedDone: why, and what becomes of its
// request.
type Unanswered struct {
	Key      core.Key
	Dispatch uint32
	Target   string
	Ending   Ending
	Message  string
	// Requeued reports whether the request was queued again.
	Requeued bool
	// RetryBudget is the number of dispatches left in the retry budget.
	RetryBudget float64
	// Began reports whether the answer had begun: its first event had arrived.
	Began bool
	// Parts are the parts of the request's prompt, Works identify its work.
	Parts []core.PartID
	Works []core.WorkID
}

// Withdrawn reports, for the log, a dispatch that this host gave up although its target had not ended it: why, and what becomes
// of its request.
type Withdrawn struct {
	Key      core.Key
	Dispatch uint32
	Target   string
	Message  string
	// Requeued reports whether the request was queued again.
	Requeued bool
	// Began reports whether the answer had begun.
	Began bool
}

// AbortDispatch aborts a dispatch, which ends its connection. If package dispatch may have written bytes of it to an engine,
// it asks the engine to drop the stream.
type AbortDispatch struct {
	Key      core.Key
	Dispatch uint32
}

// Finish delivers the final result of a request.
type Finish struct {
	Key    core.Key
	Result core.Result
	Timing core.Timing
	Target string
	Work   core.Work
}

// Drop frees everything that is held for a request.
type Drop struct{ Key core.Key }

// SendHeartbeat sends a heartbeat to a peer.
type SendHeartbeat struct {
	Peer      string
	Heartbeat member.Heartbeat
}

// SendLoads sends a bundle of load digests to the load addresses of hosts, by datagram.
type SendLoads loadshare.Message

// FetchDocument fetches from a peer the document that it has in force. The answer comes as a DocumentFetched.
type FetchDocument struct{ Peer string }

// CheckDocument checks a document that a peer has sent, not on the control goroutine. The result comes as a DocumentChecked, before
// which there is no other CheckDocument.
type CheckDocument struct {
	Raw []byte
	// Source is the peer address of the sender.
	Source string
}

// FetchHosts fetches from a peer its host list.
type FetchHosts struct{ Peer string }

// StateChange reports a change of state. It is logged, and counted by its Event.
type StateChange struct {
	Event Event
	Text  string
}

// Event is a kind of state change.
type Event string

// The events, except EventBehind, which is declared with the orders.
const (
	EventRevision Event = "configuration in force"
	EventRejected Event = "configuration refused"
	EventReady    Event = "ready"
	EventDraining Event = "draining"
	EventHosts    Event = "host list in force"
	// EventRestored: the platform has come back from an older copy.
	EventRestored   Event = "platform restored from an older copy"
	EventPeerAlive  Event = "peer alive"
	EventPeerSilent Event = "peer silent"
	// EventHostsRefused: a host list is invalid. It is reported once in a row for a sender and reason.
	EventHostsRefused Event = "host list refused"
	EventConflict     Event = "two configurations under one revision"
	// EventFetchRetried: a peer has not answered a fetch in time, so that another one is asked, or the same again if no other one is known.
	EventFetchRetried Event = "fetch not answered"
	// EventDocumentSuperseded: a document that a peer has sent is not checked, as a newer one was received meanwhile.
	EventDocumentSuperseded Event = "configuration superseded"
	// EventDocumentUnused: a document was checked in vain, as it was not newer than the one in force by then.
	EventDocumentUnused Event = "configuration checked in vain"
	// EventUnknownRegions: the new document lists regions that contain no zone, as far as the settings say.
	EventUnknownRegions Event = "regions without a zone"
	// EventEntriesLeftOut: published entries of the new document can't be used.
	EventEntriesLeftOut Event = "entries of the configuration left out"
	// EventResumed: the process was suspended. It is reported when the process dispatches again: it has caught up, or has
	// waited for that for catchUpTime.
	EventResumed            Event = "the process slept"
	EventSuspects           Event = "suspicion of own link or zones changed"
	EventTargetUnresponsive Event = "target unresponsive"
	// EventTargetLimit: a target named a limit, or another one, or ceased to name one.
	EventTargetLimit Event = "limit of a target"
	// EventTargetLeaving: a target said that it is about to stop.
	EventTargetLeaving Event = "target leaving"
	// EventTargetServing: another process has taken the place of one that was about to stop.
	EventTargetServing Event = "target serving again"
	// EventTargetChecked: a check of a target's health has ended.
	EventTargetChecked Event = "health of a target checked"
	// EventTargetReplaced: the host list has another process at the address of a target.
	EventTargetReplaced Event = "target replaced"
	// EventTargetEntry: the host list has a target as leaving or missing, or as live again after that.
	EventTargetEntry Event = "entry of a target changed"
	// EventTargetHeldOff: a target wants no requests from this host for a while.
	EventTargetHeldOff Event = "target held off"
	// EventNoticeInvalid: a target said something of itself that can't be decoded.
	EventNoticeInvalid Event = "notice of a target not understood"
	// EventZoneEvacuated: nothing new is sent to the targets of some availability zones.
	EventZoneEvacuated Event = "zone evacuated"
	// EventEvacuationEnded: their targets get requests again.
	EventEvacuationEnded Event = "evacuation of a zone ended"
	// EventWorkWithheld: requests of a work, or with some parts of their prompts, are refused, since they have ended targets.
	EventWorkWithheld Event = "requests withheld"
	// EventWorkProbed: such a request is let through, to see whether it still ends its target.
	EventWorkProbed Event = "withheld request let through"
	// EventWorkReleased: such requests are no longer refused.
	EventWorkReleased Event = "requests no longer withheld"
	// EventReadsPlatform: this host became, or ceased to be, one of those that read the platform.
	EventReadsPlatform Event = "reading the platform"
	// EventSpillover: the share of short prompts that leave this host's availability zone has become zero or nonzero, or has
	// passed another multiple of 0.1.
	EventSpillover Event = "share of requests leaving the zone"
	// EventOverload: the control goroutine lags so far behind that no new requests are admitted, or does no longer.
	EventOverload Event = "lag of the control goroutine"
)

// Stop ends the process after a complete drain.
type Stop struct{}

func (Decide) action()        {}
func (Open) action()          {}
func (StartDispatch) action() {}
func (Refused) action()       {}
func (Unanswered) action()    {}
func (Withdrawn) action()     {}
func (AbortDispatch) action() {}
func (Finish) action()        {}
func (Drop) action()          {}
func (SendHeartbeat) action() {}
func (SendLoads) action()     {}
func (FetchDocument) action() {}
func (CheckDocument) action() {}
func (FetchHosts) action()    {}
func (StateChange) action()   {}
func (Stop) action()          {}

// overloadRetryAfter is the base of most Retry-After times, before jitter.
const overloadRetryAfter = 500 * time.Millisecond
