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

// settingsVariable is the environment variable that makes this test binary run as a daemon with the settings file that it
// names. The tests start their entry hosts this way.
const settingsVariable = "CAROBSHUNT_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsVariable); path != "" {
		os.Exit(runDaemon(path))
	}
	os.Exit(m.Run())
}

// runDaemon runs an entry host with a settings file until SIGTERM and returns the exit status.
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

// cluster is a small deployment: the entry hosts are child processes, everything else runs in the test process. The
// platform, every target and every host's peer interface is reached through a proxy.
type cluster struct {
	t *testing.T
	// subnet is the first three octets of the cluster's addresses.
	subnet   string
	dir      string
	hosts    []*host
	platform *fake.Platform
	list     hostlist.List
	doc      document.Document

	platformProxy *testpipe.Proxy
	engines       []*fake.Engine
	engineProxies []*testpipe.Proxy
	service       *fake.Service
	serviceProxy  *testpipe.Proxy

	// adjustSettings, if not nil, changes the settings of a host each time before it starts.
	adjustSettings func(*host, *settings.Settings)
}

// host is an entry host of a cluster. Its addresses are IP address and port of its interfaces.
type host struct {
	c             *cluster
	ip            string
	callersAddr   string
	operatorsAddr string
	// peersAddr is the address that other hosts use, that of peerProxy.
	peersAddr string
	peerProxy *testpipe.Proxy
	zone      string
	// cmd is the latest process. Its end is in ended, and stopping is set once the test has asked for it.
	cmd      *exec.Cmd
	ended    chan error
	stopping *atomic.Bool
}

const (
	// teamName is the team of the tests' callers.
	teamName = "desk"
	// modelName is the model that all engines serve.
	modelName = "draft"
	// serviceName is the plain service.
	serviceName = "orders"
	// engineSpeed is the speed of the engines as a multiple of the reference engine's, to keep the tests short.
	engineSpeed = 20
	// waitTimeout is the usual timeout for a state that a test waits for.
	waitTimeout = 10 * time.Second
)

// newCluster starts a platform, engines, one plain service and entry hosts, and waits until all hosts are ready.
func newCluster(t *testing.T, hosts, engines int) *cluster {
	t.Helper()
	c := prepareCluster(t, hosts, engines)
	for _, h := range c.hosts {
		h.start()
	}
	c.waitReady()
	return c
}

// prepareCluster is newCluster without starting the entry hosts.
func prepareCluster(t *testing.T, hosts, engines int) *cluster {
	t.Helper()
	testproc.ForgetEnds(t)
	c := &cluster{
		t:        t,
		subnet:   testproc.ReserveNetwork(t),
		dir:      t.TempDir(),
		platform: fake.NewPlatform(),
		service:  fake.NewService(),
		list:     hostlist.List{Version: 1},
		doc:      testDocument(),
	}
	e := echo.New()
	c.platform.Register(e)
	c.platformProxy = c.serveBehindProxy(c.ip(1), e)
	for i := range engines {
		c.addEngine(i)
	}
	e = echo.New()
	c.service.Register(e)
	c.serviceProxy = c.serveBehindProxy(c.ip(90), e)
	c.list.Hosts = append(c.list.Hosts, hostlist.Host{
		Address: c.ip(90) + proxyPort, Zone: "a", Role: hostlist.RoleService, State: hostlist.StateLive, Models: []string{serviceName},
	})
	for i := range hosts {
		c.addHost(i)
	}
	c.publishHosts()
	c.publishDocument()
	return c
}

// Ports of the cluster, below the range of ephemeral ports, so that no outgoing connection can occupy one.
const (
	backendPort   = ":7600"
	proxyPort     = ":7601"
	callersPort   = ":7400"
	operatorPort  = ":7401"
	peersPort     = ":7402"
	peerProxyPort = ":7403"
)

// ip returns an IP address of the cluster: 1 is the platform, 10 and up are the entry hosts, 50 and up the engines, 90 and
// 91 plain services, 200 a proxy between callers and a host.
func (c *cluster) ip(n int) string { return fmt.Sprintf("%s.%d", c.subnet, n) }

// serveBehindProxy runs a handler at an IP address and returns the proxy that leads to it.
func (c *cluster) serveBehindProxy(ip string, handler http.Handler) *testpipe.Proxy {
	c.t.Helper()
	l, err := net.Listen("tcp", ip+backendPort)
	assert.NilError(c.t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	c.t.Cleanup(func() { _ = server.Close() })
	return testpipe.New(c.t, ip+proxyPort, ip+backendPort)
}

// addEngine starts engine i and adds it to the host list. Engines with an even number check fencing numbers.
func (c *cluster) addEngine(i int) {
	engine := fake.NewEngineWith(fake.EngineOptions{Speed: engineSpeed, ChecksFencing: i%2 == 0})
	e := echo.New()
	engine.Register(e)
	ip := c.ip(50 + i)
	c.engines = append(c.engines, engine)
	c.engineProxies = append(c.engineProxies, c.serveBehindProxy(ip, e))
	c.list.Hosts = append(c.list.Hosts, hostlist.Host{
		Address: ip + proxyPort, Zone: zoneOf(i), Role: hostlist.RoleEngine, State: hostlist.StateLive,
		Models: []string{modelName}, MemoryTokens: 450_000, ChecksFencing: i%2 == 0,
	})
}

// zoneOf spreads hosts and engines over the availability zones a, b and c.
func zoneOf(i int) string { return string(rune('a' + i%3)) }

// addHost adds entry host i to the cluster and the host list.
func (c *cluster) addHost(i int) {
	ip := c.ip(10 + i)
	h := &host{
		c: c, ip: ip, zone: zoneOf(i),
		callersAddr: ip + callersPort, operatorsAddr: ip + operatorPort, peersAddr: ip + peerProxyPort,
		peerProxy: testpipe.New(c.t, ip+peerProxyPort, ip+peersPort),
	}
	c.hosts = append(c.hosts, h)
	c.list.Hosts = append(c.list.Hosts, hostlist.Host{
		Address: h.callersAddr, Peer: h.peersAddr, Zone: h.zone, Role: hostlist.RoleEntry, State: hostlist.StateLive,
	})
}

// testDocument returns the document of a new cluster: one team, and three presets with the same values.
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

// waitReady waits until every host is ready and sees all others alive.
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

// client returns a new client that knows the addresses of all hosts.
func (c *cluster) client() *client.Client {
	var entries []string
	for _, h := range c.hosts {
		entries = append(entries, h.callersAddr)
	}
	return client.New(client.Options{Entries: entries, Team: teamName})
}

// start starts the host's process, for the first time or after an earlier one has ended. The cleanup kills it, paused or
// not.
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
	cmd, ended, stopping := h.cmd, make(chan error, 1), &atomic.Bool{}
	h.ended, h.stopping = ended, stopping
	gone := make(chan struct{})
	go func() {
		err := cmd.Wait()
		if !stopping.Load() {
			testproc.ReportEnd(h.c.t, &testproc.EndedEarlyError{Name: "the host at " + h.ip, Cause: err, Log: h.readLog()})
		}
		ended <- err
		close(gone)
	}()
	h.c.t.Cleanup(func() {
		stopping.Store(true)
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-gone
		_ = log.Close()
		h.printLog()
	})
}

// readLog returns the log of the host's processes so far, or why it can't be read.
func (h *host) readLog() string {
	raw, err := os.ReadFile(filepath.Join(h.c.dir, h.ip+".log"))
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// printLog prints the host's log if the test has failed.
func (h *host) printLog() {
	if !h.c.t.Failed() {
		return
	}
	h.c.t.Logf("log of %s:\n%s", h.ip, h.readLog())
}

// settings returns the host's settings, with the cluster's adjustments.
func (h *host) settings() settings.Settings {
	s := settings.Settings{
		Zone:      h.zone,
		Listen:    settings.Listen{Callers: h.callersAddr, Operators: h.operatorsAddr, Peers: h.ip + peersPort},
		Advertise: settings.Advertise{Peers: h.peersAddr},
		Platform:  settings.Platform{Address: h.c.ip(1) + proxyPort},
		LogLevel:  "debug",
	}
	for _, other := range h.c.hosts {
		if other != h {
			s.Peers = append(s.Peers, other.peersAddr)
		}
	}
	if h.c.adjustSettings != nil {
		h.c.adjustSettings(h, &s)
	}
	return s
}

// kill ends the process with SIGKILL and waits for its end.
func (h *host) kill() {
	h.c.t.Helper()
	h.stopping.Store(true)
	assert.NilError(h.c.t, h.cmd.Process.Kill())
	_ = h.awaitEnd() // it was killed
}

// pause suspends the process with SIGSTOP and returns when it has stopped.
func (h *host) pause() {
	h.c.t.Helper()
	assert.NilError(h.c.t, h.cmd.Process.Signal(syscall.SIGSTOP))
	var status syscall.WaitStatus
	_, err := syscall.Wait4(h.cmd.Process.Pid, &status, syscall.WUNTRACED, nil)
	assert.NilError(h.c.t, err)
	assert.Assert(h.c.t, status.Stopped())
}

// resume continues a paused process.
func (h *host) resume() { assert.NilError(h.c.t, h.cmd.Process.Signal(syscall.SIGCONT)) }

// terminate sends SIGTERM, which starts a planned stop.
func (h *host) terminate() {
	h.stopping.Store(true)
	assert.NilError(h.c.t, h.cmd.Process.Signal(syscall.SIGTERM))
}

// awaitEnd waits until the process has ended, and returns how.
func (h *host) awaitEnd() error { return <-h.ended }

// cutFrom cuts the connections from another host to this host's peer interface.
func (h *host) cutFrom(other *host) { h.peerProxy.Cut(other.ip) }

// status fetches the host's status from its operators' interface.
func (h *host) status() (api.Status, error) {
	var s api.Status
	httpClient := &http.Client{Timeout: time.Second}
	resp, err := httpClient.Get("http://" + h.operatorsAddr + api.PathStatus)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// waitFor waits until the host's status meets a condition, for up to waitTimeout.
func (h *host) waitFor(want func(api.Status) bool) {
	h.c.t.Helper()
	poll.WaitOn(h.c.t, testproc.WhileRunning(h.c.t, func(poll.LogT) poll.Result {
		s, err := h.status()
		if err == nil && want(s) {
			return poll.Success()
		}
		return poll.Continue("host %s: %v %+v", h.ip, err, s)
	}), poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
}
