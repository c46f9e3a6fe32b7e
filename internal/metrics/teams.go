package metrics

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"carobshunt/internal/document"
	"carobshunt/internal/settings"
)

// otherTeams is the label value of all teams without one of their own. A team of this name never gets its own label, so
// its series can't be confused with these.
const otherTeams = "other"

// teamLabels maps teams to label values. The mapping changes only with the published document.
type teamLabels struct {
	// limit is the number of teams with labels by rank, shown the names of further ones.
	limit  int
	shown  []string
	source Source
	// deleteSeries deletes the series of a label that no team has any more.
	deleteSeries func(label string)

	current atomic.Pointer[labelSet]
	// mu serializes replace.
	mu sync.Mutex
}

// labelSet holds the teams that have labels of their own under one document.
type labelSet struct {
	document *document.Document
	// labeled holds their labels by name.
	labeled map[string]string
	// retired holds the labels that teams lost with this document. Their series are deleted now and again with the next document,
	// since a request counted during the change may have recreated them.
	retired map[string]bool
}

func newTeamLabels(s settings.Metrics, source Source, deleteSeries func(label string)) *teamLabels {
	l := &teamLabels{limit: s.Teams, shown: s.ShownTeams, source: source, deleteSeries: deleteSeries}
	l.current.Store(&labelSet{})
	return l
}

// label returns the label value of a team under the document in force.
func (l *teamLabels) label(team string) string {
	set := l.current.Load()
	if doc := l.source.Snapshot().Document; doc != set.document {
		set = l.replace(doc)
	}
	if label, ok := set.labeled[team]; ok {
		return label
	}
	return otherTeams
}

// replace installs the label set of a new document and deletes the series of teams that lost their labels.
func (l *teamLabels) replace(doc *document.Document) *labelSet {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.current.Load()
	if previous.document == doc {
		return previous
	}
	set := &labelSet{document: doc, labeled: l.selectTeams(doc), retired: make(map[string]bool)}
	for team, label := range previous.labeled {
		if set.labeled[team] == "" {
			set.retired[label] = true
		}
	}
	l.current.Store(set)
	l.drop(set, previous.retired)
	l.drop(set, set.retired)
	return set
}

// drop deletes the series of those labels that no team of the set has.
func (l *teamLabels) drop(set *labelSet, labels map[string]bool) {
	for label := range labels {
		if !set.has(label) {
			l.deleteSeries(label)
		}
	}
}

// has reports whether a team of the set has the label.
func (s *labelSet) has(label string) bool {
	for _, one := range s.labeled {
		if one == label {
			return true
		}
	}
	return false
}

// selectTeams returns the labels of the teams with the highest limits, ties broken by weight and then by name, and of the shown
// teams.
func (l *teamLabels) selectTeams(doc *document.Document) map[string]string {
	own := make(map[string]string)
	if doc == nil {
		return own
	}
	teams := slices.Clone(doc.Teams)
	slices.SortFunc(teams, func(a, b document.Team) int {
		return cmp.Or(
			cmp.Compare(b.TokensPerSecond, a.TokensPerSecond),
			cmp.Compare(b.Weight, a.Weight),
			strings.Compare(a.Name, b.Name),
		)
	})
	for i, t := range teams {
		if (i < l.limit || slices.Contains(l.shown, t.Name)) && t.Name != otherTeams {
			own[t.Name] = document.ShownName(t.Name)
		}
	}
	return own
}
