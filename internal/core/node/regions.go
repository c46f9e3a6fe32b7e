package node

import (
	"slices"
	"strings"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/routes"
	"carobshunt/internal/document"
)

// setZones sets the zones in which a request may run, by the regions of its team and of its route; the route is nil for a
// request that is not routed.
func (n *Node) setZones(req *core.Request, route *document.Route) {
	if n.table != nil {
		req.Zones = n.table.Zones(req.Team, route)
	}
}

// servedInZones reports whether any target serves a request's model in the zones in which the request may run, whether it
// takes requests now or not.
func (n *Node) servedInZones(req *core.Request) bool {
	if !req.Zones.Restricted() {
		return true
	}
	for _, t := range n.targets.All() {
		if t.Serves(req.Model) && req.AllowsZone(t.Zone) {
			return true
		}
	}
	return false
}

// checkRegions refuses a request that has no target in the regions where it may run. It names no time to come back: only a
// change of the configuration or of the targets helps, and a caller that repeats the request adds nothing.
func (n *Node) checkRegions(req *core.Request) core.Result {
	if n.servedInZones(req) {
		return core.Result{}
	}
	return core.Result{Code: api.CodeNoAllowedTarget, Message: "no target of this service is in a region where the request may run"}
}

// finishOutsideRegions finishes a request that is not at a target, if no target is left in the regions where it may run. It
// reports whether it did.
func (n *Node) finishOutsideRegions(rec *ledger.Record) bool {
	return n.finishIfRefused(rec, n.checkRegions(&rec.Request))
}

// finishWaitingOutsideRegions does so for the requests that wait, after a change of the targets. The regions of a request are
// those of the revision under which it was admitted.
func (n *Node) finishWaitingOutsideRegions() {
	var waiting []*ledger.Record
	for _, rec := range n.active {
		if rec.State == ledger.Queued && rec.Request.Zones.Restricted() && !n.servedInZones(&rec.Request) {
			waiting = append(waiting, rec)
		}
	}
	slices.SortFunc(waiting, func(a, b *ledger.Record) int { return a.Request.Compare(b.Request.Key) })
	for _, rec := range waiting {
		n.finishOutsideRegions(rec)
	}
}

// reportUnknownRegions logs the regions of a new document that contain no zone.
func (n *Node) reportUnknownRegions() {
	if unknown := n.table.UnknownRegions(); len(unknown) > 0 {
		n.do(StateChange{Event: EventUnknownRegions, Text: strings.Join(unknown, " ")})
	}
}

// HostsAllowed returns the entry hosts that an answer to a lookup may name: all of them, unless the
// routes of the authority have regions. Then it returns hosts in a region that all of these routes allow or in the caller's
// own region; if the routes allow no common region, hosts of the caller's region.
func (s *Snapshot) HostsAllowed(c routes.Caller) []api.Host {
	if s.table == nil || !s.table.Restricts(&c) {
		return s.Hosts
	}
	allowed, own := s.table.HostZones(&c)
	var hosts []api.Host
	for i := range s.Hosts {
		if zone := s.Hosts[i].Zone; allowed.Has(zone) || own.Has(zone) {
			hosts = append(hosts, s.Hosts[i])
		}
	}
	return hosts
}
