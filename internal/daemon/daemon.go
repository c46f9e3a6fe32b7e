// Package daemon assembles the process of an entry host: the control loop, the callers', operators' and peers'
// interfaces, and the readers of the platform.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"sync/atomic"

	"carobshunt/internal/bootclock"
	"carobshunt/internal/control"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/dispatch"
	"carobshunt/internal/doccheck"
	"carobshunt/internal/document"
	"carobshunt/internal/engines"
	"carobshunt/internal/headlimit"
	"carobshunt/internal/membudget"
	"carobshunt/internal/metrics"
	"carobshunt/internal/netdial"
	"carobshunt/internal/peer"
	"carobshunt/internal/published"
	"carobshunt/internal/settings"
	"carobshunt/internal/stream"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// Daemon is the process of an entry host.
type Daemon struct {
	settings *settings.Settings
	log      hclog.Logger
	loop     *control.Loop
	self     core.Home
	// peerTraffic counts the bytes exchanged on incoming and outgoing peer links, without forwarded requests and datagrams.
	peerTraffic netdial.Traffic
	// heads bounds the heads of requests on all interfaces of HTTP.
	heads *headlimit.Guard
	// preset is the preset in the settings, replaced by a reload; nil without one.
	preset atomic.Pointer[document.Preset]
	// stopGrace is the time from SIGTERM until the process is killed, replaced by a reload; 0 for no bound.
	stopGrace atomic.Int64
	// halted is done once Halt was called.
	halted context.Context
	halt   context.CancelFunc
}

// New returns a daemon with these settings. It does nothing until Run is called.
func New(s *settings.Settings, log hclog.Logger) *Daemon {
	clock := bootclock.Start()
	incarnation, seed := newIncarnation()
	self := core.Home{Address: s.Advertise.Callers, Incarnation: incarnation}
	options := node.Options{
		Self:         self,
		Peer:         s.Advertise.Peers,
		Zone:         s.Zone,
		Regions:      s.Regions(),
		Seeds:        s.Peers,
		Records:      s.Limits.Records,
		BodyBytes:    s.BodyMemory(),
		LoadsAddress: s.Listen.Loads,
		Capacity:     core.Capacity(s.Capacity),
		Seed:         seed,
		Spillover:    node.Spillover{Enabled: s.Spillover.Enabled, BytePrice: s.Spillover.BytePrice},
	}
	if s.Platform.Kind == settings.PlatformStore {
		setStoreOptions(&options, s)
	}
	d := &Daemon{
		settings: s, log: log, loop: control.NewLoop(node.New(options), clock), self: self, heads: headlimit.NewGuard(s.HeadMemory()),
	}
	d.preset.Store(s.Platform.Preset)
	d.stopGrace.Store(int64(s.StopGrace()))
	d.halted, d.halt = context.WithCancel(context.Background())
	return d
}

// Halt ends Run at once, without a planned stop: requests are cut.
func (d *Daemon) Halt() { d.halt() }

// newIncarnation returns a random name that distinguishes this process from all others, and a random seed.
func newIncarnation() (string, uint64) {
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails
	return hex.EncodeToString(raw[:8]), binary.BigEndian.Uint64(raw[8:])
}

// Run serves until a drain is complete; canceling ctx starts the drain.
func (d *Daemon) Run(ctx context.Context) error {
	creds, err := loadCredentials(d.settings.Security)
	if err != nil {
		return errors.Trace(err)
	}
	m := metrics.New(d.settings.Metrics, d.loop)
	m.WatchPeerTraffic(&d.peerTraffic)
	listeners, err := d.listen(creds, m)
	if err != nil {
		return errors.Trace(err)
	}
	runCtx, stop := context.WithCancel(d.halted)
	defer stop()
	dialer := netdial.From(d.settings.Listen.Peers)
	x := &executor{
		ctx:        runCtx,
		peers:      peer.NewPool(d.loop, withTLS(dialer.WithTraffic(&d.peerTraffic), creds.peers)),
		loop:       d.loop,
		documents:  doccheck.New(),
		log:        d.log,
		requestLog: &requestLog{log: d.log},
		metrics:    m,
		answers:    membudget.New(d.settings.AnswerMemory()),
		stop:       stop,
	}
	m.WatchAnswers(x.answers)
	m.WatchHeads(d.heads)
	group, groupCtx := errgroup.WithContext(runCtx)
	var callers *http.Server
	if d.settings.Platform.Kind == settings.PlatformStore {
		callers, err = d.serveStore(groupCtx, group, x, dialer, listeners)
	} else {
		callers = d.serveDocuments(runCtx, group, x, dialer, creds)
	}
	if err != nil {
		return errors.Trace(err)
	}
	operators := d.operatorsServer(creds, m)
	callers.ErrorLog, operators.ErrorLog = d.connectionLogger(), d.connectionLogger()
	group.Go(func() error { d.loop.Run(runCtx, x); return nil })
	group.Go(func() error { d.watchCredentials(runCtx, creds, m); return nil })
	group.Go(func() error {
		awaitReady(groupCtx, func() bool { return d.loop.Snapshot().Ready })
		return d.serveHTTP(groupCtx, callers, listeners.callers)
	})
	group.Go(func() error { return d.serveHTTP(groupCtx, operators, listeners.operators) })
	group.Go(func() error {
		return servePeers(groupCtx, peer.NewServer(d.loop, d.settings.PeerMemory()), listeners.peers)
	})
	context.AfterFunc(ctx, d.drain)
	d.log.Info("started", "host", d.self.String(), "zone", d.settings.Zone)
	return errors.Trace(group.Wait())
}

// serveDocuments sets up the host for a platform that publishes documents: it starts the platform's readers and returns
// the server of the native callers' interface.
func (d *Daemon) serveDocuments(
	ctx context.Context, group *errgroup.Group, x *executor, dialer netdial.Dialer, creds *credentials,
) *http.Server {
	exchanges := stream.NewStore()
	x.requests = &nativeRequests{loop: d.loop, exchanges: exchanges, dispatcher: dispatch.New(d.loop, dialer, x.metrics)}
	x.engines = &nativeEngines{client: engines.New(d.loop, dialer), log: d.log}
	d.startReaders(ctx, group, x, dialer)
	return d.callersServer(exchanges, withTLS(dialer, creds.forwarding), x.metrics)
}

// startReaders starts the readers of the configuration, the host list and the targets' load.
func (d *Daemon) startReaders(ctx context.Context, group *errgroup.Group, x *executor, dialer netdial.Dialer) {
	reader := published.NewReader(d.settings.Platform.Address, d.loop, x.documents, dialer)
	group.Go(func() error { reader.WatchConfig(ctx); return nil })
	group.Go(func() error { reader.WatchHosts(ctx); return nil })
	group.Go(func() error { published.WatchLoad(ctx, d.loop, dialer); return nil })
}
