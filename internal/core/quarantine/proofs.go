package quarantine

import (
	"time"

	"carobshunt/internal/core"
)

const (
	// proofTTL is how long before a loss a proof still clears a part. Targets may have been replaced by others since.
	proofTTL = 10 * time.Second
	// maxProofs is the number of proofs of one generation.
	maxProofs = 8192
)

// proofs holds the parts that were proven harmless lately, in two generations.
type proofs struct {
	current, previous map[core.PartID]core.Time
	rotated           core.Time
}

func newProofs() proofs { return proofs{current: make(map[core.PartID]core.Time)} }

// add records a proof.
func (p *proofs) add(now core.Time, part core.PartID) {
	if len(p.current) >= maxProofs {
		p.previous, p.current = p.current, make(map[core.PartID]core.Time)
	}
	p.current[part] = now
}

// at returns when the part was last proven harmless, as far as known; never if it was not.
func (p *proofs) at(part core.PartID) core.Time {
	if at, ok := p.current[part]; ok {
		return at
	}
	if at, ok := p.previous[part]; ok {
		return at
	}
	return never
}

// clears reports whether a proof clears the part of a loss at an instant.
func (p *proofs) clears(part core.PartID, lossAt core.Time) bool {
	at := p.at(part)
	return at != never && at >= lossAt-proofTTL
}

// rotate begins a new generation when it is time, and reports whether it did.
func (p *proofs) rotate(now core.Time) bool {
	if now-p.rotated < proofTTL {
		return false
	}
	p.rotated = now
	p.previous, p.current = p.current, make(map[core.PartID]core.Time)
	return true
}
