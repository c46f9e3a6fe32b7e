// Package node composes the state machines of one entry host into a single deterministic one. Step takes an input
// and the time, and returns the actions to carry out; the same inputs at the same times give the same actions.
package node

import (
	"math/rand/v2"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/cell"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/fair"
	"carobshunt/internal/core/group"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/limit"
	"carobshunt/internal/core/member"
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

// At least one tick falls into a request's last moment; this does not compile otherwise.
const _ = uint64(ledger.LastMoment - TickInterval)

// Options configure a Node.
type Options struct {
	// Self is this process; Peer its peer address.
	Self core.Home
	Peer string
	Zone string
	// Seeds are peer addresses tried before the host list is known.
	Seeds []string
	// Records and BodyBytes bound what is held at one time.
	Records   int
	BodyBytes int64
	// Seed feeds the tie breaks and jitters.
	Seed uint64
	// Loads is this host's address for the datagrams in which hosts tell each other their load; empty for none.
	Loads string
	// LookupKeep is how long callers keep a look-up answer at most: a host that stops takes their requests for as long.
	LookupKeep time.Duration
	// Reservations are the timings of memory that is reserved at engines; the zero value takes the defaults.
	Reservations group.Timing
	// PlatformCurrent is set where the platform never answers with anything older than what is in force.
	PlatformCurrent bool
	// EnginesExpire is set where engines drop by themselves what nobody holds any more, and list nothing.
	EnginesExpire bool
	// Policy is how requests are queued and placed; the zero value is the one in force.
	Policy Policy
}

// Node is the control state of one entry host. It is not safe for concurrent use.
type Node struct {
	opts    Options
	now     core.Time
	actions []Action

	config *conf.Config
	hosts  *hostlist.List
	// hostsHistory is the host list's text with the deltas that led to it; hostsSince is when it was heard.
	hostsHistory *delta.History
	hostsSince   core.Time

	// cells are those of the host list; directory says who serves whom.
	cells     *cell.Map
	directory *directory

	peers   *member.Table
	targets *target.Table
	ledger  *ledger.Ledger
	queue   queue.Queue
	router  *route.Router
	limits  *limit.Limiter
	retries *retry.Budget
	// shares are the teams' shares of the admitted short requests' work.
	shares *fair.Shares
	rng    *rand.Rand

	// active are the unfinished records.
	active map[core.Key]*ledger.Record
	// bodyBytes is the sum of the bodies that active records were given room for.
	bodyBytes int64

	sweeps sweepState
	groups groupState
	orders orderState

	adoptions AdoptionCounts

	drain         drainState
	ready         bool
	alive         map[string]bool
	lastHeartbeat core.Time
	outcomes      map[api.Outcome]uint64
	knowledge     knowledge
	wake          wakeState
	sent          sentState
	cache         statusCache
	// demand is the work offered to this host; lanesSized is when the lanes were last fitted to it.
	demand     demand
	lanesSized core.Time
	// silent are the engines that had stopped to report at the last tick.
	silent map[string]bool
	// table finds the routes of the document in force.
	table  *routes.Table
	loads  loadsState
	usual  usualBudgets
	pacing pacing
}

// New returns the Node of a process that has just started: its clock stands at zero.
func New(opts Options) *Node {
	if opts.Reservations == (group.Timing{}) {
		opts.Reservations = group.DefaultTiming()
	}
	rng := rand.New(rand.NewPCG(opts.Seed, opts.Seed))
	n := &Node{
		opts:          opts,
		config:        conf.New(),
		hostsHistory:  &delta.History{},
		peers:         member.NewTable(opts.Peer, opts.Zone, opts.Seeds),
		targets:       target.NewTable(),
		ledger:        ledger.NewLedger(opts.Records),
		router:        newRouter(opts.Policy, rng),
		limits:        limit.New(opts.Peer),
		retries:       retry.New(),
		shares:        fair.New(),
		rng:           rng,
		active:        make(map[core.Key]*ledger.Record),
		sweeps:        newSweepState(),
		groups:        newGroupState(),
		orders:        newOrderState(),
		alive:         make(map[string]bool),
		lastHeartbeat: -time.Hour,
		outcomes:      make(map[api.Outcome]uint64),
		knowledge:     newKnowledge(),
		lanesSized:    -laneInterval,
		usual:         make(usualBudgets),
		pacing:        newPacing(),
	}
	n.queue = newQueue(opts.Policy, n.teamWeight)
	return n
}

// never marks an event that has not happened.
const never = core.Time(-1)

// Step takes one input at an instant that is not before the last one.
func (n *Node) Step(now core.Time, in Input) []Action {
	n.noteSleep(now)
	n.now = max(n.now, now)
	n.actions = nil
	n.apply(in)
	n.endCatchUp()
	n.noteReadiness()
	n.shareLoads()
	return n.actions
}

func (n *Node) apply(in Input) {
	switch in := in.(type) {
	case Submit:
		n.submit(in)
		n.noteSubmit(&in.Request)
	case BodyEnded:
		n.bodyEnded(in)
	case DispatchFirstToken:
		n.firstToken(in)
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
	case Drain:
		n.startDrain()
	default:
		n.applyNews(in)
	}
}

// applyNews takes what peers and the platform tell.
func (n *Node) applyNews(in Input) {
	switch in := in.(type) {
	case HeartbeatHeard:
		n.heartbeatHeard(in)
	case TargetHeard:
		if t := n.targets.Get(in.Target); t != nil {
			t.Heard(n.now)
		}
	case LoadsHeard:
		n.loadsHeard(in)
	case SeedsHeard:
		n.peers.Seed(n.now, in.Peers)
	case DocumentHeard:
		n.documentHeard(in)
	case HostsHeard:
		n.hostsHeard(in)
	case PlatformAnswered:
		n.platformAnswered()
	case OrdersRead:
		n.fenceHeard(in)
		n.ordersRead(in)
	default:
		n.applyEngineInput(in)
	}
}

func (n *Node) do(a Action) { n.actions = append(n.actions, a) }

func (n *Node) tick() {
	n.expireDeadlines()
	n.ledger.Expire(n.now, func(rec *ledger.Record) { n.do(Drop{Key: rec.Request.Key}) })
	n.heartbeat()
	n.peers.Expire(n.now)
	n.notePeers()
	n.noteSuspects()
	n.sweepTick()
	n.groupsTick()
	n.ordersTick()
	n.targets.DropGone(n.now)
	n.targets.Lapse(n.now)
	n.rescueHung()
	n.expireWaiting()
	n.sizeLanes()
	n.rescue()
	n.pump()
	n.stopWhenDrained()
}
