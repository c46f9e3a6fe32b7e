package capacity

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/limit"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/target"
	"carobshunt/internal/delta"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// The target from the letter, and the rates at which the protocol is driven.
const (
	changesPerDay  = 31_000
	secondsPerDay  = 24 * 60 * 60
	zones          = 8
	budgetBytes    = 7_000
	budgetSpread   = 8 * time.Second
	messageDelay   = time.Millisecond
	settle         = 5 * time.Second
	measured       = 15 * time.Second
	changeInterval = time.Second * secondsPerDay / changesPerDay
)

// peerHost is one node with what it cost.
type peerHost struct {
	node     *node.Node
	address  string
	snapshot *node.Snapshot
	cost     usage
}

// usage is what a node spent.
type usage struct {
	sent, received int
	bytesSent      int
	bytesReceived  int
}

// fleet is a number of nodes in virtual time. A message takes messageDelay; what a node computes takes none.
type fleet struct {
	hosts  []*peerHost
	byPeer map[string]*peerHost
	now    core.Time
	mail   []message
	reads  int
}

type message struct {
	at core.Time
	to *peerHost
	// raw is the request on the wire; input is what it becomes there.
	raw   []byte
	input func() node.Input
}

func newFleet(n, targets, teams int) *fleet {
	f := &fleet{byPeer: make(map[string]*peerHost)}
	list := hostList(n, targets)
	for i := range n {
		line := list.Hosts[i]
		h := &peerHost{
			address: line.Peer,
			node: node.New(node.Options{
				Self: core.Home{Address: line.Address, Incarnation: "0123456789abcdef"}, Peer: line.Peer, Zone: line.Zone,
				Records: 16384, BodyBytes: 1 << 28, Seed: uint64(i),
			}),
		}
		h.snapshot = h.node.Snapshot()
		f.hosts = append(f.hosts, h)
		f.byPeer[line.Peer] = h
	}
	raw, _ := json.Marshal(config(1, teams))
	for _, h := range f.hosts {
		f.step(h, node.HostsReceived{List: list, Source: conf.SourcePlatform})
		f.step(h, node.DocumentReceived{Raw: raw, Source: conf.SourcePlatform})
	}
	return f
}

func hostList(entries, targets int) *hostlist.List {
	list := &hostlist.List{Version: 1}
	for i := range entries {
		ip := fmt.Sprintf("10.%d.%d.%d", 1+i%zones, i/250, i%250)
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: ip + ":7400", Peer: ip + ":7402", Zone: fmt.Sprintf("region-1-zone-%d", i%zones),
			Role: hostlist.RoleEntry, State: hostlist.StateLive,
		})
	}
	for i := range targets {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: fmt.Sprintf("10.%d.%d.%d:7600", 101+i%zones, i/250, i%250), Zone: fmt.Sprintf("region-1-zone-%d", i%zones),
			Role: hostlist.RoleEngine, State: hostlist.StateLive, Models: []string{fmt.Sprintf("model-%d", i%4)},
			MemoryTokens: 450_000, ChecksFencing: i%2 == 0,
		})
	}
	return list
}

func config(revision uint64, teams int) document.Document {
	preset := document.Preset{
		Budgets:            document.Budgets{ShortMs: 10_000, MiddleMs: 120_000, LongMs: 900_000},
		FirstTokenTargetMs: 750, ShortPromptTokens: 4_000, MiddlePromptTokens: 100_000, ProtectShortPercent: 25,
		RetryPercent: 10, WeightLoadsPerMinute: 6,
	}
	doc := document.Document{
		Revision: revision, Active: "ordinary",
		Presets: map[string]document.Preset{"ordinary": preset, "peak": preset, "maintenance": preset},
	}
	for i := range teams {
		doc.Teams = append(doc.Teams, document.Team{
			Name: fmt.Sprintf("team-%04d", i), Weight: 1, TokensPerSecond: 10_000 + int64(revision)%100*int64(i%2),
		})
	}
	doc.Teams[int(revision)%teams].Weight = 2
	return doc
}

// changed is the next revision: one team's weight differs.
func changed(revision uint64, teams int) []byte {
	doc := config(1, teams)
	doc.Revision = revision
	doc.Teams[int(revision)%teams].Weight = 3
	raw, _ := json.Marshal(doc)
	return raw
}

// step feeds an input, carries out the actions and publishes a snapshot, as the control loop does.
func (f *fleet) step(h *peerHost, in node.Input) {
	for _, action := range h.node.Step(f.now, in) {
		f.execute(h, action)
	}
	h.snapshot = h.node.Snapshot()
}

func (f *fleet) execute(h *peerHost, action node.Action) {
	switch a := action.(type) {
	case node.SendHeartbeat:
		raw := request("heartbeat", a.Heartbeat)
		f.post(h, f.byPeer[a.Peer], raw, func() node.Input {
			var req jsonrpc2.Request
			var hb member.Heartbeat
			_ = json.Unmarshal(raw, &req)
			_ = json.Unmarshal(*req.Params, &hb)
			return node.HeartbeatReceived{Heartbeat: hb}
		})
	case node.FetchDocument:
		f.fetch(h, f.byPeer[a.Peer])
	}
}

func request(method string, params any) []byte {
	req := &jsonrpc2.Request{Method: method, Notif: true}
	_ = req.SetParams(params)
	raw, _ := json.Marshal(req)
	return raw
}

// post sends a message; a nil input is one that the receiver answers elsewhere.
func (f *fleet) post(from, to *peerHost, raw []byte, input func() node.Input) {
	if to == nil {
		return
	}
	from.cost.sent++
	from.cost.bytesSent += len(raw)
	f.mail = append(f.mail, message{at: f.now + messageDelay, to: to, raw: raw, input: input})
}

// fetch asks for the deltas from the host's document, as the peer package does, and takes the answer.
func (f *fleet) fetch(h, from *peerHost) {
	have := h.snapshot.Documents.Newest()
	f.post(h, from, request("document", have.Digest), func() node.Input {
		deltas, ok := from.snapshot.Documents.Since(have.Digest)
		if !ok {
			return nil
		}
		raw, _ := json.Marshal(deltas)
		f.post(from, h, raw, func() node.Input {
			var got []delta.Delta
			_ = json.Unmarshal(raw, &got)
			text, err := delta.ApplyAll(have, got)
			if err != nil {
				return nil
			}
			return node.DocumentReceived{Raw: text.Raw, Source: from.address}
		})
		return nil
	})
}

// deliver hands over what has arrived by an instant.
func (f *fleet) deliver(until core.Time) {
	for len(f.mail) > 0 && f.mail[0].at <= until {
		m := f.mail[0]
		f.mail = f.mail[1:]
		f.now = max(f.now, m.at)
		m.to.cost.received++
		m.to.cost.bytesReceived += len(m.raw)
		if in := m.input(); in != nil {
			f.step(m.to, in)
		}
	}
}

// run lets time pass. The platform answers readers once a second.
func (f *fleet) run(until core.Time) {
	for f.now < until {
		next := f.now/node.TickInterval*node.TickInterval + node.TickInterval
		f.deliver(next)
		f.now = next
		for _, h := range f.hosts {
			f.step(h, node.Tick{})
			if h.snapshot.ReadsPlatform && next%time.Second == 0 {
				f.reads++
				f.step(h, node.PlatformAnswered{})
			}
		}
	}
}

// publish hands a document to the readers, and returns how long it takes until it is in force everywhere.
func (f *fleet) publish(raw []byte, revision uint64) time.Duration {
	begin := f.now
	for _, h := range f.hosts {
		if h.snapshot.ReadsPlatform {
			f.reads++
			f.step(h, node.DocumentReceived{Raw: raw, Source: conf.SourcePlatform})
		}
	}
	for f.now < begin+budgetSpread {
		f.run(f.now + node.TickInterval)
		if f.inForce(revision) {
			break
		}
	}
	return f.now - begin
}

func (f *fleet) inForce(revision uint64) bool {
	for _, h := range f.hosts {
		if h.snapshot.Heartbeat.Revision < revision {
			return false
		}
	}
	return true
}

// row is what one node of a fleet costs a second, on average and at most.
type row struct {
	messages, bytes, mostBytes float64
	busy                       time.Duration
	reads                      float64
	readers                    int
	spread                     time.Duration
}

func measureFleet(n int) row {
	const teams = 10
	f := newFleet(n, 20, teams)
	f.run(settle)
	for _, h := range f.hosts {
		h.cost = usage{}
	}
	f.reads = 0
	begin, busy := f.now, processorTime()
	var out row
	for revision := uint64(2); f.now < begin+measured; revision++ {
		next := f.now + changeInterval
		out.spread = max(out.spread, f.publish(changed(revision, teams), revision))
		f.run(next)
	}
	out.busy = (processorTime() - busy) / time.Duration(float64(n)*(f.now-begin).Seconds())
	return f.summary(out, f.now-begin)
}

func (f *fleet) summary(out row, elapsed time.Duration) row {
	n, seconds := float64(len(f.hosts)), elapsed.Seconds()
	for _, h := range f.hosts {
		bytes := float64(h.cost.bytesSent+h.cost.bytesReceived) / seconds
		out.bytes += bytes / n
		out.mostBytes = max(out.mostBytes, bytes)
		out.messages += float64(h.cost.sent+h.cost.received) / seconds / n
		if h.snapshot.ReadsPlatform {
			out.readers++
		}
	}
	out.reads = float64(f.reads) / seconds
	return out
}

func TestCapacityOfPeerProtocol(t *testing.T) {
	t.Logf("one change every %v, 10 teams, 20 targets, %d availability zones", changeInterval, zones)
	t.Logf("%6s %12s %12s %12s %14s %8s %10s %10s",
		"nodes", "messages/s", "bytes/s", "most bytes/s", "busy per s", "readers", "reads/s", "spread")
	sizes := []int{4, 16, 64}
	if *full {
		sizes = append(sizes, 256)
	}
	for _, n := range sizes {
		r := measureFleet(n)
		t.Logf("%6d %12.1f %12.0f %12.0f %14v %8d %10.1f %10v",
			n, r.messages, r.bytes, r.mostBytes, r.busy.Round(time.Microsecond), r.readers, r.reads, r.spread)
		assert.Assert(t, r.spread <= budgetSpread, "%d nodes", n)
		assert.Assert(t, r.mostBytes <= budgetBytes, "%d nodes: %.0f bytes a second", n, r.mostBytes)
		assert.Assert(t, r.readers <= 2*zones, "%d nodes", n)
	}
}

// heapOf returns the bytes of heap that what build returns holds, averaged over several copies.
func heapOf(build func() any) int {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var kept []any
	for range repeats() {
		kept = append(kept, build())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return (int(after.HeapAlloc) - int(before.HeapAlloc)) / repeats()
}

// processorTime is what this process has used, in user and system mode, the collector's work included.
func processorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// timeOf is the processor time of one call, averaged over a few.
func timeOf(f func()) time.Duration {
	begin := processorTime()
	for range repeats() {
		f()
	}
	return (processorTime() - begin) / time.Duration(repeats())
}

// repeats is the number of calls, or of copies, that a figure is averaged over.
func repeats() int {
	if *full {
		return 20
	}
	return 3
}

// full adds the largest fleet and averages over more calls.
var full = flag.Bool("full", false, "measure 256 nodes too, and average over more calls")

func TestCapacityOfDocument(t *testing.T) {
	t.Logf("%6s %12s %14s %14s %12s %12s", "teams", "text bytes", "delta bytes", "apply", "memory", "per team")
	for _, teams := range []int{10, 100, 1000, 2200} {
		first, _ := json.Marshal(config(1, teams))
		c := conf.New()
		c.Offer(0, first, conf.SourcePlatform)
		var texts [][]byte
		for revision := range uint64(repeats() + 1) {
			texts = append(texts, changed(revision+2, teams))
		}
		apply := timeOf(func() {
			assert.Equal(t, c.Offer(0, texts[0], conf.SourcePlatform), conf.Applied)
			texts = texts[1:]
		})
		base := c.History().Newest()
		c.Offer(0, texts[0], conf.SourcePlatform)
		deltas, ok := c.History().Since(base.Digest)
		assert.Assert(t, ok)
		wire, _ := json.Marshal(deltas)
		assert.Assert(t, len(wire) < 600, "%d bytes", len(wire))
		memory := heapOf(func() any {
			held := conf.New()
			held.Offer(0, first, conf.SourcePlatform)
			return held
		})
		t.Logf("%6d %12d %14d %14v %12d %12d", teams, len(first), len(wire), apply.Round(time.Microsecond), memory, memory/teams)
	}
}

func TestCapacityOfHostList(t *testing.T) {
	t.Logf("%8s %12s %14s %14s %14s %14s %14s %12s",
		"targets", "text bytes", "first read", "read again", "apply", "tick+snapshot", "pick of one", "memory")
	for _, targets := range []int{20, 200, 2000, 6800} {
		entries := max(4, targets*2000/6800)
		list := hostList(entries, targets)
		raw, _ := json.Marshal(list)
		whole := timeOf(func() { _, _ = hostlist.Parse(raw) })
		reader := hostlist.NewReader()
		parse := timeOf(func() { _, _ = reader.Read(raw) })
		f := newFleet(4, 0, 10)
		h := f.hosts[0]
		apply := timeOf(func() {
			list.Version++
			f.step(h, node.HostsReceived{List: list, Source: conf.SourcePlatform})
		})
		f.now = settle
		const ticks = 100
		begin := processorTime()
		for range ticks {
			f.now += node.TickInterval
			f.step(h, node.Tick{})
		}
		tick := (processorTime() - begin) / ticks
		table := target.NewTable()
		table.Apply(list)
		pick := timeOf(func() { countEligible(table) })
		memory := heapOf(func() any {
			held := target.NewTable()
			parsed, _ := hostlist.Parse(raw)
			held.Apply(parsed)
			return held
		})
		t.Logf("%8d %12d %14v %14v %14v %14v %14v %12d", targets, len(raw), whole.Round(time.Microsecond),
			parse.Round(time.Microsecond), apply.Round(time.Microsecond), tick.Round(time.Microsecond),
			pick.Round(100*time.Nanosecond), memory)
	}
}

// countEligible looks at every target once, as a pick does.
func countEligible(table *target.Table) int {
	n := 0
	for _, t := range table.All() {
		if t.Eligible(time.Second) {
			n++
		}
	}
	return n
}

func TestCapacityOfRecords(t *testing.T) {
	const records = 10_000
	memory := heapOf(func() any {
		l := ledger.NewLedger(records)
		for i := range records {
			req := core.Request{
				Key: core.Key{Team: "team-0001", ID: fmt.Sprintf("request-%012d", i)}, Model: "model-1", PromptTokens: 1000,
				Home: core.Home{Address: "10.1.0.1:7400", Incarnation: "0123456789abcdef"}, Deadline: time.Minute,
			}
			l.Admit(0, req, core.Work{Class: document.ClassShort}, 1)
		}
		return l
	})
	t.Logf("memory of one record: %d bytes", memory/records)
}

// The letter's size.
const (
	letterNodes   = 2000
	letterTargets = 6800
	letterTeams   = 2200
)

// TestCapacityOfNodeAtTheLettersSize runs one node that knows the whole fleet.
func TestCapacityOfNodeAtTheLettersSize(t *testing.T) {
	list := hostList(letterNodes, letterTargets)
	first, _ := json.Marshal(config(1, letterTeams))
	var n *node.Node
	build := func() any {
		n = node.New(node.Options{
			Self: core.Home{Address: list.Hosts[0].Address, Incarnation: "0123456789abcdef"},
			Peer: list.Hosts[0].Peer, Zone: list.Hosts[0].Zone, Records: 16384, BodyBytes: 1 << 28,
		})
		raw, _ := json.Marshal(list)
		own, _ := hostlist.Parse(raw)
		n.Step(0, node.HostsReceived{List: own, Source: conf.SourcePlatform})
		n.Step(0, node.DocumentReceived{Raw: first, Source: conf.SourcePlatform})
		return n
	}
	memory := heapOf(build)
	snap := n.Snapshot()
	now := settle
	tick := timeOf(func() {
		now += node.TickInterval
		n.Step(now, node.Tick{})
		n.Snapshot()
	})
	var texts [][]byte
	for revision := range uint64(repeats()) {
		texts = append(texts, changed(revision+2, letterTeams))
	}
	change := timeOf(func() {
		n.Step(now, node.DocumentReceived{Raw: texts[0], Source: conf.SourcePlatform})
		texts = texts[1:]
	})
	hosts := timeOf(func() {
		list.Version++
		n.Step(now, node.HostsReceived{List: list, Source: conf.SourcePlatform})
	})
	t.Logf("memory %d bytes, %d peers, %d engines whose load is read", memory, len(snap.Status.Peers), len(snap.TargetAddresses))
	status, _ := json.Marshal(snap.Status)
	t.Logf("status %d bytes", len(status))
	t.Logf("tick and snapshot %v, a changed document %v, a changed host list %v", tick, change, hosts)
	assert.Assert(t, memory <= budgetMemory, "%d bytes", memory)
}

// budgetMemory is what the control state of a node may take, in bytes.
const budgetMemory = 32 << 20

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func TestCapacityOfLoadReport(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(target.Report{QueuedTokens: 123_456, Streams: 120, UsedTokens: 345_678})
	}))
	defer server.Close()
	var bytes atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, &bytes}, err
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: dial}}
	const polls = 10
	for range polls {
		resp, err := client.Get(server.URL + "/v1/load")
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, resp.Body.Close())
	}
	t.Logf("one load report: %d bytes of HTTP", bytes.Load()/polls)
}

func TestCapacityOfHeartbeat(t *testing.T) {
	f := newFleet(4, 20, 10)
	f.run(settle)
	full := f.hosts[0].snapshot.Heartbeat
	lending := full
	for i := range 32 {
		lending.Demands = append(lending.Demands, limit.Demand{Team: fmt.Sprintf("team-%04d", i), Want: 12345.5})
	}
	t.Logf("heartbeat: brief %d bytes, full %d, with the demands of 32 teams %d",
		len(request("heartbeat", full.Brief())), len(request("heartbeat", full)), len(request("heartbeat", lending)))
}
