package replay

import (
	"sort"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core/node"
	"carobshunt/internal/document"
)

// Report holds the results of one run as the callers saw them.
type Report struct {
	Title      string      `json:"title"`
	Deployment string      `json:"deployment"`
	Policy     node.Policy `json:"policy"`
	Seed       uint64      `json:"seed"`
	// Groups holds the figures of the whole run, then those by band of prompt length, by class, by team and by team and
	// band.
	Groups []Figures `json:"groups"`
	// Windows shows the latency of the shortest band over time.
	Windows []Window `json:"windows"`
	// Violations holds the expectations of the trace that the run violated.
	Violations []Violation `json:"broken"`
}

// Kind is the property by which requests are grouped.
type Kind string

// The kinds of groups.
const (
	KindAll   Kind = "all"
	KindBand  Kind = "band"
	KindClass Kind = "class"
	KindTeam  Kind = "team"
	// KindTeamBand groups by team and band; the groups are named "team/band".
	KindTeamBand Kind = "team and band"
)

// kinds returns all kinds in the order of the report.
func kinds() []Kind { return []Kind{KindAll, KindBand, KindClass, KindTeam, KindTeamBand} }

// TeamBand returns the name of a group of KindTeamBand.
func TeamBand(team, band string) string { return team + "/" + band }

// Figures holds the statistics of one group of requests. Requests counts all of them; Done, Failed, NotRun and Unknown
// count them by outcome.
type Figures struct {
	Kind     Kind   `json:"kind"`
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	Done     int    `json:"done"`
	Failed   int    `json:"failed"`
	NotRun   int    `json:"not_run"`
	Unknown  int    `json:"unknown"`
	// Refused counts the requests that ended as not run with their first decision; RefusedMaxMs is the longest time to
	// such an end, in milliseconds.
	Refused      int     `json:"refused"`
	RefusedMaxMs float64 `json:"refused_max_ms"`
	// Infeasible counts the requests that take longer than their budget even on an idle engine.
	Infeasible int `json:"infeasible"`
	// Late counts the requests that were not refused at once and not done either.
	Late int `json:"late"`
	// FirstTokenMs is the time to first token, GapMs the inter-token latency, both in milliseconds. Slowdown is the total
	// time of a request that was done over its time on an idle engine with an empty cache.
	FirstTokenMs Quantiles `json:"first_ms"`
	GapMs        Quantiles `json:"gap_ms"`
	Slowdown     Quantiles `json:"slowdown"`
	// Attempts is the mean number of dispatches of the requests that were dispatched.
	Attempts float64 `json:"attempts"`
	// Goodput is the number of requests done per second of the measured part of the trace.
	Goodput float64 `json:"goodput"`
}

// Window holds the figures of the shortest band for requests that arrived within one windowLength. Requests that were
// refused at once don't count.
type Window struct {
	FromMs          int64   `json:"from_ms"`
	Requests        int     `json:"requests"`
	Done            int     `json:"done"`
	FirstTokenP95Ms float64 `json:"first_p95_ms"`
	// WithinPercent is the percentage of the requests whose time to first token is at most firstTokenTarget.
	WithinPercent float64 `json:"within_percent"`
}

// collector accumulates the figures of one group.
type collector struct {
	figures    Figures
	firstToken *histogram
	slowdown   *histogram
	// dispatches is the number of dispatches, dispatched the number of requests with at least one.
	dispatches int
	dispatched int
}

func newCollector(kind Kind, name string) *collector {
	return &collector{figures: Figures{Kind: kind, Name: name}, firstToken: newHistogram(), slowdown: newHistogram()}
}

func (r *run) report() *Report {
	out := &Report{
		Title:      r.opts.Trace.Header.Title,
		Deployment: r.opts.Trace.Header.Deployment,
		Policy:     r.opts.Policy,
		Seed:       r.opts.Seed,
	}
	for _, g := range r.groups() {
		out.Groups = append(out.Groups, r.finalize(g))
	}
	out.Windows = r.windows()
	out.Violations = r.check(out)
	return out
}

// measureFrom returns the instant from which arrivals count; those before it only fill queues and caches.
func (r *run) measureFrom() time.Duration {
	return warmup + time.Duration(r.opts.Trace.Header.MeasureFromMs)*time.Millisecond
}

// groups collects the measured calls into groups, sorted by kind and name.
func (r *run) groups() []*collector {
	byName := make(map[Kind]map[string]*collector)
	for _, kind := range kinds() {
		byName[kind] = make(map[string]*collector)
	}
	for _, c := range r.calls {
		if c.startedAt < r.measureFrom() {
			continue
		}
		names := map[Kind]string{KindBand: c.band, KindClass: string(r.classOf(c)), KindTeam: c.key.Team}
		names[KindAll] = string(KindAll)
		names[KindTeamBand] = TeamBand(c.key.Team, c.band)
		for kind, name := range names {
			g := byName[kind][name]
			if g == nil {
				g = newCollector(kind, name)
				byName[kind][name] = g
			}
			r.add(g, c)
		}
	}
	var out []*collector
	for _, kind := range kinds() {
		var ofKind []*collector
		for _, g := range byName[kind] {
			ofKind = append(ofKind, g)
		}
		sort.Slice(ofKind, func(i, j int) bool { return ofKind[i].figures.Name < ofKind[j].figures.Name })
		out = append(out, ofKind...)
	}
	return out
}

func (r *run) classOf(c *call) document.Class {
	if c.band == bandService {
		return document.ClassService
	}
	return r.doc.Preset().Classify(c.req.PromptTokens)
}

// add adds a call to a group. Calls to plain services have no latency figures.
func (r *run) add(g *collector, c *call) {
	f := &g.figures
	f.Requests++
	g.countOutcome(c)
	if c.dispatches > 0 {
		g.dispatches += c.dispatches
		g.dispatched++
	}
	if c.band == bandService || c.key.ID == "" {
		return
	}
	idle := r.idleTime(c)
	if idle > time.Duration(c.req.BudgetMs)*time.Millisecond {
		f.Infeasible++
	}
	if c.firstTokenAt > 0 && c.outcome != api.OutcomeNotRun {
		g.firstToken.add(milliseconds(c.firstTokenAt - c.startedAt))
	}
	if c.outcome == api.OutcomeDone {
		g.slowdown.add(float64(c.endedAt-c.startedAt) / float64(idle))
	}
}

// countOutcome counts a call's outcome. A call is refused if it ended as not run with the first decision.
func (g *collector) countOutcome(c *call) {
	f := &g.figures
	refused := c.outcome == api.OutcomeNotRun && c.endedAt == c.decidedAt
	switch c.outcome {
	case api.OutcomeDone:
		f.Done++
	case api.OutcomeNotRun:
		f.NotRun++
	case api.OutcomeUnknown:
		f.Unknown++
	default:
		f.Failed++
	}
	if refused {
		f.Refused++
		f.RefusedMaxMs = max(f.RefusedMaxMs, milliseconds(c.endedAt-c.startedAt))
	}
	if c.outcome != api.OutcomeDone && !refused {
		f.Late++
	}
}

// idleTime returns the total time of the request on an idle engine with an empty cache, or on such a group if it needs
// one.
func (r *run) idleTime(c *call) time.Duration {
	req := c.req
	groupSize := r.params.GroupSize(req.PromptTokens, req.AnswerTokens)
	if groupSize == 1 {
		_, total := r.params.IdleTimes(req.PromptTokens, 0, req.AnswerTokens)
		return total
	}
	scale := float64(groupSize) * r.params.GroupEfficiency
	groupParams := r.params
	groupParams.PrefillTokensPerSecond *= scale
	groupParams.IterationPrefillTokens = int64(float64(groupParams.IterationPrefillTokens) * scale)
	_, total := groupParams.IdleTimes(req.PromptTokens, 0, req.AnswerTokens)
	return total
}

// finalize returns the complete figures of a group. Inter-token gaps are recorded for the whole run and by band only.
func (r *run) finalize(g *collector) Figures {
	f := g.figures
	f.FirstTokenMs = g.firstToken.quantiles()
	f.Slowdown = g.slowdown.quantiles()
	if g.dispatched > 0 {
		f.Attempts = float64(g.dispatches) / float64(g.dispatched)
	}
	header := r.opts.Trace.Header
	f.Goodput = float64(f.Done) * float64(time.Second/time.Millisecond) / float64(header.LengthMs-header.MeasureFromMs)
	switch f.Kind {
	case KindAll:
		f.GapMs = r.gaps.all.quantiles()
	case KindBand:
		if h := r.gaps.band[f.Name]; h != nil {
			f.GapMs = h.quantiles()
		}
	}
	return f
}

// Group returns the figures of a group, or the zero value if the run has no such group.
func (r *Report) Group(kind Kind, name string) Figures {
	for _, f := range r.Groups {
		if f.Kind == kind && f.Name == name {
			return f
		}
	}
	return Figures{}
}
