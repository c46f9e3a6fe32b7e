package quarantine

import (
	"cmp"
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
)

// lossID identifies a loss by the host that saw it and its number there.
type lossID struct {
	host, incarnation string
	number            uint64
}

// loss is a dispatch that was cut before its request was proven harmless.
type loss struct {
	host    string
	process target.Process
	at      core.Time
	// exposure is how long a harmless request like this would have run until it was proven harmless, ran how long this one
	// did.
	exposure time.Duration
	ran      time.Duration
	// beside is the number of other runs of the work that the host had under way.
	beside int
	// plain is set for a request to a plain service, which has no prompt.
	plain bool
	// parts are the parts of the prompt that were not proven harmless, works the work if it was not.
	parts []core.PartID
	works []core.WorkID
}

// containsAll reports whether all wanted parts are among the given ones.
func containsAll(parts, wanted []core.PartID) bool {
	return !slices.ContainsFunc(wanted, func(p core.PartID) bool { return !slices.Contains(parts, p) })
}

// distinctRequests returns the losses without those of requests that came again: they say no more of what the request has in
// common with others.
func distinctRequests(losses []*loss) []*loss {
	seen := make(map[core.WorkID]bool)
	var out []*loss
	for _, l := range losses {
		if len(l.works) > 0 {
			if seen[l.works[0]] {
				continue
			}
			seen[l.works[0]] = true
		}
		out = append(out, l)
	}
	return out
}

// momentTime is the time within which the ends of processes may have one cause, such as a failure of a zone or of a path.
const momentTime = 100 * time.Millisecond

// maxEndsAtMoment is the number of processes that count of those that ended at one moment.
const maxEndsAtMoment = 2

// ends are the ends of processes at which the requests of a suspect were lost.
type ends struct {
	// moments is the number of moments apart from each other, counted one loss for each end that counts, all one for each end.
	moments      int
	counted, all []*loss
}

// endsOf returns the ends that losses show. A process ends once.
func endsOf(losses []*loss) ends {
	return endsApart(losses, func(began core.Time, l *loss) bool { return l.at-began >= momentTime })
}

// endsInTurn returns the ends that the losses of one work show. A run that began after an end is another moment: what ended the
// process before it can't have cut it too.
func endsInTurn(losses []*loss) ends {
	return endsApart(losses, func(began core.Time, l *loss) bool { return l.at-began >= momentTime || l.at-l.ran >= began })
}

// endsApart returns the ends that losses show. The function apart tells whether a loss is at another moment than one that
// began at an instant.
func endsApart(losses []*loss, apart func(began core.Time, l *loss) bool) ends {
	ordered := slices.Clone(losses)
	slices.SortStableFunc(ordered, func(a, b *loss) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(b.exposure, a.exposure))
	})
	var out ends
	var began core.Time
	atMoment := 0
	ended := make(map[target.Process]bool)
	for _, l := range ordered {
		if ended[l.process] && identified(l.process) {
			continue
		}
		ended[l.process] = true
		if out.moments == 0 || apart(began, l) {
			began, atMoment = l.at, 0
			out.moments++
		}
		out.all = append(out.all, l)
		if atMoment++; atMoment <= maxEndsAtMoment {
			out.counted = append(out.counted, l)
		}
	}
	return out
}
