package node

import (
	"cmp"
	"slices"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/group"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"
)

// Reserve asks an engine to hold memory, or to go on holding it, until the expiry has passed since it heard. The
// answer comes back as ReservationAnswered.
type Reserve struct {
	Key         core.Key
	Target      string
	Reservation core.Reservation
	// Tokens is the memory to hold, in tokens.
	Tokens int64
	Expiry time.Duration
	// Renewal must not make a reservation that the engine does not know; it is refused then.
	Renewal bool
	// Wait is set where the engine is to keep a place in its line for the reservation while it has no room.
	Wait bool
	// Asked is this host's clock at the ask; the answer hands it back.
	Asked core.Time
}

// Release asks an engine to drop a reservation. No answer is needed: what is not released expires.
type Release struct {
	Key         core.Key
	Target      string
	Reservation core.Reservation
}

// ReservationAnswered is what became of a Reserve.
type ReservationAnswered struct {
	Key         core.Key
	Target      string
	Reservation core.Reservation
	Asked       core.Time
	Answer      group.Answer
}

func (Reserve) action()            {}
func (Release) action()            {}
func (ReservationAnswered) input() {}

// GroupCounts counts the prompts that need several engines.
type GroupCounts struct {
	// Claims, Completed and GivenUp count tries to reserve a group, and how they ended.
	Claims    uint64
	Completed uint64
	GivenUp   uint64
	// Lost counts groups that were lost while their stream ran.
	Lost uint64
	// Open is the number of claims now.
	Open int
}

// groupState is the part of the Node that holds groups of engines.
type groupState struct {
	claims map[core.Key]*group.Claim
	// failed are the requests whose last claim was given up.
	failed map[core.Key]failedClaims
	tries  uint32
	// next is the request that is to reserve its engines next; nil while one does.
	next   *ledger.Record
	counts GroupCounts
}

func newGroupState() groupState {
	return groupState{claims: make(map[core.Key]*group.Claim), failed: make(map[core.Key]failedClaims)}
}

// failedClaims counts the claims of one request that were given up.
type failedClaims struct {
	count int
	// again is when the next try may begin.
	again core.Time
}

// Pauses between two tries to reserve a group: the base, doubled for each try that was given up. Between tries the
// memory that a waiting claim held idle is open to others.
const (
	groupPause        = 2 * time.Second
	groupPauseDoubles = 4
	// refusedGroupPause is the base where engines refuse at once and hold nothing idle.
	refusedGroupPause = 60 * time.Millisecond
)

// memoryNeed is what a request holds at an engine, in tokens.
func memoryNeed(req *core.Request) int64 { return req.PromptTokens + req.AnswerTokens }

// groupEngines are the engines that serve a model; only those that take new work, if eligible is set.
func (n *Node) groupEngines(model string, eligible bool) []group.Engine {
	var out []group.Engine
	for _, t := range n.targets.All() {
		if t.Role != hostlist.RoleEngine || !t.Serves(model) || eligible && !t.Eligible(n.now) {
			continue
		}
		out = append(out, group.Engine{
			Address:      t.Address,
			MemoryTokens: t.MemoryTokens,
			FreeTokens:   min(t.MemoryTokens-t.Report.UsedTokens, t.FreeTokens()),
		})
	}
	return out
}

// needsGroup tells whether a request is larger than each engine of its model.
func (n *Node) needsGroup(req *core.Request) bool {
	return group.Needed(memoryNeed(req), n.groupEngines(req.Model, false))
}

// checkMemory refuses a request that all engines of its model together can't hold.
func (n *Node) checkMemory(req *core.Request) core.Result {
	if !n.needsGroup(req) {
		return core.Result{}
	}
	if _, ok := group.Choose(memoryNeed(req), n.groupEngines(req.Model, false)); ok {
		return core.Result{}
	}
	return core.Result{Code: api.CodeTooLarge, Message: "larger than all engines of this model together"}
}

// dispatchGroup brings a request that needs several engines forward. It reports true when the request has left the
// queue.
func (n *Node) dispatchGroup(rec *ledger.Record) bool {
	key := rec.Request.Key
	claim := n.groups.claims[key]
	if claim == nil {
		n.groups.next = rec
		rec.Obstacle = core.ObstacleTurn
		if n.firstInLine(rec) {
			n.claimGroup(rec)
		}
		return false
	}
	if !claim.Complete() {
		rec.Obstacle = core.ObstacleReservation
		return false
	}
	members := n.groupMembers(claim.Plan)
	if members == nil {
		n.releaseGroup(key)
		return false
	}
	n.liftGroup(key, claim) // its own reading is none that it would wait for
	helpers, worth := n.router.HelpersFor(n.now, rec, members, n.targets.All())
	if !worth {
		n.placeGroup(rec, claim, n.claimedWork(rec, claim))
		rec.Obstacle = core.ObstacleOthers
		return false
	}
	part := n.groupPart(rec, claim, len(helpers))
	priority := route.Priority(rec.Work.Class)
	n.placeGroup(rec, claim, part)
	order := n.begin(rec, members[0], target.Job{Priority: priority})
	for _, t := range members {
		order.Group = append(order.Group, t.Address)
	}
	order.Reservation = claim.Reservation
	n.placeHelp(rec, helpers, target.Job{Priority: priority, Work: part})
	order.Helpers = rec.Helpers
	n.do(order)
	return true
}

// groupMembers are the engines of a plan, where streams are packed the one with the fewest first; nil when one is gone.
func (n *Node) groupMembers(plan group.Plan) []*target.Target {
	var out []*target.Target
	for _, address := range plan.Engines {
		t := n.targets.Get(address)
		if t == nil {
			return nil
		}
		out = append(out, t)
	}
	if n.opts.Policy == PolicyPacked {
		slices.SortStableFunc(out, func(a, b *target.Target) int {
			return cmp.Compare(a.Total().Streams, b.Total().Streams)
		})
	}
	return out
}

// claimGroup begins to reserve engines for a request, unless its last try was a moment ago.
func (n *Node) claimGroup(rec *ledger.Record) {
	key := rec.Request.Key
	if n.now < n.groups.failed[key].again {
		return
	}
	plan, ok := n.chooseGroup(rec)
	if !ok {
		rec.Obstacle = core.ObstacleMemory
		return
	}
	if !n.worthClaiming(rec, plan) {
		rec.Obstacle = core.ObstacleOthers
		return
	}
	n.groups.tries++
	n.groups.counts.Claims++
	reservation := core.Reservation{Stream: n.streamOf(rec, rec.Dispatches+1), Try: n.groups.tries}
	claim := group.NewClaim(n.now, plan, reservation, n.opts.Reservations)
	n.groups.claims[key] = claim
	n.groups.next = nil
	n.placeGroup(rec, claim, n.claimedWork(rec, claim))
	n.ask(key, claim)
}

// worthClaiming tells whether the prompt would be read now if the members of the plan held its memory. Memory that is
// held for a prompt that waits on is idle.
func (n *Node) worthClaiming(rec *ledger.Record, plan group.Plan) bool {
	_, worth := n.router.HelpersFor(n.now, rec, n.groupMembers(plan), n.targets.All())
	return worth
}

// firstInLine tells whether no peer has a group that has waited longer. Without it, the host whose group ends would
// know first of the free engines each time and keep them.
func (n *Node) firstInLine(rec *ledger.Record) bool {
	if !n.predicts() {
		return true
	}
	waited := n.now - rec.Timing.Admitted
	for _, address := range n.peers.Addresses() {
		p := n.peers.Get(address)
		if p.Alive(n.now) && p.Last.Work.GroupWaitMs > waited.Milliseconds() {
			return false
		}
	}
	return true
}

// chooseGroup picks the members of a group. In the policy in force they are a block without long prefills; a fleet
// without blocks, and the baselines, take the engines with the most free memory.
func (n *Node) chooseGroup(rec *ledger.Record) (group.Plan, bool) {
	need := memoryNeed(&rec.Request)
	engines := n.groupEngines(rec.Request.Model, true)
	if n.opts.Policy == PolicyPacked {
		return group.Spread(need, engines)
	}
	plan, ok := group.Choose(need, engines)
	if !n.predicts() || !ok {
		return plan, ok
	}
	var candidates []*target.Target
	for _, e := range engines {
		if !n.silent[e.Address] {
			candidates = append(candidates, n.targets.Get(e.Address))
		}
	}
	members, blocks := route.PickMembers(candidates, len(plan.Engines), plan.Tokens, n.hostTurn())
	if !blocks {
		return plan, true
	}
	plan.Engines = nil
	for _, t := range members {
		plan.Engines = append(plan.Engines, t.Address)
	}
	slices.Sort(plan.Engines)
	return plan, len(members) > 0
}

// hostTurn is this host's place among the hosts that are heard.
func (n *Node) hostTurn() int {
	live := n.liveHosts()
	slices.Sort(live)
	return slices.Index(live, n.opts.Peer)
}

// ask sends what is due for a claim.
func (n *Node) ask(key core.Key, claim *group.Claim) {
	for _, ask := range claim.Due(n.now) {
		n.do(Reserve{
			Key:         key,
			Target:      ask.Engine,
			Reservation: claim.Reservation,
			Tokens:      claim.Plan.Tokens,
			Expiry:      n.opts.Reservations.Expiry,
			Renewal:     ask.Renewal,
			Wait:        !ask.Renewal && !n.opts.Reservations.AtOnce,
			Asked:       ask.Asked,
		})
	}
}

// reservationAnswered takes an engine's answer. One that is held for a claim that is no more is given back.
func (n *Node) reservationAnswered(in ReservationAnswered) {
	claim := n.groups.claims[in.Key]
	if claim == nil || claim.Reservation != in.Reservation {
		if in.Answer == group.Held || in.Answer == group.Waiting {
			n.do(Release{Key: in.Key, Target: in.Target, Reservation: in.Reservation})
		}
		return
	}
	complete := claim.Complete()
	claim.Hear(n.now, in.Asked, in.Target, in.Answer)
	n.advance(in.Key, claim)
	if !complete && claim.Complete() {
		n.groups.counts.Completed++
		n.pump()
	}
}

// advance carries a claim on, or gives it up.
func (n *Node) advance(key core.Key, claim *group.Claim) {
	n.ask(key, claim)
	if claim.Lost() {
		n.loseGroup(key)
	}
}

// loseGroup ends a claim that can't be kept. A stream that runs on it has lost memory and is given up.
func (n *Node) loseGroup(key core.Key) {
	n.releaseGroup(key)
	rec := n.active[key]
	if rec == nil {
		return
	}
	failed := n.groups.failed[key]
	pause := groupPause
	if n.opts.Reservations.AtOnce {
		pause = refusedGroupPause
	}
	failed.again = n.now + n.retryAfter(pause<<min(failed.count, groupPauseDoubles))
	failed.count++
	n.groups.failed[key] = failed
	if rec.State != ledger.Dispatched {
		n.groups.counts.GivenUp++
		return
	}
	n.groups.counts.Lost++
	n.do(AbortDispatch{Key: key, Dispatch: rec.Dispatches})
	n.judgeLost(rec, DispatchEnded{Key: key, Dispatch: rec.Dispatches, Target: rec.Target, Message: "memory of a group was lost"})
}

// groupsTick renews what is held, in the same order every time.
func (n *Node) groupsTick() {
	for _, key := range n.claimKeys() {
		n.advance(key, n.groups.claims[key])
	}
}

func (n *Node) claimKeys() []core.Key {
	keys := make([]core.Key, 0, len(n.groups.claims))
	for key := range n.groups.claims {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b core.Key) int { return a.Compare(b) })
	return keys
}

// releaseGroup gives back everything that a request holds or has asked for.
func (n *Node) releaseGroup(key core.Key) {
	claim := n.groups.claims[key]
	if claim == nil {
		return
	}
	delete(n.groups.claims, key)
	n.liftGroup(key, claim)
	for _, engine := range claim.Plan.Engines {
		n.do(Release{Key: key, Target: engine, Reservation: claim.Reservation})
	}
}

// endGroup forgets the group of a request that is finished.
func (n *Node) endGroup(key core.Key) {
	n.releaseGroup(key)
	delete(n.groups.failed, key)
}

// endDispatchGroup gives back the group of a dispatch that has ended.
func (n *Node) endDispatchGroup(key core.Key, dispatch uint32) {
	if claim := n.groups.claims[key]; claim != nil && claim.Reservation.Stream.Dispatch == dispatch {
		n.releaseGroup(key)
	}
}

func (n *Node) groupCounts() GroupCounts {
	counts := n.groups.counts
	counts.Open = len(n.groups.claims)
	return counts
}
