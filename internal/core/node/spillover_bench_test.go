package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/spillover"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
)

const benchmarkZones = 3

// spilloverList returns a host list with that many engines in three zones.
func spilloverList(engines int) *hostlist.List {
	list := &hostlist.List{Version: 1}
	for i := range engines {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: fmt.Sprintf("10.1.%d.%d:1", i/250, i%250+1), Zone: fmt.Sprint("z", i%benchmarkZones), Role: hostlist.RoleEngine,
			State: hostlist.StateLive, Models: []string{"llm"}, Slots: 16,
		})
	}
	return list
}

// placedDigest returns the load digest of a host that has streams, with that much memory each, at a sixth of the engines, with
// pending prefill.
func placedDigest(list *hostlist.List, host int, memory int64) []byte {
	tb := target.NewTable()
	tb.Apply(list)
	for i, t := range tb.All() {
		if i%6 == host%6 {
			t.Begin(0, target.Dispatch{Key: core.Key{ID: fmt.Sprint(host)}}, target.Job{Work: 3_000, Memory: memory, GapSensitive: true})
		}
	}
	return tb.Digest()
}

func spilloverDocument() []byte {
	raw, err := json.Marshal(&document.Document{
		Revision: 1, Active: "p",
		Presets: map[string]document.Preset{"p": {
			Budgets:            document.Budgets{ShortMs: 10_000, MiddleMs: 60_000, LongMs: 900_000},
			FirstTokenTargetMs: 300, ShortPromptTokens: 20_000, MiddlePromptTokens: 80_000, RetryPercent: 20,
		}},
		Teams: []document.Team{{Name: "all", Weight: 1, TokensPerSecond: 1, Unmetered: true}},
		Routes: []document.Route{{
			Name: "ask", Authority: "a.example", Prefix: "/", Kind: document.KindStream, MaxExecutions: 2, TimeoutMs: 5_000,
			Services: []document.WeightedService{{Name: "llm", Weight: 1}}, FirstTokenTargetMs: 300, GapTargetMs: 250, Public: true,
		}},
		Services: []document.Service{{Name: "llm", MaxConnections: 300, Engine: &document.Engine{
			Slots: 16, MemoryTokens: 232_000, StepsPerIteration: 43, ChunkTokens: 2048, StepMs: 1, PrefillTokensPerMs: 206,
		}}},
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// spilloverNode returns a Node that knows the loads of 101 others.
func spilloverNode(b *testing.B, engines int) *Node {
	b.Helper()
	return loadedNode(b, engines, 10, 4_000)
}

// loadedNode returns a Node, with room for a number of records, that knows the loads of 101 others. Each of their streams holds
// that much memory.
func loadedNode(b testing.TB, engines, records int, memory int64) *Node {
	b.Helper()
	const peers = 101
	address := func(i int) string { return fmt.Sprintf("10.0.0.%d:2", i+1) }
	seeds := make([]string, 0, peers)
	for i := range peers {
		seeds = append(seeds, address(i+1))
	}
	n := New(Options{
		Self: core.Home{Address: "10.0.0.1:1", Incarnation: "i"}, Peer: address(0), Zone: "z0", Seeds: seeds, Records: records,
		BodyBytes: 1 << 20, Seed: 1, LoadsAddress: "10.0.0.1:3", PlatformCurrent: true, Policy: PolicyPacked, Spillover: Spillover{Enabled: true},
	})
	list := spilloverList(engines)
	now := time.Second
	n.Step(now, PlatformAnswered{})
	n.Step(now, DocumentReceived{Raw: spilloverDocument(), Source: conf.SourcePlatform})
	n.Step(now, HostsReceived{List: list, Source: conf.SourcePlatform})
	for i := range peers {
		peer := address(i + 1)
		n.Step(now, HeartbeatReceived{Heartbeat: member.Heartbeat{
			Peer: peer, Address: peer + "0", Incarnation: "i", Zone: fmt.Sprint("z", (i+1)%benchmarkZones), LoadsAddress: peer + "1",
			ClockMs: 1000, IntervalMs: 1000,
		}})
		n.Step(now, LoadsReceived{From: peer, Bundle: loadshare.Bundle{Digests: []loadshare.Digest{{
			Peer: peer, Incarnation: "i", Sequence: 1, Loads: placedDigest(list, i, memory), Freshness: loadshare.Freshness{Age: -1},
		}}}})
	}
	if got := len(n.liveHosts()); got != peers+1 {
		b.Fatalf("%d hosts", got)
	}
	return n
}

// BenchmarkSpillover measures an update of the shares on one of 102 hosts, each with streams at a sixth of the engines. A
// host makes ten a second.
func BenchmarkSpillover(b *testing.B) {
	for _, engines := range []int{24, 100, 500} {
		b.Run(fmt.Sprint(engines, "-targets"), func(b *testing.B) {
			n := spilloverNode(b, engines)
			b.ReportAllocs()
			for b.Loop() {
				n.spill.updated = n.now - spillover.Interval
				for _, s := range n.spill.services {
					s.policy = spillover.New()
				}
				n.updateSpillover()
				n.actions = nil
			}
		})
	}
}
