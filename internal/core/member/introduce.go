package member

import (
	"time"

	"carobshunt/internal/core"
)

// introductionTTL is how long a host that is not alive stays a contact after it was last seen alive or introduced.
const introductionTTL = 30 * time.Second

// Introductions returns the peer addresses of the contacts that are alive, sorted. They are sent to peers for discovery
// in a deployment whose host list names no entry hosts; in any other deployment the result is nil.
func (t *Table) Introductions(now core.Time) []string {
	if t.listed {
		return nil
	}
	var out []string
	for _, address := range t.contacts {
		if t.peers[address].Alive(now) {
			out = append(out, address)
		}
	}
	return out
}

// Introduce adds the hosts that a peer introduced to the contacts, and notes the time for those that are contacts already.
// It has no effect if the host list names entry hosts.
func (t *Table) Introduce(now core.Time, addresses []string) {
	if t.listed {
		return
	}
	grown := false
	for _, address := range addresses {
		if address == t.self {
			continue
		}
		if t.peers[address] == nil {
			t.ensure(address)
			grown = true
		}
		t.peers[address].introduced = now
	}
	if grown {
		t.updateContacts(now)
	}
}

// expireIntroduced removes every host that is not a seed, is not alive and was neither seen alive nor introduced for
// introductionTTL, with former seeds among them. It has no effect if the host list names entry hosts.
func (t *Table) expireIntroduced(now core.Time) {
	if t.listed {
		return
	}
	before := len(t.peers)
	for address, p := range t.peers {
		if !p.seed && !p.Alive(now) && now-max(p.introduced, p.LastSeen) >= introductionTTL {
			delete(t.peers, address)
		}
	}
	if len(t.peers) != before {
		t.updateContacts(now)
	}
}
