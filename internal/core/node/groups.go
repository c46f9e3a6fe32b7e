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

// Reserve asks an engine to hold memory, or to extend a reservation, until Expiry has passed since the engine
// received it. The answer comes back as ReservationAnswered.
type Reserve struct {
	Key    core.Key
	Target string
	// Instance identifies the target process, as in StartDispatch; a different process at the address must refuse.
	Instance    string
	Reservation core.Reservation
	// Tokens is the KV memory to hold, in tokens.
	Tokens int64
	Expiry time.Duration
	// Renewal extends an existing reservation: an engine that does not know it must refuse.
	Renewal bool
	// Wait is set if the engine is to queue the reservation while it has no room.
	Wait bool
	// SentAt is this host's clock when the action was made; the answer returns it.
	SentAt core.Time
}

// Release asks an engine to drop a reservation. It needs no answer: a reservation that is not released expires.
type Release struct {
	Key    core.Key
	Target string
	// Instance identifies the target process, as in Reserve.
	Instance    string
	Reservation core.Reservation
}

// ReservationAnswered is the outcome of a Reserve.
type ReservationAnswered struct {
	Key    core.Key
	Target string
	// Instance is that of the Reserve.
	Instance    string
	Reservation core.Reservation
	SentAt      core.Time
	Answer      group.Answer
}

func (Reserve) action()            {}
func (Release) action()            {}
func (ReservationAnswered) input() {}

// GroupCounts counts reservations of groups of engines, for prompts that need several engines.
type GroupCounts struct {
	// Claims counts the attempts to reserve a group, Completed those that came to hold all engines, and GivenUp those
	// that failed before a dispatch, complete or not. A claim may end as neither, as when its request ends.
	Claims    uint64
	Completed uint64
	GivenUp   uint64
	// Lost counts groups that lost reserved memory during a dispatch.
	Lost uint64
	// Open is the number of current claims.
	Open int
}

// groupState is the part of the Node that reserves groups of engines.
type groupState struct {
	claims map[core.Key]*group.Claim
	// failed are the failed claims of each unfinished request.
	failed map[core.Key]failedClaims
	tries  uint32
	// next is the last waiting request without a claim that was tried; nil once a claim begins. It is not reset when
	// that request ends.
	next   *ledger.Record
	counts GroupCounts
	// engines is the buffer of groupEngines.
	engines []group.Engine
	noRoom  noRoom
}

// noRoom is what the current placement pass has found out about groups of a service: that many tokens of memory, and more, find no
// room. It holds for one version of the targets' loads.
type noRoom struct {
	service string
	tokens  int64
	loads   uint64
}

func newGroupState() groupState {
	return groupState{claims: make(map[core.Key]*group.Claim), failed: make(map[core.Key]failedClaims)}
}

// failedClaims counts the claims of one request that were given up or lost.
type failedClaims struct {
	count int
	// retryAt is the earliest time of the next claim.
	retryAt core.Time
}

// Backoff between two claims of a request: the base, doubled for each further failed claim. During the backoff, the
// memory that the failed claim held idle is available to others.
const (
	groupBackoff             = 2 * time.Second
	maxGroupBackoffDoublings = 4
	// refusedGroupBackoff is the base for engines that refuse at once, where no memory is held idle.
	refusedGroupBackoff = 60 * time.Millisecond
)

// memoryNeed returns the KV memory that a request occupies, in tokens.
func memoryNeed(req *core.Request) int64 { return req.PromptTokens + req.AnswerTokens }

// groupEngines returns the engines that serve a request's model where it may run; if eligible is set, only those that accept
// new work. The result is valid until the next call.
func (n *Node) groupEngines(req *core.Request, eligible bool) []group.Engine {
	out := n.groups.engines[:0]
	for _, t := range n.targets.All() {
		if t.Role != hostlist.RoleEngine || !t.Serves(req.Model) || !req.AllowsZone(t.Zone) || eligible && !t.Eligible(n.now) {
			continue
		}
		out = append(out, group.Engine{
			Process:      t.Process(),
			MemoryTokens: t.MemoryTokens,
			FreeTokens:   min(t.MemoryTokens-t.Report.UsedTokens, t.FreeTokens()),
		})
	}
	n.groups.engines = out
	return out
}

// needsGroup reports whether a request needs more memory than any single engine of its model has. It is false while the
// memory of one of them is unknown.
func (n *Node) needsGroup(req *core.Request) bool {
	return group.Needed(memoryNeed(req), n.groupEngines(req, false))
}

// checkMemory refuses a request that does not fit into the memory of all engines of its model together.
func (n *Node) checkMemory(req *core.Request) core.Result {
	if !n.needsGroup(req) {
		return core.Result{}
	}
	if _, ok := group.Choose(memoryNeed(req), n.groupEngines(req, false)); ok {
		return core.Result{}
	}
	return core.Result{Code: api.CodeTooLarge, Message: "larger than all engines of this model together"}
}

// dispatchGroup advances a request that needs several engines: it claims them, waits until all are reserved, and
// dispatches the request. It reports whether the request has left the queue.
func (n *Node) dispatchGroup(rec *ledger.Record) bool {
	key := rec.Request.Key
	claim := n.groups.claims[key]
	if claim == nil {
		n.groups.next = rec
		rec.Obstacle = core.ObstacleGroupTurn
		if n.waitedLongest(rec) {
			n.claimGroup(rec)
		}
		return false
	}
	if !claim.Complete() {
		rec.Obstacle = core.ObstacleReservation
		return false
	}
	members := n.groupMembers(&rec.Request, claim.Plan)
	if members == nil {
		n.releaseGroup(key)
		return false
	}
	if !members[0].MaySend(n.now) {
		rec.Obstacle = core.ObstacleTargets
		return false
	}
	n.removeGroupLoad(key, claim) // the request must not wait for its own prefill work
	n.router.Refresh(n.targets.LoadChanges())
	helpers, ready := n.router.HelpersFor(n.now, rec, members, n.targets.All())
	if !ready {
		n.addGroupLoad(rec, claim, n.claimWork(rec, claim))
		rec.Obstacle = core.ObstacleDelaysOthers
		return false
	}
	part := n.prefillPerEngine(rec, claim, len(helpers))
	priority := route.Priority(rec.Work.Class)
	n.addGroupLoad(rec, claim, part)
	start := n.begin(rec, members[0], target.Job{Priority: priority})
	for _, t := range members {
		start.Group = append(start.Group, t.Address)
	}
	start.Reservation = claim.Reservation
	n.addHelperLoad(rec, helpers, target.Job{Priority: priority, Work: part})
	start.Helpers = rec.Helpers
	n.do(start)
	return true
}

// groupMembers returns the engines of a plan, or nil if one is gone, has begun to leave or was evacuated since, no longer
// serves the request's model, or is where the request may not run any more. One is gone as well if another process has its
// address. With PolicyPacked the engine with the fewest streams comes first, of those whose limit allows a request now.
func (n *Node) groupMembers(req *core.Request, plan group.Plan) []*target.Target {
	var out []*target.Target
	for _, p := range plan.Engines {
		t := n.targets.Current(p)
		if t == nil || !t.TakesNewWork() || !t.Serves(req.Model) || !req.AllowsZone(t.Zone) {
			return nil
		}
		out = append(out, t)
	}
	if n.opts.Policy == PolicyPacked {
		slices.SortStableFunc(out, func(a, b *target.Target) int {
			return cmp.Or(
				compareBools(b.MaySend(n.now), a.MaySend(n.now)),
				cmp.Compare(a.Total().Streams, b.Total().Streams),
			)
		})
	}
	return out
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// claimGroup begins to reserve engines for a request, unless it is in its backoff, memory is short or its prefill would
// delay other requests too much.
func (n *Node) claimGroup(rec *ledger.Record) {
	key := rec.Request.Key
	if n.now < n.groups.failed[key].retryAt {
		return
	}
	if n.findsNoRoom(rec) {
		rec.Obstacle = core.ObstacleMemory
		return
	}
	plan, ok := n.chooseGroup(rec)
	if !ok {
		rec.Obstacle = core.ObstacleMemory
		return
	}
	if !n.shouldClaim(rec, plan) {
		rec.Obstacle = core.ObstacleDelaysOthers
		return
	}
	n.groups.tries++
	n.groups.counts.Claims++
	reservation := core.Reservation{Stream: n.streamOf(rec, rec.LastDispatch+1), Try: n.groups.tries}
	claim := group.NewClaim(n.now, plan, reservation, n.opts.ReservationTiming)
	n.groups.claims[key] = claim
	n.groups.next = nil
	n.addGroupLoad(rec, claim, n.claimWork(rec, claim))
	n.sendReserves(key, claim)
}

// findsNoRoom reports whether the current placement pass has found no room for a group of the same service that needs no more.
func (n *Node) findsNoRoom(rec *ledger.Record) bool {
	found := &n.groups.noRoom
	return found.tokens > 0 && found.service == rec.Request.Model && found.loads == n.targets.LoadChanges() &&
		memoryNeed(&rec.Request) >= found.tokens
}

// shouldClaim reports whether the prefill could begin at once if the members of the plan held its memory. Memory
// reserved for a prompt that keeps waiting would be idle.
func (n *Node) shouldClaim(rec *ledger.Record, plan group.Plan) bool {
	n.router.Refresh(n.targets.LoadChanges())
	_, ready := n.router.HelpersFor(n.now, rec, n.groupMembers(&rec.Request, plan), n.targets.All())
	return ready
}

// waitedLongest reports whether no reachable peer has a group that has waited longer. Without this check, the host
// whose group ends would always be the first to learn of the free engines, and would keep them.
func (n *Node) waitedLongest(rec *ledger.Record) bool {
	if !n.usesPolicyInForce() {
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

// chooseGroup picks the members of a group. The policy in force takes engines of one block that have no long-context
// prefill; a fleet without blocks, and the other policies, use the engines with the most free memory.
func (n *Node) chooseGroup(rec *ledger.Record) (group.Plan, bool) {
	need := memoryNeed(&rec.Request)
	engines := n.groupEngines(&rec.Request, true)
	if n.opts.Policy == PolicyPacked {
		plan, ok := group.Spread(need, engines)
		if !ok && !rec.Request.Zones.Restricted() {
			n.groups.noRoom = noRoom{service: rec.Request.Model, tokens: need, loads: n.targets.LoadChanges()}
		}
		return plan, ok
	}
	plan, ok := group.Choose(need, engines)
	if !n.usesPolicyInForce() || !ok {
		return plan, ok
	}
	var candidates []*target.Target
	for _, e := range engines {
		if !n.nonReporting[e.Process.Address] {
			candidates = append(candidates, n.targets.Current(e.Process))
		}
	}
	members, blocks := route.PickMembers(candidates, len(plan.Engines), plan.Tokens, n.hostIndex())
	if !blocks {
		return plan, true
	}
	plan.Engines = nil
	for _, t := range members {
		plan.Engines = append(plan.Engines, t.Process())
	}
	plan.Sort()
	return plan, len(members) > 0
}

// hostIndex returns this host's index among the live hosts in order of address.
func (n *Node) hostIndex() int {
	live := n.liveHosts()
	slices.Sort(live)
	return slices.Index(live, n.opts.Peer)
}

// sendReserves sends the reservations and renewals that are due for a claim.
func (n *Node) sendReserves(key core.Key, claim *group.Claim) {
	for _, ask := range claim.Due(n.now) {
		n.do(Reserve{
			Key:         key,
			Target:      ask.Engine.Address,
			Instance:    ask.Engine.Instance,
			Reservation: claim.Reservation,
			Tokens:      claim.Plan.Tokens,
			Expiry:      n.opts.ReservationTiming.Expiry,
			Renewal:     ask.Renewal,
			Wait:        !ask.Renewal && !n.opts.ReservationTiming.RefuseWhenFull,
			SentAt:      ask.SentAt,
		})
	}
}

// reservationAnswered handles an engine's answer. A reservation that is held or queued for a claim that no longer
// exists is released.
func (n *Node) reservationAnswered(in ReservationAnswered) {
	claim := n.groups.claims[in.Key]
	if claim == nil || claim.Reservation != in.Reservation {
		if in.Answer == group.Held || in.Answer == group.Waiting {
			n.do(Release{Key: in.Key, Target: in.Target, Instance: in.Instance, Reservation: in.Reservation})
		}
		return
	}
	complete := claim.Complete()
	claim.HandleAnswer(n.now, in.SentAt, in.Target, in.Answer)
	n.advance(in.Key, claim)
	if !complete && claim.Complete() {
		n.groups.counts.Completed++
		n.queue.Renew(in.Key) // its memory is held idle until it is dispatched
		n.requestPlacement()
	}
}

// advance sends what is due for a claim, and ends the claim if it has failed.
func (n *Node) advance(key core.Key, claim *group.Claim) {
	n.sendReserves(key, claim)
	if claim.Lost() {
		n.failClaim(key)
	}
}

// failClaim ends a claim that can't be completed or kept. If the request was dispatched on it, part of its memory is
// lost: the dispatch is aborted and handled as lost, without waiting for its DispatchEnded.
func (n *Node) failClaim(key core.Key) {
	n.releaseGroup(key)
	rec := n.active[key]
	if rec == nil {
		return
	}
	failed := n.groups.failed[key]
	backoff := groupBackoff
	if n.opts.ReservationTiming.RefuseWhenFull {
		backoff = refusedGroupBackoff
	}
	failed.retryAt = n.now + n.retryAfter(backoff<<min(failed.count, maxGroupBackoffDoublings))
	failed.count++
	n.groups.failed[key] = failed
	if rec.State != ledger.Dispatched {
		n.groups.counts.GivenUp++
		return
	}
	n.groups.counts.Lost++
	n.removeHelperLoad(rec)
	n.do(AbortDispatch{Key: key, Dispatch: rec.LastDispatch})
	began := rec.Timing.FirstToken != 0
	lost := DispatchEnded{Key: key, Dispatch: rec.LastDispatch, Target: rec.Target, Message: "memory of a group was lost"}
	n.handleLost(rec, lost)
	n.reportWithdrawn(rec, began, lost.Message)
}

// groupsTick advances the claims, always in the same order.
func (n *Node) groupsTick() {
	for _, key := range n.claimKeys() {
		n.advance(key, n.groups.claims[key])
	}
}

// claimKeys returns the keys of the requests that have a claim, sorted.
func (n *Node) claimKeys() []core.Key {
	keys := make([]core.Key, 0, len(n.groups.claims))
	for key := range n.groups.claims {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b core.Key) int { return a.Compare(b) })
	return keys
}

// releaseGroup ends a request's claim, if it has one: it removes the claim's load and sends a Release to every member,
// also to those not asked yet.
func (n *Node) releaseGroup(key core.Key) {
	claim := n.groups.claims[key]
	if claim == nil {
		return
	}
	delete(n.groups.claims, key)
	n.removeGroupLoad(key, claim)
	for _, engine := range claim.Plan.Engines {
		n.do(Release{Key: key, Target: engine.Address, Instance: engine.Instance, Reservation: claim.Reservation})
	}
}

// forgetGroup ends the claim of a finished request and forgets its failed ones.
func (n *Node) forgetGroup(key core.Key) {
	n.releaseGroup(key)
	delete(n.groups.failed, key)
}

// releaseDispatchGroup releases the group of a dispatch that has ended.
func (n *Node) releaseDispatchGroup(key core.Key, dispatch uint32) {
	if claim := n.groups.claims[key]; claim != nil && claim.Reservation.Stream.Dispatch == dispatch {
		n.releaseGroup(key)
	}
}

func (n *Node) groupCounts() GroupCounts {
	counts := n.groups.counts
	counts.Open = len(n.groups.claims)
	return counts
}
