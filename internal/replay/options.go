// Package replay runs a trace in virtual time, with the product's own core on every entry host and the reference
// engine behind it, and reports what the callers saw.
package replay

import (
	"cmp"
	"time"

	"carobshunt/internal/core/node"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/model"
	"carobshunt/internal/trace"
)

// Options say what a run is made of.
type Options struct {
	Trace *trace.Trace
	// Hosts is the published host list, Document the published configuration.
	Hosts    *hostlist.List
	Document []byte
	// EntryHosts bounds the number of entry hosts; 0 takes all that are listed.
	EntryHosts int
	Policy     node.Policy
	Seed       uint64
	// Engine holds the engines' rates; the zero value means the reference engine.
	Engine model.Params
	// NoTeamLimits lifts the teams' limits, so that only the policy under load decides.
	NoTeamLimits bool
	// Without leaves out the requests of these bands, for comparisons.
	Without []string
}

func (o *Options) engine() model.Params {
	return cmp.Or(o.Engine, model.Reference())
}

// Times of the network and of callers.
const (
	hopTime    = time.Millisecond
	dialTime   = 2 * time.Second
	recheck    = 100 * time.Millisecond
	serverTime = 20 * time.Millisecond
	// callerTries bounds the entry hosts that a caller tries for one request when connections break.
	callerTries = 4
	// maxDrain bounds how long a run goes on after the last arrival.
	maxDrain = 20 * time.Minute
)
