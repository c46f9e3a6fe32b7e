package node_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/cell"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/node"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

// largeFleet starts more hosts than one cell holds, with as many engines.
func largeFleet(t *testing.T, hosts int) (*virtual.World, *hostlist.List) {
	t.Helper()
	world := virtual.New(&partitionedNetwork{side: map[string]int{}})
	list := &hostlist.List{Version: 1}
	for i := range hosts {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: fmt.Sprintf("10.0.0.%d:1", i+1), Peer: peerAddress(i), Zone: string(rune('a' + i%3)),
			Role: hostlist.RoleEntry, State: hostlist.StateLive,
		})
	}
	for i := range hosts {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: fmt.Sprintf("10.0.1.%d:1", i+1), Zone: string(rune('a' + i%3)),
			Role: hostlist.RoleEngine, State: hostlist.StateLive, Models: []string{draftModel}, MemoryTokens: engineMemory,
		})
	}
	raw, err := json.Marshal(limitedDocument())
	assert.NilError(t, err)
	for i := range hosts {
		h := world.AddHost(node.Options{
			Self: core.Home{Address: list.Hosts[i].Address}, Peer: peerAddress(i), Zone: list.Hosts[i].Zone,
			Records: 1000, BodyBytes: 1 << 30, Seed: uint64(i),
		})
		h.Post(node.HostsReceived{List: list, Source: conf.SourcePlatform})
		h.Post(node.DocumentReceived{Raw: raw, Source: conf.SourcePlatform})
	}
	world.Run(12 * time.Second)
	return world, list
}

// TestLargeFleetIsDividedIntoCells runs a fleet of at least ten cells.
func TestLargeFleetIsDividedIntoCells(t *testing.T) {
	const hosts = 160
	world, list := largeFleet(t, hosts)
	assert.Assert(t, cell.New(list).Len() >= 10)
	t.Run("a team is served by its cells and found from any host", func(t *testing.T) {
		served, referred := 0, 0
		for _, h := range world.Hosts() {
			known, ask := h.Snapshot().HostsFor(limitedTeam)
			assert.Assert(t, len(known)+len(ask) > 0, "%s knows no hosts to use or ask", h.Peer())
			if len(known) == 0 {
				referred++
			}
			served += submitOne(t, h)
		}
		assert.Assert(t, referred > 0)
		assert.Assert(t, served > 0 && served < hosts, "%d of %d hosts serve the team", served, hosts)
	})
	t.Run("peers and targets of one host stay within the bounds of a cell", func(t *testing.T) {
		for _, h := range world.Hosts() {
			status := h.Snapshot().Status
			assert.Assert(t, len(status.Peers) <= 28, "%d peers", len(status.Peers))
			assert.Assert(t, len(status.Targets) <= 40, "%d targets", len(status.Targets))
			for _, p := range status.Peers {
				assert.Assert(t, p.Alive, "%s considers %s unreachable", h.Peer(), p.Address)
			}
		}
	})
}

// The model and the KV memory in tokens of the engines in these tests.
const (
	draftModel   = "draft"
	engineMemory = 450_000
)

// submitOne submits a request of the team and returns 1 if the host admits it, else 0.
func submitOne(t *testing.T, h *virtual.Host) int {
	t.Helper()
	req := core.Request{
		Key: core.Key{Team: limitedTeam, ID: "request-1"}, Attempt: 1, Model: draftModel,
		PromptTokens: 1000, AnswerTokens: 50, Idempotent: true, Budget: 10 * time.Second, BodyBytes: 100,
	}
	took := 0
	h.Submit(req, func(d node.Decision) {
		if d.Kind == node.Admit {
			took = 1
			return
		}
		assert.Equal(t, d.Result.Code, api.CodeNotServed)
		assert.Equal(t, d.Result.Outcome, api.OutcomeNotRun)
		assert.Assert(t, len(d.Alternatives) > 0)
	})
	return took
}
