package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/client"
	"carobshunt/internal/daemon"
	"carobshunt/internal/document"
	"carobshunt/internal/fake"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/settings"
	"carobshunt/internal/testpipe"
	"carobshunt/internal/testproc"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// settingsVariable makes this test binary run as a daemon: the tests start entry hosts as processes of it.
const settingsVariable = "CAROBSHUNT_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsVariable); path != "" {
		os.Exit(runDaemon(path))
	}
	os.Exit(m.Run())
}

func runDaemon(path string) int {
	s, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := daemon.New(s, hclog.Default()).Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// clusters counts clusters, so that each has loopback addresses of its own.
var clusters atomic.Uint32

// cluster is a small deployment: entry hosts as processes, everything else in this process. Every target, the
// platform and every host's peer interface stands behind a pipe.
type cluster struct {
	t        *testing.T
	net      string
	dir      string
	hosts    []*host
	platform *fake.Platform
	list     hostlist.List
	doc      document.Document

	platformPipe *testpipe.Pipe
	engines      []*fake.Engine
	enginePipes  []*testpipe.Pipe
	service      *fake.Service
	servicePipe  *testpipe.Pipe

	// adjust changes the settings of a host before it starts; nil changes nothing.
	adjust func(*host, *settings.Settings)
}

// host is one entry host.
type host struct {
	c        *cluster
	ip       string
	callers  string
	operator string
	// peers is the address that other hosts use; it leads through peerPipe.
	peers    string
	peerPipe *testpipe.Pipe
	cmd      *exec.Cmd
	zone     string
}

// teamName is the team of the tests' callers; modelName and serviceName are what the targets serve.
const (
	teamName    = "desk"
	modelName   = "draft"
	serviceName = "orders"
	// engineSpeed makes engines fast enough for tests.
	engineSpeed = 20
	readyWithin = 10 * time.Second
)

// newCluster starts a platform, engines, one plain service and entry hosts, and waits until all are ready.
func newCluster(t *testing.T, hosts, engines int) *cluster {
	t.Helper()
	c := prepareCluster(t, hosts, engines)
	for _, h := range c.hosts {
		h.start()
	}
	c.waitReady()
	return c
}

// prepareCluster does all of newCluster but start the entry hosts.
func prepareCluster(t *testing.T, hosts, engines int) *cluster {
	t.Helper()
	number := clusters.Add(1)
	pid := os.Getpid()
	c := &cluster{
		t:        t,
		net:      fmt.Sprintf("127.%d.%d", 100+pid%100, (uint32(pid/100)+number)%250),
		dir:      t.TempDir(),
		platform: fake.NewPlatform(),
		service:  fake.NewService(),
		list:     hostlist.List{Version: 1},
		doc:      testDocument(),
	}
	e := echo.New()
	c.platform.Register(e)
	c.platformPipe = c.serve(c.ip(1), e)
	for i := range engines {
		c.addEngine(i)
	}
	e = echo.New()
	c.service.Register(e)
	c.servicePipe = c.serve(c.ip(90), e)
	c.list.Hosts = append(c.list.Hosts, hostlist.Host{
		Address: c.ip(90) + pipePort, Zone: "a", Role: hostlist.RoleService, State: hostlist.StateLive, Models: []string{serviceName},
	})
	for i := range hosts {
		c.addHost(i)
	}
	c.publishHosts()
	c.publishDocument()
	return c
}

// Ports below the range that the system hands out.
const (
	backendPort  = ":7600"
	pipePort     = ":7601"
	callersPort  = ":7400"
	operatorPort = ":7401"
	peersPort    = ":7402"
	peerPipePort = ":7403"
)

func (c *cluster) ip(n int) string { return fmt.Sprintf("%s.%d", c.net, n) }

// serve runs a stand-in behind a pipe on an IP address.
func (c *cluster) serve(ip string, handler http.Handler) *testpipe.Pipe {
	c.t.Helper()
	l, err := net.Listen("tcp", ip+backendPort)
	assert.NilError(c.t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	c.t.Cleanup(func() { _ = server.Close() })
	return testpipe.New(c.t, ip+pipePort, ip+backendPort)
}

func (c *cluster) addEngine(i int) {
	engine := fake.NewEngineWith(fake.EngineOptions{Speed: engineSpeed, ChecksFencing: i%2 == 0})
	e := echo.New()
	engine.Register(e)
	ip := c.ip(50 + i)
	c.engines = append(c.engines, engine)
	c.enginePipes = append(c.enginePipes, c.serve(ip, e))
	c.list.Hosts = append(c.list.Hosts, hostlist.Host{
		Address: ip + pipePort, Zone: zoneOf(i), Role: hostlist.RoleEngine, State: hostlist.StateLive,
		Models: []string{modelName}, MemoryTokens: 450_000, ChecksFencing: i%2 == 0,
	})
}

func zoneOf(i int) string { return string(rune('a' + i%3)) }

func (c *cluster) addHost(i int) {
	ip := c.ip(10 + i)
	h := &host{
		c: c, ip: ip, zone: zoneOf(i),
		callers: ip + callersPort, operator: ip + operatorPort, peers: ip + peerPipePort,
		peerPipe: testpipe.New(c.t, ip+peerPipePort, ip+peersPort),
	}
	c.hosts = append(c.hosts, h)
	c.list.Hosts = append(c.list.Hosts, hostlist.Host{
		Address: h.callers, Peer: h.peers, Zone: h.zone, Role: hostlist.RoleEntry, State: hostlist.StateLive,
	})
}

func testDocument() document.Document {
	preset := document.Preset{
		Budgets:              document.Budgets{ShortMs: 10_000, MiddleMs: 120_000, LongMs: 900_000},
		FirstTokenTargetMs:   750,
		ShortPromptTokens:    4_000,
		MiddlePromptTokens:   100_000,
		ProtectShortPercent:  25,
		RetryPercent:         10,
		WeightLoadsPerMinute: 6,
	}
	return document.Document{
		Revision: 1,
		Active:   "ordinary",
		Presets:  map[string]document.Preset{"ordinary": preset, "peak": preset, "maintenance": preset},
		Teams:    []document.Team{{Name: teamName, Weight: 1, TokensPerSecond: 10_000_000}},
	}
}

func (c *cluster) publishHosts() {
	raw, err := json.Marshal(c.list)
	assert.NilError(c.t, err)
	c.platform.PublishHosts(raw)
}

func (c *cluster) publishDocument() {
	raw, err := json.Marshal(c.doc)
	assert.NilError(c.t, err)
	c.platform.PublishConfig(raw)
}

func (c *cluster) waitReady() {
	c.t.Helper()
	want := len(c.hosts)
	for _, h := range c.hosts {
		h.waitFor(func(s api.Status) bool {
			alive := 1
			for _, p := range s.Peers {
				if p.Alive {
					alive++
				}
			}
			return s.Ready && alive == want
		})
	}
}

// client returns a caller that knows all hosts.
func (c *cluster) client() *client.Client {
	var entries []string
	for _, h := range c.hosts {
		entries = append(entries, h.callers)
	}
	return client.New(client.Options{Entries: entries, Team: teamName})
}

// start starts the host's process, for the first time or again.
func (h *host) start() {
	h.c.t.Helper()
	path := filepath.Join(h.c.dir, h.ip+".json")
	raw, err := json.Marshal(h.settings())
	assert.NilError(h.c.t, err)
	assert.NilError(h.c.t, os.WriteFile(path, raw, 0o600))
	h.cmd = exec.Command(os.Args[0])
	h.cmd.SysProcAttr = testproc.OwnGroup()
	h.cmd.Env = append(os.Environ(), settingsVariable+"="+path)
	log, err := os.OpenFile(filepath.Join(h.c.dir, h.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(h.c.t, err)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	assert.NilError(h.c.t, h.cmd.Start())
	cmd := h.cmd
	h.c.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
		h.printLog()
	})
}

// printLog shows the host's log when its test has failed.
func (h *host) printLog() {
	if !h.c.t.Failed() {
		return
	}
	if raw, err := os.ReadFile(filepath.Join(h.c.dir, h.ip+".log")); err == nil {
		h.c.t.Logf("log of %s:\n%s", h.ip, raw)
	}
}

func (h *host) settings() settings.Settings {
	s := settings.Settings{
		Zone:      h.zone,
		Listen:    settings.Listen{Callers: h.callers, Operators: h.operator, Peers: h.ip + peersPort},
		Advertise: settings.Advertise{Peers: h.peers},
		Platform:  settings.Platform{Address: h.c.ip(1) + pipePort},
		LogLevel:  "debug",
	}
	for _, other := range h.c.hosts {
		if other != h {
			s.Peers = append(s.Peers, other.peers)
		}
	}
	if h.c.adjust != nil {
		h.c.adjust(h, &s)
	}
	return s
}

// kill ends the process at once.
func (h *host) kill() {
	h.c.t.Helper()
	assert.NilError(h.c.t, h.cmd.Process.Kill())
	_ = h.cmd.Wait()
}

// pause stops the process and returns when all of it stands still; resume lets it go on.
func (h *host) pause() {
	h.c.t.Helper()
	assert.NilError(h.c.t, h.cmd.Process.Signal(syscall.SIGSTOP))
	var status syscall.WaitStatus
	_, err := syscall.Wait4(h.cmd.Process.Pid, &status, syscall.WUNTRACED, nil)
	assert.NilError(h.c.t, err)
	assert.Assert(h.c.t, status.Stopped())
}

func (h *host) resume() { assert.NilError(h.c.t, h.cmd.Process.Signal(syscall.SIGCONT)) }

// terminate asks the process for a planned stop.
func (h *host) terminate() { assert.NilError(h.c.t, h.cmd.Process.Signal(syscall.SIGTERM)) }

// cutFrom cuts what another host sends to this one.
func (h *host) cutFrom(other *host) { h.peerPipe.Cut(other.ip) }

// status asks the host for its state.
func (h *host) status() (api.Status, error) {
	var s api.Status
	httpClient := &http.Client{Timeout: time.Second}
	resp, err := httpClient.Get("http://" + h.operator + api.PathStatus)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// waitFor waits until the host's state is as wanted.
func (h *host) waitFor(want func(api.Status) bool) {
	h.c.t.Helper()
	poll.WaitOn(h.c.t, func(poll.LogT) poll.Result {
		s, err := h.status()
		if err == nil && want(s) {
			return poll.Success()
		}
		return poll.Continue("host %s: %v %+v", h.ip, err, s)
	}, poll.WithTimeout(readyWithin), poll.WithDelay(20*time.Millisecond))
}
