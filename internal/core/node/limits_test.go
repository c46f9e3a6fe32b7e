package node_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/node"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

// limitedFleet is four hosts with eight plain services as targets, and one team whose limit is low enough to be reached.
type limitedFleet struct {
	world    *virtual.World
	hosts    []*virtual.Host
	rng      *rand.Rand
	serial   int
	admitted []admission
	refused  []node.Decision
	ended    map[api.Outcome]int
	attempts int
}

// admission is an admitted request of the limited team: when, and for how many tokens.
type admission struct {
	at     time.Duration
	tokens int64
}

const (
	limitedTeam = "desk"
	limitedRate = 50_000
	otherTeam   = "archive"
)

// partitionedNetwork delivers with a delay of 1 ms, but not between the sides of a partition. It maps addresses to sides.
type partitionedNetwork struct{ side map[string]int }

// Delay implements virtual.Network.
func (n *partitionedNetwork) Delay(_ time.Duration, from, to string) (time.Duration, bool) {
	return time.Millisecond, n.side[from] == n.side[to]
}

// service is a target whose dispatches end after 20 ms, with the ending that the function returns.
type service struct {
	fleet  *limitedFleet
	ending func() node.Ending
}

// Start implements virtual.Target.
func (s service) Start(w *virtual.World, from *virtual.Host, start node.StartDispatch) {
	s.fleet.attempts++
	post := from.Poster()
	ending := s.ending()
	w.After(20*time.Millisecond, func() {
		post(node.DispatchEnded{Key: start.Key, Dispatch: start.Dispatch, Target: start.Target, Ending: ending})
	})
}

// Abort implements virtual.Target.
func (service) Abort(*virtual.World, *virtual.Host, node.AbortDispatch) {}

func newLimitedFleet(t *testing.T, network virtual.Network, ending func(*rand.Rand) node.Ending) *limitedFleet {
	t.Helper()
	f := &limitedFleet{world: virtual.New(network), rng: rand.New(rand.NewPCG(7, 7)), ended: make(map[api.Outcome]int)}
	list := &hostlist.List{Version: 1}
	for i := range 4 {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: fmt.Sprintf("10.0.0.%d:1", i+1), Peer: peerAddress(i), Zone: "a",
			Role: hostlist.RoleEntry, State: hostlist.StateLive,
		})
	}
	for i := range 8 {
		address := fmt.Sprintf("10.0.1.%d:1", i+1)
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: address, Zone: "a", Role: hostlist.RoleService, State: hostlist.StateLive, Models: []string{"orders"},
		})
		f.world.Targets[address] = service{fleet: f, ending: func() node.Ending { return ending(f.rng) }}
	}
	raw, err := json.Marshal(limitedDocument())
	assert.NilError(t, err)
	for i := range 4 {
		h := f.world.AddHost(node.Options{
			Self: core.Home{Address: list.Hosts[i].Address}, Peer: peerAddress(i), Zone: "a",
			Records: 1 << 20, BodyBytes: 1 << 40, Seed: uint64(i),
		})
		h.OnFinish = func(a node.Finish) { f.ended[a.Result.Outcome]++ }
		h.Post(node.HostsReceived{List: list, Source: conf.SourcePlatform})
		h.Post(node.DocumentReceived{Raw: raw, Source: conf.SourcePlatform})
		f.hosts = append(f.hosts, h)
	}
	return f
}

func peerAddress(i int) string { return fmt.Sprintf("10.0.0.%d:2", i+1) }

func limitedDocument() document.Document {
	preset := document.Preset{
		Budgets:            document.Budgets{ShortMs: 10_000, MiddleMs: 120_000, LongMs: 900_000},
		FirstTokenTargetMs: 750, ShortPromptTokens: 4_000, MiddlePromptTokens: 100_000, RetryPercent: 10,
	}
	return document.Document{
		Revision: 1, Active: "ordinary", Presets: map[string]document.Preset{"ordinary": preset},
		Teams: []document.Team{
			{Name: limitedTeam, Weight: 1, TokensPerSecond: limitedRate},
			{Name: otherTeam, Weight: 1, TokensPerSecond: 1_000_000},
		},
	}
}

// send submits a request of a team to a host once every interval, from now until the given time.
func (f *limitedFleet) send(h *virtual.Host, team string, every, until time.Duration) {
	if f.world.Now() >= until {
		return
	}
	f.serial++
	req := core.Request{
		Key: core.Key{Team: team, ID: fmt.Sprintf("request-%d", f.serial)}, Attempt: 1, Model: "orders",
		PromptTokens: 500 + f.rng.Int64N(1000), AnswerTokens: 50, Idempotent: true, Budget: 10 * time.Second,
		BodyBytes: 100,
	}
	h.Submit(req, func(d node.Decision) {
		if d.Kind != node.Admit {
			f.refused = append(f.refused, d)
			return
		}
		if team == limitedTeam {
			f.admitted = append(f.admitted, admission{at: f.world.Now(), tokens: req.PromptTokens + req.AnswerTokens})
		}
		h.Post(node.BodyEnded{Key: req.Key, Attempt: req.Attempt})
	})
	f.world.After(every, func() { f.send(h, team, every, until) })
}

// worstRatio returns the greatest number of tokens admitted in any ten seconds, divided by the limit.
func (f *limitedFleet) worstRatio() float64 {
	first, sum, worst := 0, int64(0), int64(0)
	for _, g := range f.admitted {
		sum += g.tokens
		for f.admitted[first].at <= g.at-10*time.Second {
			sum -= f.admitted[first].tokens
			first++
		}
		worst = max(worst, sum)
	}
	return float64(worst) / (10 * limitedRate)
}

func done(*rand.Rand) node.Ending { return node.EndedDone }

// TestTeamLimitHoldsAcrossHostsDuringPartition: a team that offers ten times its limit, unevenly across hosts and during
// a network partition that comes and goes, is admitted at most 1.1 times its limit in any ten seconds.
func TestTeamLimitHoldsAcrossHostsDuringPartition(t *testing.T) {
	network := &partitionedNetwork{side: map[string]int{}}
	f := newLimitedFleet(t, network, done)
	for i, h := range f.hosts {
		every := time.Duration(1+i*3) * time.Millisecond
		f.world.After(5*time.Second, func() { f.send(h, limitedTeam, every, 90*time.Second) })
	}
	f.world.At(30*time.Second, func() { network.side[peerAddress(0)] = 1 })
	f.world.At(50*time.Second, func() { network.side[peerAddress(1)] = 1 })
	f.world.At(60*time.Second, func() { network.side = map[string]int{} })
	f.world.Run(100 * time.Second)
	assert.Assert(t, f.worstRatio() <= 1.1, "ten seconds admitted %.3f of the limit", f.worstRatio())
	assert.Assert(t, f.worstRatio() >= 0.9, "ten seconds admitted %.3f of the limit", f.worstRatio())
	for _, d := range f.refused {
		assert.Equal(t, d.Result.Code, api.CodeTeamLimit)
		assert.Assert(t, d.Result.RetryAfter > 0)
	}
}

// TestRetriesStayWithinBudget: while a fifth of all dispatches fail, targets get at most 1.1 dispatches per request, and
// every request ends.
func TestRetriesStayWithinBudget(t *testing.T) {
	lossy := func(rng *rand.Rand) node.Ending {
		if rng.IntN(5) == 0 {
			return node.EndedFailed
		}
		return node.EndedDone
	}
	f := newLimitedFleet(t, &partitionedNetwork{}, lossy)
	for _, h := range f.hosts {
		f.world.After(time.Second, func() { f.send(h, otherTeam, 20*time.Millisecond, 60*time.Second) })
	}
	f.world.Run(80 * time.Second)
	requests := f.ended[api.OutcomeDone] + f.ended[api.OutcomeFailed]
	assert.Equal(t, requests, f.serial-len(f.refused))
	ratio := float64(f.attempts) / float64(requests)
	assert.Assert(t, ratio <= 1.1, "%d dispatches for %d requests", f.attempts, requests)
	assert.Assert(t, ratio > 1.05, "%d dispatches for %d requests", f.attempts, requests)
}
