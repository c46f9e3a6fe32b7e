package node

import (
	"time"

	"carobshunt/api"
)

// platformPatience is the time without an answer of the platform that is worth a warning.
const platformPatience = 30 * time.Second

// warnings are the states that an operator should look at, in a fixed order.
func (n *Node) warnings() []api.Warning {
	suspects := n.knowledge.suspects
	_, conflict := n.config.Conflicts()
	out := []api.Warning{}
	for _, one := range []struct {
		warning api.Warning
		holds   bool
	}{
		{api.WarningConflict, conflict},
		{api.WarningBehind, n.floor() > n.config.Revision()},
		{api.WarningCallersAhead, n.knowledge.callers > max(n.floor(), n.config.Revision())},
		{api.WarningPlatformSilent, n.now-max(n.knowledge.platform.last(), 0) >= platformPatience},
		{api.WarningPeersSilent, n.peersSilent()},
		{api.WarningLink, suspects.Link},
		{api.WarningZone, !suspects.Link && len(suspects.Zones) > 0},
	} {
		if one.holds {
			out = append(out, one.warning)
		}
	}
	return out
}

// peersSilent tells whether there are peers and none of them is alive.
func (n *Node) peersSilent() bool {
	for _, address := range n.peers.Addresses() {
		if n.peers.Get(address).Alive(n.now) {
			return false
		}
	}
	return len(n.peers.Addresses()) > 0
}
