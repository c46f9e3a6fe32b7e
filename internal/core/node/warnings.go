package node

import (
	"time"

	"carobshunt/api"
)

// platformSilenceLimit is the time without an answer of the platform after which there is a warning.
const platformSilenceLimit = 30 * time.Second

// warnings returns the active warnings for operators, in a fixed order.
func (n *Node) warnings() []api.Warning {
	suspects := n.observed.suspects
	_, conflict := n.config.Conflicts()
	out := []api.Warning{}
	for _, one := range []struct {
		warning api.Warning
		holds   bool
	}{
		{api.WarningConflict, conflict},
		{api.WarningBehind, n.floor() > n.config.Revision()},
		{api.WarningCallersAhead, n.observed.callersRevision > max(n.floor(), n.config.Revision())},
		{api.WarningPlatformSilent, n.now-max(n.observed.platform.latest, 0) >= platformSilenceLimit},
		{api.WarningPeersSilent, n.allPeersSilent()},
		{api.WarningOwnLink, suspects.Link},
		{api.WarningZone, !suspects.Link && len(suspects.Zones) > 0},
		{api.WarningUnknownRegion, n.table != nil && len(n.table.UnknownRegions()) > 0},
	} {
		if one.holds {
			out = append(out, one.warning)
		}
	}
	return out
}

// allPeersSilent reports whether there are peers and none of them is alive.
func (n *Node) allPeersSilent() bool {
	for _, address := range n.peers.Addresses() {
		if n.peers.Get(address).Alive(n.now) {
			return false
		}
	}
	return len(n.peers.Addresses()) > 0
}
