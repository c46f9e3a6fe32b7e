// Package replay runs a trace in virtual time: every entry host runs the core that the daemon runs, in front of
// simulated engines. It reports the outcomes, latencies and goodput that the callers saw.
package replay

import (
	"cmp"
	"time"

	"carobshunt/internal/core/node"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/model"
	"carobshunt/internal/trace"
)

// Options configures a run.
type Options struct {
	Trace *trace.Trace
	// Hosts is the published host list, Document the published configuration.
	Hosts    *hostlist.List
	Document []byte
	// EntryHosts is the maximum number of entry hosts; 0 means all that are listed.
	EntryHosts int
	Policy     node.Policy
	Seed       uint64
	// Engine holds the parameters of the engines; the zero value means the reference engine.
	Engine model.Params
	// NoTeamLimits removes the teams' limits, so that only the policy decides under load.
	NoTeamLimits bool
	// WithoutBands excludes the requests of the bands with these names.
	WithoutBands []string
}

// engineParams returns the parameters of the engines.
func (o *Options) engineParams() model.Params {
	return cmp.Or(o.Engine, model.Reference())
}

// Constants of the simulated network, services and callers.
const (
	// hopTime is the network latency in one direction.
	hopTime = time.Millisecond
	// dialTimeout is the time after which a dispatch to or from a zone that is cut off fails.
	dialTimeout = 2 * time.Second
	// cutRetryInterval is the interval at which messages on an open connection retry while a zone is cut off.
	cutRetryInterval = 100 * time.Millisecond
	// serviceTime is how long a plain service takes for a call.
	serviceTime = 20 * time.Millisecond
	// maxSubmits is the maximum number of submits of one request.
	maxSubmits = 4
	// maxDrain is the maximum time that a run continues after the end of the trace.
	maxDrain = 20 * time.Minute
)
