package node

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/member"
	"carobshunt/internal/hostlist"
)

// Action is something that the Node wants done. Actions are the only way out.
type Action interface{ action() }

// DecisionKind is the way in which traffic goes on with a request.
type DecisionKind int

// The kinds of decision.
const (
	// Admit: read the body, then report BodyEnded and stream the answer.
	Admit DecisionKind = iota
	// Attach: the request is here already; stream its answer from the start.
	Attach
	// Refuse: answer with the Result at once.
	Refuse
	// Forward: pass the request on to its home.
	Forward
	// Report: answer a query or a cancel with the Result.
	Report
)

// Decision answers a Submit, Cancel or Query.
type Decision struct {
	Kind   DecisionKind
	Result core.Result
	// Home is where a Forward goes.
	Home core.Home
	// Target is the last target of the request, for Report.
	Target string
	// Alternatives are other entry hosts' callers' addresses, for Refuse.
	Alternatives []string
	// Deadline is the request's deadline on this host's clock, for Admit and Attach.
	Deadline core.Time
}

// Decide carries a decision to the traffic that asked under that ticket.
type Decide struct {
	Ticket   Ticket
	Decision Decision
}

// Open makes room for a request's body and answer. It comes before the Decide that admits the request, so that a
// duplicate that is decided next finds it.
type Open struct{ Key core.Key }

// StartDispatch sends a request to a target.
type StartDispatch struct {
	Key      core.Key
	Dispatch uint32
	Target   string
	Role     hostlist.Role
	Stream   core.Stream
	// Priority orders work at the engine; higher goes first.
	Priority int
	// Deadline is checked again right before the first byte is written.
	Deadline core.Time
	Request  core.Request
	// Group are the engines that run the request together, the lead among them; empty for a single engine.
	Group []string
	// Reservation names what is held on each of the Group.
	Reservation core.Reservation
	// Adopt is the name of a stream that runs at the target already and is to be followed from its start; empty for a
	// new one.
	Adopt string
	Work  core.Work
	// Instance is the target that is meant; another one at the address must refuse.
	Instance string
	// Basis is what the choice of the target went by.
	Basis Basis
	// Helpers are engines that read a part of the prompt each, beside the target.
	Helpers []string
}

// Basis is what a target was chosen by.
type Basis struct {
	// Streams and Pending are the target's load before the dispatch, as far as it was known: streams, and prefill work
	// in tokens of weight 1.
	Streams int64
	Pending int64
	// PeersAge is the age of the oldest load of a peer that is counted.
	PeersAge time.Duration
	// Revision and HostsVersion are the configuration and the host list in force.
	Revision     uint64
	HostsVersion uint64
}

// Refused tells of a request that was refused at its headers, for the log.
type Refused struct {
	Key          core.Key
	Result       core.Result
	PromptTokens int64
}

// Unanswered tells of a dispatch that brought no whole answer, for the log: why, and what becomes of its request.
type Unanswered struct {
	Key      core.Key
	Dispatch uint32
	Target   string
	Ending   Ending
	Message  string
	// Again is set when the request waits for another target, Budget the dispatches left in the retry budget.
	Again  bool
	Budget float64
}

// AbortDispatch gives up a dispatch: its frames are dropped and its stream is cancelled at the engine.
type AbortDispatch struct {
	Key      core.Key
	Dispatch uint32
}

// Finish gives a request its final result.
type Finish struct {
	Key    core.Key
	Result core.Result
	Timing core.Timing
	Target string
	Work   core.Work
}

// Drop forgets everything that is held for a request.
type Drop struct{ Key core.Key }

// SendHeartbeat sends a heartbeat to a peer.
type SendHeartbeat struct {
	Peer      string
	Heartbeat member.Heartbeat
}

// SendLoads sends this host's load digest to peers, by their addresses for loads.
type SendLoads struct {
	To       []string
	Sequence uint64
	Digest   []byte
	// Freshness is this host's.
	Freshness Freshness
}

// PullDocument asks a peer for the document that it has in force.
type PullDocument struct{ Peer string }

// PullHosts asks a peer for its host list.
type PullHosts struct{ Peer string }

// Note is a change of state worth a log line.
type Note struct {
	Event Event
	Text  string
}

// Event names a kind of state change.
type Event string

// The events.
const (
	EventRevision  Event = "configuration in force"
	EventRejected  Event = "configuration refused"
	EventReady     Event = "ready"
	EventDraining  Event = "draining"
	EventHosts     Event = "host list in force"
	EventPeerAlive Event = "peer alive"
	EventPeerGone  Event = "peer silent"
	EventConflict  Event = "two configurations under one revision"
	EventSlept     Event = "the process slept"
	EventSuspects  Event = "suspicion of own link or zones changed"
	EventHung      Event = "target unresponsive"
	EventReads     Event = "reading the platform"
)

// Stop ends the process: a drain is complete.
type Stop struct{}

func (Decide) action()        {}
func (Open) action()          {}
func (StartDispatch) action() {}
func (Refused) action()       {}
func (Unanswered) action()    {}
func (AbortDispatch) action() {}
func (Finish) action()        {}
func (Drop) action()          {}
func (SendHeartbeat) action() {}
func (SendLoads) action()     {}
func (PullDocument) action()  {}
func (PullHosts) action()     {}
func (Note) action()          {}
func (Stop) action()          {}

// afterOverload is the base of the time to come back that a refusal for lack of room carries.
const afterOverload = 500 * time.Millisecond
