package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"carobshunt/internal/core/group"
	"carobshunt/internal/core/node"
	"carobshunt/internal/document"
	"carobshunt/internal/httplog"
	"carobshunt/internal/netdial"
	"carobshunt/internal/peer"
	"carobshunt/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// Timings on a platform with a store.
const (
	// lookupKeep is the longest time for which callers keep a look-up answer: some take it for three times as long.
	lookupKeep = 3 * platform.LookupKeep
	// reservationExpiry is how long engines hold memory that nobody renews, reservationRenew the time between two
	// renewals, so that one may be lost; reservationPatience is how long a request
	// waits for the memory of one engine.
	reservationExpiry   = 3800 * time.Millisecond
	reservationRenew    = 1700 * time.Millisecond
	reservationPatience = 4 * time.Second
)

// setStoreOptions fits the control state to a platform with a store.
func setStoreOptions(o *node.Options) {
	o.Policy = node.PolicyPacked
	o.LookupKeep = lookupKeep
	o.EnginesExpire = true
	o.PlatformCurrent = true
	o.Reservations = group.Timing{Expiry: reservationExpiry, Patience: reservationPatience, Renew: reservationRenew, AtOnce: true}
}

// serveStore sets up the callers' interface of a platform with a store, and what reads the store.
func (d *Daemon) serveStore(ctx context.Context, group *errgroup.Group, x *executor, dialer netdial.Dialer) (*http.Server, error) {
	ingress := platform.NewIngress(d.loop, dialer, d.log)
	x.traffic = ingress
	x.engines = &storeEngines{orders: platform.NewOrders(d.loop, dialer), log: d.log}
	reader := platform.NewReader(d.settings.Platform.Address, d.loop, dialer, d.preset, d.log)
	lookup := platform.NewLookup(d.loop, d.log)
	for _, one := range []struct {
		address string
		handler http.Handler
	}{{d.settings.Listen.Lookup, lookup.Handler()}, {d.settings.Listen.Ready, lookup.ReadyHandler()}} {
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			return nil, errors.Annotatef(err, "listen on %s", one.address)
		}
		server := platform.NewServer(one.handler)
		server.ErrorLog = d.connectionLog()
		group.Go(func() error { return serveHTTP(ctx, server, httplog.Listener(listener, d.log)) })
	}
	if d.settings.Listen.Loads != "" {
		loads, err := peer.ListenLoads(d.settings.Listen.Loads, d.settings.Advertise.Peers, d.self.Incarnation, d.loop, d.log)
		if err != nil {
			return nil, errors.Trace(err)
		}
		x.loads = loads
		group.Go(func() error { return loads.Receive(ctx) })
	}
	group.Go(func() error { reader.WatchConfig(ctx); return nil })
	group.Go(func() error { reader.WatchTargets(ctx); return nil })
	group.Go(func() error { ingress.Sweep(ctx); return nil })
	return platform.NewServer(ingress), nil
}

// preset is the one of the settings.
func (d *Daemon) preset() document.Preset { return *d.storePreset.Load() }

// storeEngines speaks the platform's protocol of engines.
type storeEngines struct {
	orders *platform.Orders
	log    hclog.Logger
}

// Execute implements engineOrders.
func (e *storeEngines) Execute(ctx context.Context, action node.Action) {
	switch a := action.(type) {
	case node.Reserve:
		go e.orders.Reserve(ctx, a)
	case node.Release:
		go func() {
			if err := e.orders.Release(ctx, a); err != nil {
				e.log.Warn("reservation not released", "id", a.Key.ID, "target", a.Target, "error", err.Error())
			}
		}()
	default:
		e.log.Error("no such order on this platform", "action", action)
	}
}
