// Package node composes the state machines of one entry host into a single deterministic one. Step takes an input
// and the time, and returns the actions to carry out. The same inputs at the same times give the same actions.
package node

import (
	"math/rand/v2"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/cell"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/durations"
	"carobshunt/internal/core/evacuation"
	"carobshunt/internal/core/fair"
	"carobshunt/internal/core/group"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/limit"
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/overload"
	"carobshunt/internal/core/quarantine"
	"carobshunt/internal/core/queue"
	"carobshunt/internal/core/retry"
	"carobshunt/internal/core/route"
	"carobshunt/internal/core/routes"
	"carobshunt/internal/core/target"
	"carobshunt/internal/delta"
	"carobshunt/internal/hostlist"
)

// TickInterval is the time between Tick inputs.
const TickInterval = 50 * time.Millisecond

// This asserts at compile time that at least one tick falls between the dispatch cutoff and the deadline of each request.
const _ = uint64(ledger.DispatchCutoff - TickInterval)

// Options configure a Node.
type Options struct {
	// Self identifies this process. Peer is its peer address.
	Self core.Home
	Peer string
	Zone string
	// Regions holds the regions of the availability zones, for requests that may run only in some.
	Regions routes.Regions
	// Seeds are the peer addresses to contact before the host list is known.
	Seeds []string
	// Records and BodyBytes limit the request records and the bytes of request bodies that are held at a time.
	Records   int
	BodyBytes int64
	// Seed seeds the random numbers for tie-breaks and jitter.
	Seed uint64
	// LoadsAddress is this host's address for datagrams with the load digests of peers; empty disables them.
	LoadsAddress string
	// Capacity is what this host can carry; fields of 0 are unknown.
	Capacity core.Capacity
	// LookupTTL is the longest time for which callers cache a lookup answer. A draining host accepts routed requests
	// for that long.
	LookupTTL time.Duration
	// ReservationTiming configures the timing of memory reservations at engines; the zero value means group.DefaultTiming.
	ReservationTiming group.Timing
	// PlatformCurrent is set if the platform answers with a version older than the one in force only after it has been
	// restored from an older copy: see PlatformAnswered.
	PlatformCurrent bool
	// LookupsByCapacity is set if lookups name hosts by what they can carry.
	LookupsByCapacity bool
	// ColdStarts is how far the hosts may exceed what cold targets take.
	ColdStarts ColdStarts
	// EnginesExpire is set if engines drop state that no host holds any more on their own, and can't list their state.
	EnginesExpire bool
	// Spillover configures the sending of short prompts to other availability zones, with PolicyPacked.
	Spillover Spillover
	// Policy selects how requests are queued and placed; the zero value is PolicyInForce.
	Policy Policy
}

// Node is the control state of one entry host. It is not safe for concurrent use.
type Node struct {
	opts    Options
	now     core.Time
	actions []Action

	config *conf.Config
	hosts  *hostlist.List
	// hostsHistory is the encoded host list with the deltas that led to it. hostsSince is when the list was received.
	hostsHistory *delta.History
	hostsSince   core.Time

	// cells is the partition of the host list into cells. directory maps teams to the hosts that serve them.
	cells     *cell.Map
	directory *directory

	peers   *member.Table
	targets *target.Table
	// evacuations are the evacuated availability zones.
	evacuations evacuation.Set
	ledger      *ledger.Ledger
	queue       queue.Queue
	router      *route.Router
	limits      *limit.Limiter
	retries     *retry.Budget
	// shares tracks each team's share of the prefill work of admitted short requests.
	shares *fair.Shares
	// durations are those of recent requests.
	durations *durations.Table
	rng       *rand.Rand

	// active are the unfinished records.
	active map[core.Key]*ledger.Record
	// bodyBytes is the memory allotted to the bodies of active records.
	bodyBytes int64

	sweeps sweepState
	groups groupState
	orders orderState

	adoptions AdoptionCounts

	drain drainState
	ticks recentTicks
	ready bool
	// alive holds the peer addresses of the peers that were last reported reachable.
	alive         map[string]bool
	lastHeartbeat core.Time
	// heartbeatRound counts the parts in which heartbeats were sent, see member.Rounds.
	heartbeatRound int
	outcomes       map[api.Outcome]uint64
	observed       observations
	resume         resumeState
	// runningSince is the end of the last time for which this process did not run; 0 if there was none.
	runningSince core.Time
	sent         sentState
	cache        statusCache
	// shortRate is the rate at which this host places short prompts.
	shortRate shortRate
	// demand is the work offered to this host. lanesSized is when the lanes were last resized to it.
	demand     demand
	lanesSized core.Time
	// nonReporting is the set of engines that were non-reporting at the last tick, by address.
	nonReporting map[string]bool
	// table matches requests to the routes of the document in force.
	table   *routes.Table
	loads   *loadshare.Sharer
	budgets routeBudgets
	pacing  pacing
	senders senderState
	// quarantine is what this host knows of harmful prompts. quarantineTold is when it last told the others what is new.
	quarantine     *quarantine.Table
	quarantineTold core.Time
	// coveredWaits is set while a request waits that a verdict covers.
	coveredWaits bool
	// withheldRequests counts the requests that were refused because their prompts are withheld.
	withheldRequests uint64
	spill            spilloverState
	// placement is the placement pass with which the current step has to end. ticked is set if it has processed a Tick.
	placement placementNeed
	ticked    bool
	passes    passState
	overload  overload.Gate
}

// New returns the Node of a process that has just started, with its clock at zero.
func New(opts Options) *Node {
	if opts.ReservationTiming == (group.Timing{}) {
		opts.ReservationTiming = group.DefaultTiming()
	}
	rng := rand.New(rand.NewPCG(opts.Seed, opts.Seed))
	n := &Node{
		opts:          opts,
		config:        conf.New(),
		hostsHistory:  &delta.History{},
		peers:         member.NewTable(opts.Peer, opts.Zone, opts.Seeds),
		targets:       target.NewTable(),
		ledger:        ledger.NewLedger(opts.Records),
		router:        newRouter(opts.Policy, opts.Zone, rng),
		limits:        limit.New(opts.Peer),
		retries:       retry.New(),
		shares:        fair.New(),
		durations:     durations.New(),
		rng:           rng,
		active:        make(map[core.Key]*ledger.Record),
		sweeps:        newSweepState(),
		groups:        newGroupState(),
		orders:        newOrderState(),
		alive:         make(map[string]bool),
		lastHeartbeat: -time.Hour,
		outcomes:      make(map[api.Outcome]uint64),
		observed:      newObservations(),
		lanesSized:    -laneInterval,
		budgets:       make(routeBudgets),
		pacing:        newPacing(),
		quarantine:    quarantine.New(opts.Peer),
		loads: loadshare.New(
			loadshare.Member{
				Peer: opts.Peer, Zone: opts.Zone, LoadsAddress: opts.LoadsAddress, LinkMbps: opts.Capacity.LinkMbps,
			},
			opts.Self.Incarnation,
		),
	}
	n.queue = newQueue(opts.Policy, n.teamWeight)
	n.targets.JoinFleet(fleetView{n})
	n.spill = newSpilloverState()
	if opts.Spillover.Enabled && opts.Policy == PolicyPacked {
		n.router.SetSpillover(&n.spill)
	}
	return n
}

// never is the time of an event that has not happened.
const never = core.Time(-1)

// Step processes one input and returns the actions to carry out, in order. Times must not decrease between calls.
func (n *Node) Step(now core.Time, in Input) []Action { return n.StepAll(now, in) }

// StepAll processes inputs in order, and then places waiting requests in a single pass. Callers that have left, timeouts
// and targets that leave are thus never behind placements, and the work for a placement pass is shared by all inputs that
// wait. It returns the actions to carry out, in order. Times must not decrease between calls.
func (n *Node) StepAll(now core.Time, inputs ...Input) []Action {
	n.detectSuspension(now)
	n.now = max(n.now, now)
	n.actions = nil
	for i, in := range inputs {
		n.apply(in)
		if i == len(inputs)-1 {
			n.endInputs()
		}
		n.endCatchUp()
		n.updateReadiness()
	}
	n.shareLoads()
	return n.actions
}

// endInputs does what is due once after all inputs of a step.
func (n *Node) endInputs() {
	need := n.placement
	n.placement = placementNone
	n.place(need)
	if n.ticked {
		n.ticked = false
		n.stopWhenDrained()
	}
}

func (n *Node) apply(in Input) {
	switch in := in.(type) {
	case Submit:
		n.submit(in)
		n.recordSubmit(&in.Request)
	case BodyEnded:
		n.bodyEnded(in)
	case DispatchFirstToken:
		n.dispatchFirstToken(in)
	case DispatchEnded:
		n.dispatchEnded(in)
	case Cancel:
		n.cancel(in)
	case CallerLeft:
		n.callerLeft(in)
	case Query:
		n.query(in)
	case Tick:
		n.tick()
	case ReleaseWithheld:
		n.releaseWithheld(in)
	case Drain:
		n.startDrain()
	case Terminate:
		n.terminate(in)
	case StepLagged:
		n.stepLagged(in)
	default:
		n.applyUpdate(in)
	}
}

// applyUpdate processes updates from peers, the platform, targets and reloaded settings.
func (n *Node) applyUpdate(in Input) {
	switch in := in.(type) {
	case HeartbeatReceived:
		n.heartbeatReceived(in)
	case TargetChecked:
		n.targetChecked(in)
	case TargetAlive:
		if t := n.targets.Get(in.Target); t != nil && t.Carries(in.Dispatch) {
			n.targetAlive(t)
		}
	case LoadsReceived:
		n.loadsReceived(in)
	case GraceReloaded:
		n.graceReloaded(in)
	case SeedsReloaded:
		n.peers.Seed(n.now, in.Peers)
	case EvacuationsRead:
		n.evacuationsRead(in)
	case PlatformAnswered:
		n.platformAnswered(in)
	case OrdersRead:
		n.recordFence(in)
		n.ordersRead(in)
	default:
		n.applyPublished(in)
	}
}

// applyPublished processes documents and host lists.
func (n *Node) applyPublished(in Input) {
	switch in := in.(type) {
	case DocumentReceived:
		n.documentReceived(in)
	case DocumentFetched:
		n.documentFetched(in)
	case DocumentChecked:
		n.documentChecked(in)
	case HostsReceived:
		n.hostsReceived(in)
	case HostsRefused:
		n.hostsRefused(in)
	default:
		n.applyEngineInput(in)
	}
}

func (n *Node) do(a Action) { n.actions = append(n.actions, a) }

func (n *Node) tick() {
	n.ticks.record(n.now)
	n.fetchTick()
	n.expireDeadlines()
	n.refuseUnfinishable()
	n.ledger.Expire(n.now, func(rec *ledger.Record) { n.do(Drop{Key: rec.Request.Key}) })
	n.heartbeat()
	n.peers.Expire(n.now)
	n.trackPeers()
	n.reportSuspects()
	n.updateSenders()
	n.updateEvacuations("expiry after a restore")
	n.targets.UpdateCold(n.now)
	n.targets.ExpireStandings(n.now)
	n.quarantineTick()
	n.sweepTick()
	n.groupsTick()
	n.ordersTick()
	n.targets.DropGone(n.now)
	n.reportEntryChanges()
	n.targets.ExpirePending(n.now)
	n.checkTargets()
	n.redispatchUnresponsive()
	n.expireWaiting()
	n.sizeLanes()
	n.redispatchNonReporting()
	n.updateSpillover()
	n.requestPlacement()
	n.ticked = true
}
