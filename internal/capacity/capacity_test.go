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
	"carobshunt/internal/testdoc"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// Requirements on the peer protocol, and constants of the simulation.
const (
	// changesPerDay is the number of documents published per day.
	changesPerDay = 31_000
	secondsPerDay = 24 * 60 * 60
	zones         = 8
	// maxBytesPerSecond is the most that a node may send and receive, in bytes per second.
	maxBytesPerSecond = 7_000
	// maxSpread is the time in which a document must be in force on all nodes.
	maxSpread = 8 * time.Second
	// messageDelay is the latency of a message in one direction.
	messageDelay = time.Millisecond
	// settleTime is the time before the measurement, in which the nodes find each other.
	settleTime = 5 * time.Second
	// measureTime is the duration of the measurement.
	measureTime    = 15 * time.Second
	changeInterval = time.Second * secondsPerDay / changesPerDay
)

// peerHost is a node with its traffic.
type peerHost struct {
	node     *node.Node
	address  string
	snapshot *node.Snapshot
	traffic  traffic
	// documents checks the documents of peers.
	documents *document.Reader
}

// traffic counts a node's messages and their bytes.
type traffic struct {
	sent, received int
	bytesSent      int
	bytesReceived  int
}

// fleet simulates nodes in virtual time. A message takes messageDelay; processing takes no time.
type fleet struct {
	hosts  []*peerHost
	byPeer map[string]*peerHost
	now    core.Time
	// inTransit holds the messages in transit, in order of arrival.
	inTransit []message
	// reads is the number of reads from the platform.
	reads int
}

// message is a message in transit.
type message struct {
	at core.Time
	to *peerHost
	// raw is the message on the wire; input handles its arrival and returns the receiver's input, or nil.
	raw   []byte
	input func() node.Input
}

// newFleet returns n nodes that have received their host list and document from the platform.
func newFleet(n, targets, teams int) *fleet {
	f := &fleet{byPeer: make(map[string]*peerHost)}
	list := hostList(n, targets)
	for i := range n {
		host := list.Hosts[i]
		h := &peerHost{
			address: host.Peer, documents: document.NewReader(),
			node: node.New(node.Options{
				Self: core.Home{Address: host.Address, Incarnation: "0123456789abcdef"}, Peer: host.Peer, Zone: host.Zone,
				Records: 16384, BodyBytes: 1 << 28, Seed: uint64(i),
			}),
		}
		h.snapshot = h.node.Snapshot()
		f.hosts = append(f.hosts, h)
		f.byPeer[host.Peer] = h
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

// config returns a document with the given number of teams; some limits and one weight depend on the revision.
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

// changedDocument returns a document in which one team's weight differs from that of another revision.
func changedDocument(revision uint64, teams int) []byte {
	doc := config(1, teams)
	doc.Revision = revision
	doc.Teams[int(revision)%teams].Weight = 3
	raw, _ := json.Marshal(doc)
	return raw
}

// step passes an input to the node, executes the actions and publishes a snapshot, as the control loop does.
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
	case node.CheckDocument:
		checked := conf.Check(h.documents, a.Raw)
		f.step(h, node.DocumentChecked{Checked: checked, Source: a.Source})
	}
}

// request encodes a JSON-RPC notification.
func request(method string, params any) []byte {
	req := &jsonrpc2.Request{Method: method, Notif: true}
	_ = req.SetParams(params)
	raw, _ := json.Marshal(req)
	return raw
}

// post sends a message to a node; a nil node is unknown, and the message is dropped.
func (f *fleet) post(from, to *peerHost, raw []byte, input func() node.Input) {
	if to == nil {
		return
	}
	from.traffic.sent++
	from.traffic.bytesSent += len(raw)
	f.inTransit = append(f.inTransit, message{at: f.now + messageDelay, to: to, raw: raw, input: input})
}

// fetch fetches the deltas from the node's document to the peer's and applies them, as the peer package does.
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
			version := conf.Version{Revision: document.RevisionOf(text.Raw), Digest: text.Digest}
			return node.DocumentFetched{Version: version, Raw: text.Raw, Source: from.address}
		})
		return nil
	})
}

// deliver delivers the messages that arrive up to and including an instant.
func (f *fleet) deliver(until core.Time) {
	for len(f.inTransit) > 0 && f.inTransit[0].at <= until {
		m := f.inTransit[0]
		f.inTransit = f.inTransit[1:]
		f.now = max(f.now, m.at)
		m.to.traffic.received++
		m.to.traffic.bytesReceived += len(m.raw)
		if in := m.input(); in != nil {
			f.step(m.to, in)
		}
	}
}

// run advances the virtual time. The platform answers its readers once per second.
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

// publish publishes a document to the nodes that read the platform. It returns the time until the document is in force
// on all nodes, or maxSpread or more if it is not by then.
func (f *fleet) publish(raw []byte, revision uint64) time.Duration {
	begin := f.now
	for _, h := range f.hosts {
		if h.snapshot.ReadsPlatform {
			f.reads++
			f.step(h, node.DocumentReceived{Raw: raw, Source: conf.SourcePlatform})
		}
	}
	for f.now < begin+maxSpread {
		f.run(f.now + node.TickInterval)
		if f.inForce(revision) {
			break
		}
	}
	return f.now - begin
}

// inForce reports whether a revision, or a later one, is in force on all nodes.
func (f *fleet) inForce(revision uint64) bool {
	for _, h := range f.hosts {
		if h.snapshot.Heartbeat.Revision < revision {
			return false
		}
	}
	return true
}

// costs holds the cost of one fleet size.
type costs struct {
	// messages and bytes are means per node and second, sent and received; mostBytes is the bytes of the busiest node.
	messages, bytes, mostBytes float64
	// cpuTime is the CPU time per node and second.
	cpuTime time.Duration
	// reads is the number of reads from the platform per second, of all nodes together.
	reads   float64
	readers int
	// spread is the longest time until a document was in force on all nodes.
	spread time.Duration
}

// measureFleet measures a fleet of n nodes in which a document is published at every changeInterval.
func measureFleet(n int) costs {
	const teams = 10
	f := newFleet(n, 20, teams)
	f.run(settleTime)
	for _, h := range f.hosts {
		h.traffic = traffic{}
	}
	f.reads = 0
	begin, beginCPU := f.now, cpuTime()
	var out costs
	for revision := uint64(2); f.now < begin+measureTime; revision++ {
		next := f.now + changeInterval
		out.spread = max(out.spread, f.publish(changedDocument(revision, teams), revision))
		f.run(next)
	}
	out.cpuTime = (cpuTime() - beginCPU) / time.Duration(float64(n)*(f.now-begin).Seconds())
	return f.summary(out, f.now-begin)
}

func (f *fleet) summary(out costs, elapsed time.Duration) costs {
	n, seconds := float64(len(f.hosts)), elapsed.Seconds()
	for _, h := range f.hosts {
		bytes := float64(h.traffic.bytesSent+h.traffic.bytesReceived) / seconds
		out.bytes += bytes / n
		out.mostBytes = max(out.mostBytes, bytes)
		out.messages += float64(h.traffic.sent+h.traffic.received) / seconds / n
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
			n, r.messages, r.bytes, r.mostBytes, r.cpuTime.Round(time.Microsecond), r.readers, r.reads, r.spread)
		assert.Assert(t, r.spread <= maxSpread, "%d nodes", n)
		assert.Assert(t, r.mostBytes <= maxBytesPerSecond, "%d nodes: %.0f bytes a second", n, r.mostBytes)
		assert.Assert(t, r.readers <= 2*zones, "%d nodes", n)
	}
}

// heapOf returns the heap memory of the value that build returns, in bytes, averaged over several values.
func heapOf(build func() any) int {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var kept []any
	for range repetitions() {
		kept = append(kept, build())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return (int(after.HeapAlloc) - int(before.HeapAlloc)) / repetitions()
}

// cpuTime returns the CPU time of this process in user and system mode, including garbage collection.
func cpuTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// cpuTimeOf returns the CPU time of one call of f, averaged over several calls.
func cpuTimeOf(f func()) time.Duration {
	begin := cpuTime()
	for range repetitions() {
		f()
	}
	return (cpuTime() - begin) / time.Duration(repetitions())
}

// repetitions returns the number of calls or values that a figure is averaged over.
func repetitions() int {
	if *full {
		return 20
	}
	return 3
}

// full is set to measure the largest fleet too and to average over more calls.
var full = flag.Bool("full", false, "measure 256 nodes too, and average over more calls")

func TestCapacityOfDocument(t *testing.T) {
	t.Logf("%6s %12s %14s %14s %12s %12s", "teams", "text bytes", "delta bytes", "apply", "memory", "per team")
	for _, teams := range []int{10, 100, 1000, 2200} {
		first, _ := json.Marshal(config(1, teams))
		c := conf.New()
		c.Offer(0, first, conf.SourcePlatform)
		var texts [][]byte
		for revision := range uint64(repetitions() + 1) {
			texts = append(texts, changedDocument(revision+2, teams))
		}
		apply := cpuTimeOf(func() {
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

// TestCapacityOfChangedRoute measures what a change of one route costs: the check outside of the control goroutine, and what the control
// goroutine does to put the document in force, for a node that also has the teams of the whole fleet.
func TestCapacityOfChangedRoute(t *testing.T) {
	t.Logf("%6s %12s %14s %14s %14s %14s", "routes", "text bytes", "parse", "check", "delta bytes", "put in force")
	for _, routes := range []int{5, 1000, 2900} {
		text := func(revision uint64) []byte {
			doc := testdoc.WithRoutes(revision, routes)
			doc.Teams = config(1, requiredTeams).Teams
			doc.Routes[int(revision)%routes].TimeoutMs += int64(revision)
			raw, err := json.Marshal(doc)
			assert.NilError(t, err)
			return raw
		}
		first := text(1)
		n := node.New(node.Options{Self: core.Home{Address: "10.0.0.1:1"}, Peer: "10.0.0.1:2", Records: 16384, BodyBytes: 1 << 28})
		documents := document.NewReader()
		n.Step(0, node.DocumentReceived{Checked: conf.Check(documents, first), Source: conf.SourcePlatform})
		parse := cpuTimeOf(func() { _, _ = document.Parse(first) })
		var texts [][]byte
		for revision := range uint64(repetitions()) {
			texts = append(texts, text(revision+2))
		}
		var checked []*conf.Checked
		check := cpuTimeOf(func() { checked = append(checked, conf.Check(documents, texts[len(checked)])) })
		revision := uint64(1)
		apply := cpuTimeOf(func() {
			n.Step(0, node.DocumentReceived{Checked: checked[revision-1], Source: conf.SourcePlatform})
			revision++
		})
		assert.Equal(t, n.Snapshot().Document.Revision, revision)
		base := delta.NewText(texts[0])
		wire, err := json.Marshal(delta.Make(delta.NewText(first), base))
		assert.NilError(t, err)
		t.Logf("%6d %12d %14v %14v %14d %14v", routes, len(first), parse, check, len(wire), apply)
	}
}

func TestCapacityOfHostList(t *testing.T) {
	t.Logf("%8s %12s %14s %14s %14s %14s %14s %12s",
		"targets", "text bytes", "first read", "read again", "apply", "tick+snapshot", "pick of one", "memory")
	for _, targets := range []int{20, 200, 2000, 6800} {
		entries := max(4, targets*2000/6800)
		list := hostList(entries, targets)
		raw, _ := json.Marshal(list)
		firstParse := cpuTimeOf(func() { _, _ = hostlist.Parse(raw) })
		reader := hostlist.NewReader()
		reparse := cpuTimeOf(func() { _, _, _ = reader.Read(raw) })
		f := newFleet(4, 0, 10)
		h := f.hosts[0]
		apply := cpuTimeOf(func() {
			list.Version++
			f.step(h, node.HostsReceived{List: list, Source: conf.SourcePlatform})
		})
		f.now = settleTime
		const ticks = 100
		begin := cpuTime()
		for range ticks {
			f.now += node.TickInterval
			f.step(h, node.Tick{})
		}
		tick := (cpuTime() - begin) / ticks
		table := target.NewTable()
		table.Apply(list)
		pick := cpuTimeOf(func() { countEligible(table) })
		memory := heapOf(func() any {
			held := target.NewTable()
			parsed, _ := hostlist.Parse(raw)
			held.Apply(parsed)
			return held
		})
		t.Logf("%8d %12d %14v %14v %14v %14v %14v %12d", targets, len(raw), firstParse.Round(time.Microsecond),
			reparse.Round(time.Microsecond), apply.Round(time.Microsecond), tick.Round(time.Microsecond),
			pick.Round(100*time.Nanosecond), memory)
	}
}

// countEligible checks every target once, as the choice of a target does.
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

// The fleet size that the product must support.
const (
	requiredNodes   = 2000
	requiredTargets = 6800
	requiredTeams   = 2200
)

// TestCapacityOfNodeAtRequiredFleetSize measures one node that has the host list and the document of the whole fleet.
func TestCapacityOfNodeAtRequiredFleetSize(t *testing.T) {
	list := hostList(requiredNodes, requiredTargets)
	first, _ := json.Marshal(config(1, requiredTeams))
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
	now := settleTime
	tick := cpuTimeOf(func() {
		now += node.TickInterval
		n.Step(now, node.Tick{})
		n.Snapshot()
	})
	var texts [][]byte
	for revision := range uint64(repetitions()) {
		texts = append(texts, changedDocument(revision+2, requiredTeams))
	}
	change := cpuTimeOf(func() {
		n.Step(now, node.DocumentReceived{Raw: texts[0], Source: conf.SourcePlatform})
		texts = texts[1:]
	})
	hosts := cpuTimeOf(func() {
		list.Version++
		n.Step(now, node.HostsReceived{List: list, Source: conf.SourcePlatform})
	})
	t.Logf("memory %d bytes, %d peers, %d engines whose load is read", memory, len(snap.Status.Peers), len(snap.TargetAddresses))
	status, _ := json.Marshal(snap.Status)
	t.Logf("status %d bytes", len(status))
	t.Logf("tick and snapshot %v, a changed document %v, a changed host list %v", tick, change, hosts)
	assert.Assert(t, memory <= maxStateBytes, "%d bytes", memory)
}

// maxStateBytes is the maximum heap memory of a node's control state, in bytes.
const maxStateBytes = 32 << 20

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
	f.run(settleTime)
	full := f.hosts[0].snapshot.Heartbeat
	withDemands := full
	for i := range 32 {
		withDemands.Demands = append(withDemands.Demands, limit.Demand{Team: fmt.Sprintf("team-%04d", i), Want: 12345.5})
	}
	t.Logf("heartbeat: brief %d bytes, full %d, with the demands of 32 teams %d",
		len(request("heartbeat", full.Brief())), len(request("heartbeat", full)), len(request("heartbeat", withDemands)))
}
