package metrics

import (
	"carobshunt/api"
	"carobshunt/internal/core/node"

	"github.com/prometheus/client_golang/prometheus"
)

// stateCollector derives metrics from the host's snapshot at each scrape, so that they cost nothing between scrapes.
type stateCollector struct {
	source    Source
	values    []stateMetric
	preset    *prometheus.Desc
	warnings  *prometheus.Desc
	outcomes  *prometheus.Desc
	sweeps    *prometheus.Desc
	groups    *prometheus.Desc
	orders    *prometheus.Desc
	adoptions *prometheus.Desc
	peers     *prometheus.Desc
	targets   *prometheus.Desc
	notices   *prometheus.Desc
	spillover *prometheus.Desc
	crossings *prometheus.Desc
}

// stateMetric is a metric without labels that is read from the status.
type stateMetric struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func(*api.Status) float64
}

const secondsPerMillisecond = 1e-3

func newStateCollector(source Source) *stateCollector {
	return &stateCollector{
		source: source,
		values: []stateMetric{
			gauge("ready", "1 when the host serves.", func(s *api.Status) float64 { return boolValue(s.Ready) }),
			gauge("draining", "1 during a planned stop.", func(s *api.Status) float64 { return boolValue(s.Draining) }),
			gauge("revision", "Configuration revision in force.", func(s *api.Status) float64 { return float64(s.Config.Revision) }),
			gauge("revision_age_seconds", "Time since the revision came into force.",
				func(s *api.Status) float64 { return float64(s.Config.InForceMs) * secondsPerMillisecond }),
			gauge("platform_silent_seconds", "Time since the platform was last heard; -1 for never.", platformSilent),
			total("documents_rejected_total", "Published documents refused as invalid.",
				func(s *api.Status) float64 { return float64(s.Config.Rejected) }),
			total("document_conflicts_total", "Times that two documents were heard under the revision in force.",
				func(s *api.Status) float64 { return float64(s.Config.Conflicts) }),
			gauge("known_revision", "Highest revision that a peer or a target is known to have.",
				func(s *api.Status) float64 { return float64(s.Config.KnownRevision) }),
			gauge("host_list_version", "Version of the host list in force.",
				func(s *api.Status) float64 { return float64(s.Config.HostsVersion) }),
			gauge("platform_reader", "1 when this host watches the platform itself.",
				func(s *api.Status) float64 { return boolValue(s.Config.ReadsPlatform) }),
			gauge("requests_queued", "Requests waiting for a target.", func(s *api.Status) float64 { return float64(s.Requests.Queued) }),
			gauge("requests_running", "Requests received or at a target.", func(s *api.Status) float64 { return float64(s.Requests.Running) }),
			gauge("withheld_prompts", "Requests, and kinds of prompts, that are withheld, since they end the targets that run them.",
				func(s *api.Status) float64 { return float64(len(s.Withheld)) }),
			total("rank_ignored_total", "Dispatches that ignored the ranks of teams so that no team is starved.",
				func(s *api.Status) float64 { return float64(s.Requests.RankIgnored) }),
			total("withheld_requests_total", "Requests refused since their prompts are withheld.",
				func(s *api.Status) float64 { return float64(s.Requests.Withheld) }),
			total("zone_crossing_bytes_total", "Request bodies sent to engines of other availability zones.",
				func(s *api.Status) float64 { return float64(s.Crossings.Bytes) }),
			gauge("records", "Request records kept.", func(s *api.Status) float64 { return float64(s.Requests.Records) }),
			gauge("body_bytes", "Request bodies held.", func(s *api.Status) float64 { return float64(s.Requests.BodyBytes) }),
		},
		preset:    describe("preset_info", "Always 1; the label names the preset in force.", "preset"),
		warnings:  describe("warning", "1 for each warning that the host shows in its status.", "warning"),
		outcomes:  describe("outcomes_total", "Requests answered by outcome, refused ones among them.", labelOutcome),
		sweeps:    describe("sweeps_total", "Leftovers that engines were told to drop, by reason.", "reason"),
		groups:    describe("engine_groups_total", "Tries to reserve several engines for one prompt, by step.", "step"),
		orders:    describe("orders_total", "Orders to engines, by step.", "step"),
		adoptions: describe("adoptions_total", "Streams taken over from hosts that are gone, by step.", "step"),
		peers:     describe("peers", "Other entry hosts, by whether they were heard lately.", "alive"),
		targets:   describe("targets", "Targets by kind, and by whether new work may go there.", "kind", "eligible"),
		notices: describe("target_notices",
			"Targets by what limits new work: a limit, leaving, no requests for a while, cold, an evacuated zone.", "says"),
		spillover: describe("spillover_share", "Part of the short prompts of the host's zone that is sent to another one.", "service", "zone"),
		crossings: describe("zone_crossings_total",
			"Requests sent to engines of other zones: by the share, in spite of the cost, or as long prompts.", "reason"),
	}
}

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(namespace+"_"+name, help, labels, nil)
}

func gauge(name, help string, read func(*api.Status) float64) stateMetric {
	return stateMetric{desc: describe(name, help), kind: prometheus.GaugeValue, read: read}
}

func total(name, help string, read func(*api.Status) float64) stateMetric {
	return stateMetric{desc: describe(name, help), kind: prometheus.CounterValue, read: read}
}

func platformSilent(s *api.Status) float64 {
	if s.Config.PlatformSilentMs < 0 {
		return -1
	}
	return float64(s.Config.PlatformSilentMs) * secondsPerMillisecond
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func boolLabel(b bool) string {
	if b {
		return "true"
	}
	return "false"
}

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(out chan<- *prometheus.Desc) {
	for _, m := range c.values {
		out <- m.desc
	}
	out <- c.preset
	out <- c.warnings
	out <- c.outcomes
	out <- c.sweeps
	out <- c.groups
	out <- c.orders
	out <- c.adoptions
	out <- c.peers
	out <- c.targets
	out <- c.notices
	out <- c.spillover
	out <- c.crossings
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(out chan<- prometheus.Metric) {
	snap := c.source.Snapshot()
	status := &snap.Status
	for _, m := range c.values {
		out <- prometheus.MustNewConstMetric(m.desc, m.kind, m.read(status))
	}
	if status.Config.Preset != "" {
		out <- prometheus.MustNewConstMetric(c.preset, prometheus.GaugeValue, 1, status.Config.Preset)
	}
	for _, w := range status.Warnings {
		out <- prometheus.MustNewConstMetric(c.warnings, prometheus.GaugeValue, 1, string(w))
	}
	for _, o := range status.Requests.Outcomes {
		out <- prometheus.MustNewConstMetric(c.outcomes, prometheus.CounterValue, float64(o.Count), string(o.Outcome))
	}
	c.collectPeers(out, status.Peers)
	c.collectTargets(out, status.Targets)
	c.collectNotices(out, status.Targets)
	c.collectEngines(out, snap)
	for _, s := range status.Spillover {
		out <- prometheus.MustNewConstMetric(c.spillover, prometheus.GaugeValue, s.Share, s.Service, s.Zone)
	}
	collectSteps(out, c.crossings, []step{
		{"share", status.Crossings.Share}, {"cost", status.Crossings.Cost}, {"long", status.Crossings.Long},
	})
}

// step is the count of one step under a metric with a label for steps or reasons.
type step struct {
	name  string
	count uint64
}

func (c *stateCollector) collectEngines(out chan<- prometheus.Metric, snap *node.Snapshot) {
	collectSteps(out, c.sweeps, []step{
		{"overdue", snap.Sweeps.Overdue}, {"orphaned", snap.Sweeps.Orphaned}, {"forgotten", snap.Sweeps.Forgotten},
	})
	collectSteps(out, c.groups, []step{
		{"claimed", snap.Groups.Claims}, {"completed", snap.Groups.Completed},
		{"given_up", snap.Groups.GivenUp}, {"lost", snap.Groups.Lost},
	})
	collectSteps(out, c.adoptions, []step{{"tried", snap.Adoptions.Tried}, {"failed", snap.Adoptions.Failed}})
	collectSteps(out, c.orders, []step{
		{"sent", snap.Orders.Sent}, {"taken", snap.Orders.Taken}, {"refused", snap.Orders.Refused},
		{"lost", snap.Orders.Lost}, {"loads", snap.Orders.Loads}, {"paced", snap.Orders.Paced}, {"behind", snap.Orders.Behind},
	})
}

func collectSteps(out chan<- prometheus.Metric, desc *prometheus.Desc, steps []step) {
	for _, s := range steps {
		out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(s.count), s.name)
	}
}

func (c *stateCollector) collectPeers(out chan<- prometheus.Metric, peers []api.PeerStatus) {
	counts := map[bool]int{}
	for _, p := range peers {
		counts[p.Alive]++
	}
	for _, alive := range []bool{true, false} {
		out <- prometheus.MustNewConstMetric(c.peers, prometheus.GaugeValue, float64(counts[alive]), boolLabel(alive))
	}
}

// targetGroup holds the label values by which targets are counted.
type targetGroup struct {
	kind     string
	eligible bool
}

func (c *stateCollector) collectTargets(out chan<- prometheus.Metric, targets []api.TargetStatus) {
	counts := map[targetGroup]int{}
	for _, t := range targets {
		counts[targetGroup{t.Kind, t.Eligible}]++
		counts[targetGroup{t.Kind, !t.Eligible}] += 0
	}
	for group, count := range counts {
		out <- prometheus.MustNewConstMetric(c.targets, prometheus.GaugeValue, float64(count), group.kind, boolLabel(group.eligible))
	}
}

// collectNotices counts the targets by what they have said of themselves.
func (c *stateCollector) collectNotices(out chan<- prometheus.Metric, targets []api.TargetStatus) {
	limited, leaving, heldOff, cold, evacuated := 0.0, 0.0, 0.0, 0.0, 0.0
	for i := range targets {
		t := &targets[i]
		limited += boolValue(t.Limit > 0 && !t.Cold)
		cold += boolValue(t.Cold)
		evacuated += boolValue(t.Evacuated)
		leaving += boolValue(t.SaysLeaving)
		heldOff += boolValue(t.HeldOffMs > 0)
	}
	for _, one := range []struct {
		says  string
		count float64
	}{{"limit", limited}, {"leaving", leaving}, {"held_off", heldOff}, {"cold", cold}, {"evacuated", evacuated}} {
		out <- prometheus.MustNewConstMetric(c.notices, prometheus.GaugeValue, one.count, one.says)
	}
}
