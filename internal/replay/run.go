package replay

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/model"
	"carobshunt/internal/trace"
	"carobshunt/internal/virtual"

	"github.com/juju/errors"
)

// run is the state of one replay.
type run struct {
	opts   Options
	params model.Params
	world  *virtual.World
	rng    *rand.Rand
	doc    *document.Document
	// engines holds the engines by address, orderedEngines in the order of the host list.
	engines        map[string]*engineTarget
	orderedEngines []*engineTarget
	hosts          []*virtual.Host
	zones          map[*virtual.Host]string
	// cutZone is the availability zone that is cut off from the others, or empty.
	cutZone string
	// zoneAt holds the zones by peer address and by target address.
	zoneAt map[string]string
	calls  []*call
	byKey  map[core.Key]*call
	// unfinished is the number of calls that have not ended.
	unfinished int
	gaps       *gapHistograms
}

// Run replays a trace and returns the report. It returns a FaultError for a fault with an unknown kind or subject, except
// that an unknown zone is not noticed.
func Run(opts Options) (*Report, error) {
	r := &run{
		opts:    opts,
		params:  opts.engineParams(),
		rng:     rand.New(rand.NewPCG(opts.Seed, 0x72756e)),
		engines: make(map[string]*engineTarget),
		zones:   make(map[*virtual.Host]string),
		zoneAt:  make(map[string]string),
		byKey:   make(map[core.Key]*call),
		gaps:    newGapHistograms(),
	}
	doc, err := document.Parse(opts.Document)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.doc = doc
	if opts.NoTeamLimits {
		r.removeTeamLimits()
	}
	r.world = virtual.New(r)
	r.addTargets()
	r.addHosts()
	r.addCalls()
	if err := r.addFaults(); err != nil {
		return nil, errors.Trace(err)
	}
	r.runWorld()
	return r.report(), nil
}

// noLimit is a team limit that no trace reaches, in tokens per second.
const noLimit = 1_000_000_000

// removeTeamLimits raises every team's limit in the document to noLimit.
func (r *run) removeTeamLimits() {
	for i := range r.doc.Teams {
		r.doc.Teams[i].TokensPerSecond = noLimit
	}
	if raw, err := json.Marshal(r.doc); err == nil {
		r.opts.Document = raw
	}
}

// warmup is the time before the trace begins, in which hosts receive updates from the platform and each other.
const warmup = time.Second

// runWorld runs the trace, and then on until all calls have ended or maxDrain has passed.
func (r *run) runWorld() {
	end := warmup + traceHeader(r).Length()
	r.world.Run(end)
	for r.unfinished > 0 && r.world.Now() < end+maxDrain {
		r.world.Run(r.world.Now() + time.Second)
	}
}

// traceHeader returns the header of the trace.
func traceHeader(r *run) *trace.Header { return &r.opts.Trace.Header }

// Delay implements virtual.Network.
func (r *run) Delay(_ virtual.Time, from, to string) (time.Duration, bool) {
	if r.isCut(r.zoneAt[from], r.zoneAt[to]) {
		return 0, false
	}
	return hopTime, true
}

// isCut reports whether messages between two zones are lost now.
func (r *run) isCut(a, b string) bool {
	return r.cutZone != "" && a != b && (a == r.cutZone || b == r.cutZone)
}

func (r *run) zoneOf(h *virtual.Host) string { return r.zones[h] }

func (r *run) addTargets() {
	for i, host := range r.opts.Hosts.Hosts {
		r.zoneAt[host.Address] = host.Zone
		r.zoneAt[host.Peer] = host.Zone
		switch host.Role {
		case hostlist.RoleEngine:
			r.addEngine(host, uint64(i))
		case hostlist.RoleService:
			r.world.Targets[host.Address] = &serviceTarget{run: r, address: host.Address, zone: host.Zone}
		}
	}
}

func (r *run) addEngine(host hostlist.Host, serial uint64) {
	t := &engineTarget{run: r, address: host.Address, zone: host.Zone}
	t.engine = model.New(r.world, r.params, r.opts.Seed*1000+serial)
	t.engine.OnEvent = func(e model.CacheEvent) {
		event := target.CacheEvent{Prefix: e.Prefix, Tokens: e.Tokens}
		t.broadcast(r.world, 0, node.CacheEventReceived{Target: t.address, Event: event})
	}
	r.engines[host.Address] = t
	r.orderedEngines = append(r.orderedEngines, t)
	r.world.Targets[host.Address] = t
	t.scheduleReport(r.world)
}

// Limits of an entry host in a replay, too high to be reached.
const (
	recordsPerHost = 200_000
	bodyBytes      = 1 << 40
)

func (r *run) addHosts() {
	var peers []string
	for _, host := range r.opts.Hosts.Hosts {
		if host.Role == hostlist.RoleEntry {
			peers = append(peers, host.Peer)
		}
	}
	for i, host := range r.opts.Hosts.Hosts {
		full := r.opts.EntryHosts > 0 && len(r.hosts) >= r.opts.EntryHosts
		if host.Role == hostlist.RoleEntry && !full {
			r.addHost(host, peers, uint64(i))
		}
	}
}

func (r *run) addHost(host hostlist.Host, peers []string, serial uint64) {
	h := r.world.AddHost(node.Options{
		Self:      core.Home{Address: host.Address},
		Peer:      host.Peer,
		Zone:      host.Zone,
		Seeds:     peers,
		Records:   recordsPerHost,
		BodyBytes: bodyBytes,
		Seed:      r.opts.Seed*100 + serial,
		Policy:    r.opts.Policy,
	})
	h.OnFinish = func(f node.Finish) { r.handleFinish(h, f) }
	r.zones[h] = host.Zone
	r.hosts = append(r.hosts, h)
	r.publishTo(h)
}

// publishTo posts the published document and host list to a host.
func (r *run) publishTo(h *virtual.Host) {
	h.Post(node.PlatformAnswered{})
	h.Post(node.DocumentReceived{Raw: r.opts.Document, Source: conf.SourcePlatform})
	h.Post(node.HostsReceived{List: r.opts.Hosts, Source: conf.SourcePlatform})
}

// FaultError reports a fault of the trace whose kind or subject is unknown.
type FaultError struct{ Fault trace.Fault }

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("can't carry out %s of %q", e.Fault.Kind, e.Fault.Subject)
}
