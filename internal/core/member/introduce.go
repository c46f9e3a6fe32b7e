package member

import (
	"time"

	"carobshunt/internal/core"
)

// introducedFor is how long a host that was introduced and is not heard stays a contact.
const introducedFor = 30 * time.Second

// Introductions are the peer addresses that this host hears, sorted, for a deployment whose host list names no entry
// hosts; nil elsewhere.
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

// Introduce makes contacts of hosts that a peer hears.
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
		t.recontact(now)
	}
}

// expireIntroduced forgets hosts that nobody hears any more. Seeds stay.
func (t *Table) expireIntroduced(now core.Time) {
	if t.listed {
		return
	}
	before := len(t.peers)
	for address, p := range t.peers {
		if !p.seed && !p.Alive(now) && now-max(p.introduced, p.Heard) >= introducedFor {
			delete(t.peers, address)
		}
	}
	if len(t.peers) != before {
		t.recontact(now)
	}
}
