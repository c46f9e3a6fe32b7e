package node

import (
	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"
)

// Input is something that a host hears. Inputs are the only way in which anything enters the Node.
type Input interface{ input() }

// Ticket ties a Decide action to the input that asked for it.
type Ticket uint64

// Submit is a request whose headers have arrived and whose body has not.
type Submit struct {
	Ticket  Ticket
	Request core.Request
}

// BodyEnded reports the end of a body that an Admit decision asked for.
type BodyEnded struct {
	Key core.Key
	// Attempt is the submit that brought the body.
	Attempt uint32
	// Fault is empty for a whole body whose checksum is right.
	Fault api.Code
}

// Ending says how a dispatch ended.
type Ending int

// The endings of a dispatch.
const (
	// EndedDone: the whole answer arrived.
	EndedDone Ending = iota
	// EndedNotWritten: no byte of the request was written.
	EndedNotWritten
	// EndedRefused: the target answered that it did not accept the request.
	EndedRefused
	// EndedFailed: the target answered that the request failed.
	EndedFailed
	// EndedLost: bytes were written and no whole answer came back.
	EndedLost
)

// String names the ending for logs.
func (e Ending) String() string {
	return [...]string{"done", "not written", "refused", "failed", "lost"}[e]
}

// DispatchFirstToken reports the first answer bytes of a dispatch.
type DispatchFirstToken struct {
	Key      core.Key
	Dispatch uint32
}

// DispatchEnded reports the end of a dispatch. An aborted dispatch ends too.
type DispatchEnded struct {
	Key      core.Key
	Dispatch uint32
	Target   string
	Ending   Ending
	Message  string
	// Blame is the target at fault where that is another one than Target; empty otherwise.
	Blame string
}

// Cancel asks to end a request early.
type Cancel struct {
	Ticket  Ticket
	Request core.Request
}

// Query asks what became of a request. An answer "not run" closes the identifier.
type Query struct {
	Ticket  Ticket
	Request core.Request
}

// CallerLeft reports that the caller of a routed request closed its connection.
type CallerLeft struct{ Key core.Key }

// TargetHeard is a sign of life of a target, such as an event of a stream.
type TargetHeard struct{ Target string }

// SeedsHeard are the peer addresses of settings that were read again.
type SeedsHeard struct{ Peers []string }

// LoadsHeard is a peer's load digest that came by datagram.
type LoadsHeard struct {
	Peer        string
	Incarnation string
	// Sequence rises with each datagram of one incarnation.
	Sequence  uint64
	Digest    []byte
	Freshness Freshness
}

// HeartbeatHeard is a heartbeat of another entry host.
type HeartbeatHeard struct{ Heartbeat member.Heartbeat }

// DocumentHeard is a published document, from the platform or a peer.
type DocumentHeard struct {
	Raw    []byte
	Source string
}

// HostsHeard is a host list, from the platform or a peer.
type HostsHeard struct {
	List   *hostlist.List
	Source string
}

// PlatformAnswered reports any answer of the platform, also one that brings nothing new.
type PlatformAnswered struct{}

// LoadHeard is a target's load report.
type LoadHeard struct {
	Target string
	Report target.Report
}

// CacheHeard is a target's word on a cached prefix; it comes late, and some never do.
type CacheHeard struct {
	Target string
	Event  target.CacheEvent
}

// Tick lets time pass; it comes every TickInterval.
type Tick struct{}

// Drain starts a planned stop.
type Drain struct{}

func (Submit) input()             {}
func (BodyEnded) input()          {}
func (DispatchFirstToken) input() {}
func (DispatchEnded) input()      {}
func (Cancel) input()             {}
func (Query) input()              {}
func (CallerLeft) input()         {}
func (LoadsHeard) input()         {}
func (SeedsHeard) input()         {}
func (TargetHeard) input()        {}
func (HeartbeatHeard) input()     {}
func (DocumentHeard) input()      {}
func (HostsHeard) input()         {}
func (PlatformAnswered) input()   {}
func (LoadHeard) input()          {}
func (CacheHeard) input()         {}
func (Tick) input()               {}
func (Drain) input()              {}
