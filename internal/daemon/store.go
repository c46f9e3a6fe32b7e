package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"carobshunt/internal/core/group"
	"carobshunt/internal/core/node"
	"carobshunt/internal/document"
	"carobshunt/internal/netdial"
	"carobshunt/internal/peer"
	"carobshunt/internal/settings"
	"carobshunt/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// Timings for a platform with a store.
const (
	// lookupTTL is the longest time for which callers use a lookup answer: some use it for three times as long as it
	// states.
	lookupTTL = 3 * platform.LookupTTL
	// lookupReadTimeout bounds how long a look-up or a readiness check may take to arrive whole.
	lookupReadTimeout = 5 * time.Second
	// reservationExpiry is how long engines hold a reservation without renewal. It is more than twice
	// reservationRenewInterval, so that one renewal may be lost.
	reservationExpiry = 3800 * time.Millisecond
	// reservationRenewInterval is the time between two renewals.
	reservationRenewInterval = 1700 * time.Millisecond
	// reservationTimeout is how long a request waits for the memory of one engine.
	reservationTimeout = 4 * time.Second
)

// setStoreOptions sets the options that a platform with a store needs.
func setStoreOptions(o *node.Options, s *settings.Settings) {
	o.LookupsByCapacity = s.LookupsByCapacity
	o.ColdStarts = node.ColdStarts(s.ColdStarts)
	o.Policy = node.PolicyPacked
	o.LookupTTL = lookupTTL
	o.EnginesExpire = true
	o.PlatformCurrent = true
	o.ReservationTiming = group.Timing{
		Expiry: reservationExpiry, MaxWait: reservationTimeout, RenewInterval: reservationRenewInterval, RefuseWhenFull: true,
	}
}

// serveStore sets up the host for a platform with a store: it starts the store's readers, the lookup and readiness
// servers and, if configured, the exchange of loads by datagram, and returns the server of the callers' interface.
func (d *Daemon) serveStore(
	ctx context.Context, group *errgroup.Group, x *executor, dialer netdial.Dialer, open listeners,
) (*http.Server, error) {
	ingress := platform.NewIngress(d.loop, dialer, x.answers, d.log)
	x.requests = ingress
	x.engines = &storeEngines{orders: platform.NewOrders(d.loop, dialer), health: platform.NewHealth(d.loop, dialer), log: d.log}
	reader := platform.NewReader(d.settings.Platform.Address, d.loop, dialer, d.currentPreset, x.documents, d.log)
	lookup := platform.NewLookup(d.loop, d.log)
	for _, one := range []struct {
		listener net.Listener
		handler  http.Handler
	}{{open.lookup, lookup.Handler()}, {open.ready, lookup.ReadyHandler()}} {
		server := platform.NewServer(one.handler)
		server.ReadTimeout = lookupReadTimeout
		server.ErrorLog = d.connectionLogger()
		group.Go(func() error { return d.serveHTTP(ctx, server, one.listener) })
	}
	if d.settings.Listen.Loads != "" {
		loads, err := peer.ListenLoads(d.settings.Listen.Loads, d.settings.Advertise.Peers, d.loop, d.log)
		if err != nil {
			return nil, errors.Trace(err)
		}
		x.loads = loads
		group.Go(func() error { return loads.Receive(ctx) })
	}
	group.Go(func() error { reader.WatchConfig(ctx); return nil })
	group.Go(func() error { reader.WatchTargets(ctx); return nil })
	group.Go(func() error { ingress.CloseIdleConnections(ctx); return nil })
	return platform.NewServer(ingress), nil
}

// currentPreset returns the preset in the settings. Settings for a platform with a store always have one.
func (d *Daemon) currentPreset() document.Preset { return *d.preset.Load() }

// storeEngines reserves and releases engine memory, and checks the health of targets, by the platform's protocol.
type storeEngines struct {
	orders *platform.Orders
	health *platform.Health
	log    hclog.Logger
}

// Execute implements engineExecutor.
func (e *storeEngines) Execute(ctx context.Context, action node.Action) {
	switch a := action.(type) {
	case node.Reserve:
		go e.orders.Reserve(ctx, a)
	case node.CheckTarget:
		go e.health.Check(ctx, a)
	case node.Release:
		go func() {
			if err := e.orders.Release(ctx, a); err != nil {
				e.log.Warn("reservation not released", "id", a.Key.ID, "target", a.Target, "error", err.Error())
			}
		}()
	default:
		e.log.Error("engine action not supported on this platform", "action", action)
	}
}
