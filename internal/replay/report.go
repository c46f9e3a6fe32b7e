package replay

import (
	"sort"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core/node"
	"carobshunt/internal/document"
)

// Report is what the callers of one run saw.
type Report struct {
	Title      string      `json:"title"`
	Deployment string      `json:"deployment"`
	Policy     node.Policy `json:"policy"`
	Seed       uint64      `json:"seed"`
	// Groups are the whole run, then the bands of prompt length, the classes and the teams.
	Groups []Figures `json:"groups"`
	// Windows follow the prompts of the shortest band over time.
	Windows []Window `json:"windows"`
	// Broken are the stated outcomes that the run did not have.
	Broken []Broken `json:"broken"`
}

// Kind tells by what a group is made.
type Kind string

// The kinds of group.
const (
	KindAll   Kind = "all"
	KindBand  Kind = "band"
	KindClass Kind = "class"
	KindTeam  Kind = "team"
	// KindTeamBand is a team's requests of one band, named "team/band".
	KindTeamBand Kind = "team and band"
)

func kinds() []Kind { return []Kind{KindAll, KindBand, KindClass, KindTeam, KindTeamBand} }

// TeamBand names a group of KindTeamBand.
func TeamBand(team, band string) string { return team + "/" + band }

// Figures are the figures of one group of requests.
type Figures struct {
	Kind     Kind   `json:"kind"`
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	Done     int    `json:"done"`
	Failed   int    `json:"failed"`
	NotRun   int    `json:"not_run"`
	Unknown  int    `json:"unknown"`
	// Refused are the requests that were answered "not run" at once; RefusedMaxMs is the longest that took.
	Refused      int     `json:"refused"`
	RefusedMaxMs float64 `json:"refused_max_ms"`
	// Infeasible are the requests that can't end within their budget on an engine that does nothing else.
	Infeasible int `json:"infeasible"`
	// Late are the admitted requests that did not end whole.
	Late int `json:"late"`
	// FirstMs is the time to the first token, GapMs the time between tokens, both in milliseconds. Slowdown is the
	// total time over the time on an engine that does nothing else.
	FirstMs  Quantiles `json:"first_ms"`
	GapMs    Quantiles `json:"gap_ms"`
	Slowdown Quantiles `json:"slowdown"`
	// Attempts are the dispatches to targets for each request that had one.
	Attempts float64 `json:"attempts"`
	// Goodput is the number of requests done in time per second of the trace.
	Goodput float64 `json:"goodput"`
}

// Window is a short stretch of a run.
type Window struct {
	FromMs   int64   `json:"from_ms"`
	Requests int     `json:"requests"`
	Done     int     `json:"done"`
	FirstP95 float64 `json:"first_p95_ms"`
	// Within is the percentage of the requests that began to answer within the target.
	Within float64 `json:"within_percent"`
}

// collector collects one group's figures.
type collector struct {
	figures   Figures
	first     *tally
	slowdown  *tally
	attempts  int
	attempted int
}

func newGroup(kind Kind, name string) *collector {
	return &collector{figures: Figures{Kind: kind, Name: name}, first: newTally(), slowdown: newTally()}
}

func (r *run) report() *Report {
	out := &Report{
		Title:      r.opts.Trace.Header.Title,
		Deployment: r.opts.Trace.Header.Deployment,
		Policy:     r.opts.Policy,
		Seed:       r.opts.Seed,
	}
	for _, g := range r.groups() {
		out.Groups = append(out.Groups, r.close(g))
	}
	out.Windows = r.windows()
	out.Broken = r.check(out)
	return out
}

// measured is the instant from which arrivals count.
func (r *run) measured() time.Duration {
	return warmup + time.Duration(r.opts.Trace.Header.MeasureFromMs)*time.Millisecond
}

func (r *run) groups() []*collector {
	byName := make(map[Kind]map[string]*collector)
	for _, kind := range kinds() {
		byName[kind] = make(map[string]*collector)
	}
	for _, c := range r.calls {
		if c.started < r.measured() {
			continue
		}
		names := map[Kind]string{KindBand: c.band, KindClass: string(r.classOf(c)), KindTeam: c.key.Team}
		names[KindAll] = string(KindAll)
		names[KindTeamBand] = TeamBand(c.key.Team, c.band)
		for kind, name := range names {
			g := byName[kind][name]
			if g == nil {
				g = newGroup(kind, name)
				byName[kind][name] = g
			}
			r.add(g, c)
		}
	}
	var out []*collector
	for _, kind := range kinds() {
		var some []*collector
		for _, g := range byName[kind] {
			some = append(some, g)
		}
		sort.Slice(some, func(i, j int) bool { return some[i].figures.Name < some[j].figures.Name })
		out = append(out, some...)
	}
	return out
}

func (r *run) classOf(c *call) document.Class {
	if c.band == bandService {
		return document.ClassService
	}
	return r.doc.Preset().Classify(c.req.PromptTokens)
}

func (r *run) add(g *collector, c *call) {
	f := &g.figures
	f.Requests++
	g.countOutcome(c)
	if c.attempts > 0 {
		g.attempts += c.attempts
		g.attempted++
	}
	if c.band == bandService || c.key.ID == "" {
		return
	}
	alone := r.alone(c)
	if alone > time.Duration(c.req.BudgetMs)*time.Millisecond {
		f.Infeasible++
	}
	if c.first > 0 && c.outcome != api.OutcomeNotRun {
		g.first.add(milliseconds(c.first - c.started))
	}
	if c.outcome == api.OutcomeDone {
		g.slowdown.add(float64(c.ended-c.started) / float64(alone))
	}
}

func (g *collector) countOutcome(c *call) {
	f := &g.figures
	refused := c.outcome == api.OutcomeNotRun && c.ended == c.decided
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
		f.RefusedMaxMs = max(f.RefusedMaxMs, milliseconds(c.ended-c.started))
	}
	if c.outcome != api.OutcomeDone && !refused {
		f.Late++
	}
}

// alone is the time that the request takes on an engine, or a group of them, that does nothing else.
func (r *run) alone(c *call) time.Duration {
	req := c.req
	members := r.params.Members(req.PromptTokens, req.AnswerTokens)
	if members == 1 {
		_, total := r.params.Alone(req.PromptTokens, 0, req.AnswerTokens)
		return total
	}
	scale := float64(members) * r.params.GroupEfficiency
	together := r.params
	together.PrefillTokensPerSecond *= scale
	together.IterationPrefillTokens = int64(float64(together.IterationPrefillTokens) * scale)
	_, total := together.Alone(req.PromptTokens, 0, req.AnswerTokens)
	return total
}

func (r *run) close(g *collector) Figures {
	f := g.figures
	f.FirstMs = g.first.quantiles()
	f.Slowdown = g.slowdown.quantiles()
	if g.attempted > 0 {
		f.Attempts = float64(g.attempts) / float64(g.attempted)
	}
	header := r.opts.Trace.Header
	f.Goodput = float64(f.Done) * float64(time.Second/time.Millisecond) / float64(header.LengthMs-header.MeasureFromMs)
	switch f.Kind {
	case KindAll:
		f.GapMs = r.gaps.all.quantiles()
	case KindBand:
		if t := r.gaps.band[f.Name]; t != nil {
			f.GapMs = t.quantiles()
		}
	}
	return f
}

// Group returns a group's figures; the zero value when the run has no such group.
func (r *Report) Group(kind Kind, name string) Figures {
	for _, f := range r.Groups {
		if f.Kind == kind && f.Name == name {
			return f
		}
	}
	return Figures{}
}
