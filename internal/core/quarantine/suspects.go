package quarantine

import (
	"cmp"
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
)

// identifier is what prompts and requests have in common: a part of prompts, or the work of requests that are the same.
type identifier interface{ core.PartID | core.WorkID }

// suspect is a part or a work that was lost with targets, and that nothing has proven harmless since.
type suspect[ID identifier] struct {
	id     ID
	losses []*loss
}

const (
	// maxSuspects is the number of suspects of one kind, maxLosses that of the losses of each.
	maxSuspects = 1024
	maxLosses   = 64
	// maxLossParts is the number of parts of a loss that are considered.
	maxLossParts = 64
)

// suspects holds the suspects of one kind, and what was proven harmless.
type suspects[ID identifier] struct {
	byID   map[ID]*suspect[ID]
	proofs proofs[ID]
	// proofTTL returns how long a proof clears later losses too; lossTTL is how long a loss is evidence.
	proofTTL func(ID) time.Duration
	lossTTL  time.Duration
}

func newSuspects[ID identifier](proofTTL func(ID) time.Duration, lossTTL time.Duration) *suspects[ID] {
	return &suspects[ID]{byID: make(map[ID]*suspect[ID]), proofs: newProofs[ID](), proofTTL: proofTTL, lossTTL: lossTTL}
}

// clears reports whether a proof clears a loss at an instant.
func (s *suspects[ID]) clears(id ID, lossAt core.Time) bool {
	at := s.proofs.at(id)
	return at != never && at >= lossAt-s.proofTTL(id)
}

// unproven returns the identifiers that no proof clears of a loss, at most maxLossParts.
func (s *suspects[ID]) unproven(lossAt core.Time, ids []ID) []ID {
	var out []ID
	for _, id := range ids {
		if len(out) < maxLossParts && !s.clears(id, lossAt) {
			out = append(out, id)
		}
	}
	return out
}

// add records a loss against suspects.
func (s *suspects[ID]) add(l *loss, ids []ID) {
	for _, id := range ids {
		one := s.byID[id]
		if one == nil {
			s.makeRoom()
			one = &suspect[ID]{id: id}
			s.byID[id] = one
		}
		if len(one.losses) == maxLosses {
			one.losses = one.losses[1:]
		}
		one.losses = append(one.losses, l)
	}
}

// makeRoom drops the suspect with the oldest last loss if there is no room for another.
func (s *suspects[ID]) makeRoom() {
	if len(s.byID) < maxSuspects {
		return
	}
	var oldest *suspect[ID]
	for _, one := range s.byID {
		if oldest == nil || one.olderThan(oldest) {
			oldest = one
		}
	}
	delete(s.byID, oldest.id)
}

// olderThan orders suspects by their last loss, then by their identifier.
func (s *suspect[ID]) olderThan(o *suspect[ID]) bool {
	return cmp.Or(cmp.Compare(s.losses[len(s.losses)-1].at, o.losses[len(o.losses)-1].at), cmp.Compare(s.id, o.id)) < 0
}

// losses returns the losses of a suspect; none if it is not suspected.
func (s *suspects[ID]) losses(id ID) []*loss {
	if one := s.byID[id]; one != nil {
		return one.losses
	}
	return nil
}

// withLosses returns the suspects with a number of losses or more, sorted.
func (s *suspects[ID]) withLosses(count int) []ID {
	var out []ID
	for id, one := range s.byID {
		if len(one.losses) >= count {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// keepLosses drops the losses of a suspect that are not to be kept, and the suspect with the last of them.
func (s *suspects[ID]) keepLosses(one *suspect[ID], keep func(*loss) bool) {
	one.losses = slices.DeleteFunc(one.losses, func(l *loss) bool { return !keep(l) })
	if len(one.losses) == 0 {
		delete(s.byID, one.id)
	}
}

// prove records that a run did no harm, and reports whether there was a suspicion.
func (s *suspects[ID]) prove(now core.Time, id ID) bool {
	s.proofs.add(now, id)
	suspected := s.byID[id] != nil
	s.clear(id, now)
	return suspected
}

// clear clears what was proven harmless at an instant.
func (s *suspects[ID]) clear(id ID, at core.Time) {
	if one := s.byID[id]; one != nil {
		s.keepLosses(one, func(l *loss) bool { return l.at > at+s.proofTTL(id) })
	}
}

// retract drops the losses at a process that has not ended.
func (s *suspects[ID]) retract(process target.Process) {
	for _, one := range s.byID {
		s.keepLosses(one, func(l *loss) bool { return l.process != process })
	}
}

// expire drops old losses.
func (s *suspects[ID]) expire(now core.Time) {
	for _, one := range s.byID {
		s.keepLosses(one, func(l *loss) bool { return now-l.at < s.lossTTL })
	}
}
