package node

import (
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/target"
	"carobshunt/internal/delta"
	"carobshunt/internal/hostlist"
)

// Input is an event that the Node processes in Step. The Node has no other input. The method input does nothing; it only
// marks the types that are inputs.
type Input interface{ input() }

// StepLagged precedes the inputs of a step if they had to wait: Lag is the age of the oldest one. A step of which nothing is reported
// had no lag to speak of.
type StepLagged struct{ Lag time.Duration }

// Ticket correlates a Decide action with the input that it answers.
type Ticket uint64

// Submit is a request whose headers have arrived, but not yet its body.
type Submit struct {
	Ticket  Ticket
	Request core.Request
}

// BodyEnded reports the end of a body that was read after an Admit decision.
type BodyEnded struct {
	Key core.Key
	// Attempt is the number of the submit attempt that sent the body.
	Attempt uint32
	// Fault is empty for a complete body with a matching checksum.
	Fault api.Code
	// Content is the digest of the request with its body; 0 if Fault is not empty.
	Content core.ContentDigest
}

// Ending is how a dispatch ended.
type Ending int

// The endings of a dispatch.
const (
	// EndedDone: the complete answer arrived.
	EndedDone Ending = iota
	// EndedNotWritten: no byte of the request was written.
	EndedNotWritten
	// EndedRefused: the target reported that it did not accept the request, so it did not run there.
	EndedRefused
	// EndedFailed: the target reported that the request failed.
	EndedFailed
	// EndedLost: bytes may have been written, but no complete and valid answer arrived.
	EndedLost
	// EndedUndelivered: the caller did not take the answer, or does not read it.
	EndedUndelivered
)

// String returns the name of the ending for logs.
func (e Ending) String() string {
	return [...]string{"done", "not written", "refused", "failed", "lost", "undelivered"}[e]
}

// DispatchFirstToken reports the first frame or event of a streamed answer. A dispatch whose answer is no stream has none.
type DispatchFirstToken struct {
	Key      core.Key
	Dispatch uint32
	// Notice is what the target says of itself in the head of the answer; nil if nothing is known of that.
	Notice *target.Notice
}

// ID identifies the dispatch.
func (in *DispatchFirstToken) ID() target.Dispatch {
	return target.Dispatch{Key: in.Key, Number: in.Dispatch}
}

// DispatchEnded reports the end of a dispatch, including an aborted one.
type DispatchEnded struct {
	Key      core.Key
	Dispatch uint32
	Target   string
	Ending   Ending
	Message  string
	// Blame is the address of the target at fault if it is not Target; empty otherwise.
	Blame string
	// LongestGap is the longest time between two events of a stream; 0 if it is not known.
	LongestGap time.Duration
	// Notice is what the target says of itself in the head of the answer; nil without one, and if a DispatchFirstToken
	// carried it.
	Notice *target.Notice
	// Unresumable is set if the caller has received a part of the answer that no other dispatch can continue. If the answer is
	// not complete, the request ends without one.
	Unresumable bool
	// GivenUp is set if this host gave the answer up for want of memory, which shows nothing of the target and the request.
	GivenUp bool
	// Rejected is set if the target rejected the form of the request, as it would that of any copy: the request is not retried, and
	// the end shows nothing of the target.
	Rejected bool
	// Run tells what the dispatch brought of a stream; nil if the request is none, or without an answer.
	Run *StreamRun
}

// ID identifies the dispatch.
func (in *DispatchEnded) ID() target.Dispatch {
	return target.Dispatch{Key: in.Key, Number: in.Dispatch}
}

// Cancel asks to end a request early. An answer "not run" closes the identifier.
type Cancel struct {
	Ticket  Ticket
	Request core.Request
}

// Query asks for the outcome of a request. An answer "not run" closes the identifier.
type Query struct {
	Ticket  Ticket
	Request core.Request
}

// CallerLeft reports that the caller of a routed request closed its connection.
type CallerLeft struct{ Key core.Key }

// TargetAlive reports that a target is alive: it sent an event of the stream that answers a dispatch. Not every event is
// reported.
type TargetAlive struct {
	Target   string
	Dispatch target.Dispatch
}

// SeedsReloaded carries the seed peer addresses of reloaded settings.
type SeedsReloaded struct{ Peers []string }

// LoadsReceived is a bundle of load digests, received by datagram from the host with the peer address From.
type LoadsReceived struct {
	From   string
	Bundle loadshare.Bundle
}

// HeartbeatReceived is a heartbeat received from another entry host.
type HeartbeatReceived struct{ Heartbeat member.Heartbeat }

// DocumentReceived is a published document, received from the platform or a peer.
type DocumentReceived struct {
	Raw []byte
	// Checked is the document as parsed and checked by the sender of the input; nil if it is to be checked when the input is processed.
	Checked *conf.Checked
	// Cost is what that took, for the log.
	Cost conf.CheckCost
	// Source is the peer address of the sender, or conf.SourcePlatform.
	Source string
}

// DocumentFetched is the text of a document that a peer has sent on a FetchDocument. It is not checked yet.
type DocumentFetched struct {
	// Version has the revision 0 if the text is no canonical document.
	Version conf.Version
	Raw     []byte
	// Source is the peer address of the sender.
	Source string
}

// DocumentChecked is the result of a CheckDocument.
type DocumentChecked struct {
	Checked *conf.Checked
	// Cost is what the check took, for the log.
	Cost conf.CheckCost
	// Source is the peer address of the sender of the document.
	Source string
}

// HostsReceived is a host list, received from the platform or a peer.
type HostsReceived struct {
	List *hostlist.List
	// Text is the canonical text of the list; without it, it is made when the input is processed, which takes long if the list is.
	Text delta.Text
	// Source is the peer address of the sender, or conf.SourcePlatform.
	Source string
}

// HostsRefused is that a host list from the platform or a peer is invalid.
type HostsRefused struct {
	// Source is the peer address of the sender, or conf.SourcePlatform.
	Source string
	Why    string
}

// PlatformAnswered reports that the platform answered with status 200, or with 304 for no change; errors are not reported.
type PlatformAnswered struct {
	// Restores is how often the platform has come back from an older copy, as far as it says; 0 for never or unknown.
	Restores uint64
}

// LoadReceived is a target's load report.
type LoadReceived struct {
	Target string
	Report target.Report
}

// CacheEventReceived is a target's event on a cached prefix. Events may be delayed or lost.
type CacheEventReceived struct {
	Target string
	Event  target.CacheEvent
}

// Tick advances the time. It must be sent every TickInterval.
type Tick struct{}

// ReleaseWithheld is an operator's word that what is withheld by a name does no harm any more.
type ReleaseWithheld struct {
	// Name is that of api.WithheldWork.
	Name string
}

// Drain starts a planned stop that may take as long as it needs.
type Drain struct{}

// Terminate reports that the process was told to stop by a signal. It starts a planned stop, or bounds one that has begun. When the
// signal was sent is not known: the process may have been suspended then.
type Terminate struct {
	// NotBefore is a time before the signal: Snapshot.SignalNotBefore of when it was noticed. Noticed is when that was.
	NotBefore, Noticed core.Time
	// Grace is the time from the signal until the process is killed; 0 if it may take as long as it needs.
	Grace time.Duration
}

// GraceReloaded reports the grace time of reloaded settings; 0 for none.
type GraceReloaded struct{ Grace time.Duration }

func (Submit) input()             {}
func (StepLagged) input()         {}
func (BodyEnded) input()          {}
func (DispatchFirstToken) input() {}
func (DispatchEnded) input()      {}
func (Cancel) input()             {}
func (Query) input()              {}
func (CallerLeft) input()         {}
func (LoadsReceived) input()      {}
func (SeedsReloaded) input()      {}
func (TargetAlive) input()        {}
func (HeartbeatReceived) input()  {}
func (DocumentReceived) input()   {}
func (DocumentFetched) input()    {}
func (DocumentChecked) input()    {}
func (HostsReceived) input()      {}
func (HostsRefused) input()       {}
func (PlatformAnswered) input()   {}
func (LoadReceived) input()       {}
func (CacheEventReceived) input() {}
func (Tick) input()               {}
func (Drain) input()              {}
func (Terminate) input()          {}
func (GraceReloaded) input()      {}
func (ReleaseWithheld) input()    {}
