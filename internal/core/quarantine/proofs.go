package quarantine

import (
	"time"

	"carobshunt/internal/core"
)

const (
	// proofMemory is how long a proof is remembered at least.
	proofMemory = 10 * time.Second
	// maxProofs is the number of proofs of one generation.
	maxProofs = 8192
)

// proofs holds what was proven harmless lately, in two generations.
type proofs[ID identifier] struct {
	current, previous map[ID]core.Time
	rotated           core.Time
}

func newProofs[ID identifier]() proofs[ID] { return proofs[ID]{current: make(map[ID]core.Time)} }

// add records a proof.
func (p *proofs[ID]) add(now core.Time, id ID) {
	if len(p.current) >= maxProofs {
		p.previous, p.current = p.current, make(map[ID]core.Time)
	}
	p.current[id] = now
}

// at returns when something was last proven harmless, as far as known; never if it was not.
func (p *proofs[ID]) at(id ID) core.Time {
	if at, ok := p.current[id]; ok {
		return at
	}
	if at, ok := p.previous[id]; ok {
		return at
	}
	return never
}

// rotate begins a new generation when it is time.
func (p *proofs[ID]) rotate(now core.Time) {
	if now-p.rotated < proofMemory {
		return
	}
	p.rotated = now
	p.previous, p.current = p.current, make(map[ID]core.Time)
}
