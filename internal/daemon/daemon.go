// Package daemon assembles one entry host: the control loop, the callers', operators' and peers' interfaces, and
// the readers of the platform.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"carobshunt/internal/control"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/dispatch"
	"carobshunt/internal/engines"
	"carobshunt/internal/gateway"
	"carobshunt/internal/netdial"
	"carobshunt/internal/operator"
	"carobshunt/internal/peer"
	"carobshunt/internal/platform"
	"carobshunt/internal/settings"
	"carobshunt/internal/stream"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"
)

// Daemon is one entry host.
type Daemon struct {
	settings *settings.Settings
	log      hclog.Logger
	loop     *control.Loop
	self     core.Home
}

// New returns a daemon that has not started.
func New(s *settings.Settings, log hclog.Logger) *Daemon {
	start := time.Now()
	incarnation, seed := newIncarnation()
	self := core.Home{Address: s.Advertise.Callers, Incarnation: incarnation}
	n := node.New(node.Options{
		Self:      self,
		Peer:      s.Advertise.Peers,
		Zone:      s.Zone,
		Seeds:     s.Peers,
		Records:   s.Limits.Records,
		BodyBytes: s.Limits.BodyBytes,
		Seed:      seed,
	})
	return &Daemon{settings: s, log: log, loop: control.NewLoop(n, start), self: self}
}

// newIncarnation draws the name of this process, which no other process has, and a seed.
func newIncarnation() (string, uint64) {
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails
	return hex.EncodeToString(raw[:8]), binary.BigEndian.Uint64(raw[8:])
}

// shutdownTimeout bounds how long open connections may take to end after the last request has.
const shutdownTimeout = 5 * time.Second

// Run serves until a drain is complete; cancelling the context starts the drain.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return errors.Trace(err)
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	exchanges := stream.NewStore()
	dialer := netdial.From(d.settings.Listen.Peers)
	x := &executor{
		ctx:        running,
		loop:       d.loop,
		exchanges:  exchanges,
		dispatcher: dispatch.New(d.loop, dialer),
		peers:      peer.NewPool(d.loop, dialer),
		engines:    engines.New(d.loop, dialer),
		log:        d.log,
		stop:       stop,
	}
	callers := d.callersServer(exchanges, dialer)
	operators := operator.NewServer(d.loop)
	group, groupCtx := errgroup.WithContext(running)
	group.Go(func() error { d.loop.Run(running, x); return nil })
	d.startReaders(running, group, dialer)
	group.Go(func() error { return serveHTTP(groupCtx, callers, listeners.callers) })
	group.Go(func() error { return serveHTTP(groupCtx, operators, listeners.operators) })
	group.Go(func() error { return servePeers(groupCtx, peer.NewServer(d.loop), listeners.peers) })
	context.AfterFunc(ctx, func() { d.loop.Post(node.Drain{}) })
	d.log.Info("started", "host", d.self.String(), "zone", d.settings.Zone)
	return errors.Trace(group.Wait())
}

type listeners struct{ callers, operators, peers net.Listener }

func (d *Daemon) listen() (listeners, error) {
	var out listeners
	for _, one := range []struct {
		address  string
		listener *net.Listener
	}{
		{d.settings.Listen.Callers, &out.callers},
		{d.settings.Listen.Operators, &out.operators},
		{d.settings.Listen.Peers, &out.peers},
	} {
		l, err := net.Listen("tcp", one.address)
		if err != nil {
			return out, errors.Annotatef(err, "listen on %s", one.address)
		}
		*one.listener = l
	}
	return out, nil
}

func (d *Daemon) startReaders(ctx context.Context, group *errgroup.Group, dialer netdial.Dialer) {
	reader := platform.NewReader(d.settings.Platform.Address, d.loop, dialer)
	group.Go(func() error { reader.WatchConfig(ctx); return nil })
	group.Go(func() error { reader.WatchHosts(ctx); return nil })
	group.Go(func() error { platform.WatchLoad(ctx, d.loop, dialer); return nil })
}

// headerTimeout bounds how long a caller may take to send its headers.
const headerTimeout = 5 * time.Second

func (d *Daemon) callersServer(exchanges *stream.Store, dialer netdial.Dialer) *http.Server {
	e := echo.New()
	e.HideBanner = true
	gateway.New(d.loop, exchanges, d.self, d.settings.Limits.RequestBytes, dialer).Register(e)
	return &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
}

// serveHTTP serves until the context ends, and returns when the open answers have ended too.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	ended := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(ended)
		stopping, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(stopping)
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	<-ended
	return nil
}

func servePeers(ctx context.Context, server *peer.Server, listener net.Listener) error {
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	err := server.Serve(ctx, listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Trace(err)
}
