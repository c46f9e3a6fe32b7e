package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"carobshunt/api"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// StatusReport is what "status" prints.
type StatusReport struct {
	Hosts         []HostStatus   `json:"hosts"`
	Disagreements []Disagreement `json:"disagreements"`
}

// Disagreement is a matter on which hosts report different values.
type Disagreement struct {
	Matter string `json:"matter"`
	// Views lists the values and the hosts that report them.
	Views []View `json:"views"`
}

// View is a value and the hosts that report it.
type View struct {
	Value string   `json:"value"`
	Hosts []string `json:"hosts"`
}

func (a *app) newStatus() *cobra.Command {
	var showPeers, showTargets bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of all hosts, and where they disagree",
		Args:  cobra.NoArgs,
		RunE: a.run(func(cmd *cobra.Command, _ []string) error {
			o, err := a.deployment.operatorsClient()
			if err != nil {
				return errors.Trace(err)
			}
			r := &statusReport{showPeers: showPeers, showTargets: showTargets}
			r.Hosts = o.statuses(cmd.Context(), a.deployment.Operators)
			r.Disagreements = disagreements(r.Hosts)
			if err := a.print(r); err != nil {
				return errors.Trace(err)
			}
			return r.exitError()
		}),
	}
	cmd.Flags().BoolVar(&showPeers, "peers", false, "show the other entry hosts as each host sees them")
	cmd.Flags().BoolVar(&showTargets, "targets", false, "show the targets as each host sees them")
	return cmd
}

// statusReport is a StatusReport with the choice of optional tables.
type statusReport struct {
	StatusReport
	showPeers, showTargets bool
}

func (r *statusReport) exitError() error {
	for _, h := range r.Hosts {
		if h.Status == nil {
			return &StatusError{Status: ExitDiffers, Reason: h.Operator + " does not answer"}
		}
	}
	if len(r.Disagreements) > 0 {
		return &StatusError{Status: ExitDiffers, Reason: "hosts disagree"}
	}
	return nil
}

func (r *statusReport) table(w *tableWriter) {
	w.row("HOST", "ZONE", "STATE", "REVISION", "PRESET", "IN FORCE", "HEARD FROM", "PLATFORM", "PEERS", "TARGETS", "RUNNING", "QUEUED")
	for _, h := range r.Hosts {
		if h.Status == nil {
			w.row(h.Operator, "-", "no answer")
			continue
		}
		s := h.Status
		w.row(h.Operator, s.Zone, stateOf(s), s.Config.Revision, orDash(s.Config.Preset), formatMs(s.Config.InForceMs),
			orDash(s.Config.ReceivedFrom), formatMs(s.Config.PlatformSilentMs), peersAlive(s), targetsEligible(s),
			s.Requests.Running, s.Requests.Queued)
	}
	if r.showPeers {
		r.peersTable(w)
	}
	if r.showTargets {
		r.targetsTable(w)
	}
	r.notes(w)
}

func stateOf(s *api.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	}
	return "not ready"
}

func peersAlive(s *api.Status) string {
	alive := 0
	for _, p := range s.Peers {
		if p.Alive {
			alive++
		}
	}
	return fmt.Sprintf("%d/%d", alive, len(s.Peers))
}

func targetsEligible(s *api.Status) string {
	eligible := 0
	for _, t := range s.Targets {
		if t.Eligible {
			eligible++
		}
	}
	return fmt.Sprintf("%d/%d", eligible, len(s.Targets))
}

func (r *statusReport) peersTable(w *tableWriter) {
	w.line("")
	w.row("HOST", "PEER", "ZONE", "ALIVE", "DRAINING", "REVISION", "LAST HEARD")
	for _, h := range r.Hosts {
		if h.Status == nil {
			continue
		}
		for _, p := range h.Status.Peers {
			w.row(h.Operator, p.Address, p.Zone, p.Alive, p.Draining, p.Revision, formatMs(p.SilentMs))
		}
	}
}

func (r *statusReport) targetsTable(w *tableWriter) {
	w.line("")
	w.row("HOST", "TARGET", "ZONE", "KIND", "STATE", "ELIGIBLE", "IN FLIGHT", "PENDING TOKENS", "SAYS")
	for _, h := range r.Hosts {
		if h.Status == nil {
			continue
		}
		for _, t := range h.Status.Targets {
			w.row(h.Operator, t.Address, t.Zone, t.Kind, t.State, t.Eligible, t.InFlight, t.PendingTokens, targetSays(&t))
		}
	}
}

// targetSays returns what a target has said of itself, as far as it holds, and what holds of it beside.
func targetSays(t *api.TargetStatus) string {
	var says []string
	if t.Limit > 0 {
		says = append(says, fmt.Sprintf("limit %g/s", t.Limit))
	}
	if t.Cold {
		says = append(says, "cold")
	}
	if t.Evacuated {
		says = append(says, "evacuated")
	}
	if t.SaysLeaving {
		says = append(says, "leaving")
	}
	if t.HeldOffMs > 0 {
		says = append(says, "nothing for "+formatMs(t.HeldOffMs))
	}
	return orDash(strings.Join(says, ", "))
}

func (r *statusReport) notes(w *tableWriter) {
	for _, h := range r.Hosts {
		if h.Status == nil {
			w.line("%s: %s", h.Operator, h.Error)
			continue
		}
		hostNotes(w, h.Operator, h.Status)
	}
	if len(r.Disagreements) == 0 {
		w.line("hosts agree")
		return
	}
	for _, d := range r.Disagreements {
		var views []string
		for _, v := range d.Views {
			views = append(views, fmt.Sprintf("%s (%s)", v.Value, strings.Join(v.Hosts, ", ")))
		}
		w.line("hosts disagree on %s: %s", d.Matter, strings.Join(views, "; "))
	}
}

// hostNotes writes the conditions of one host that need an operator's attention.
func hostNotes(w *tableWriter, operator string, s *api.Status) {
	if s.NotReadyReason != "" {
		w.line("%s is not ready: %s", operator, s.NotReadyReason)
	}
	for _, warning := range s.Warnings {
		w.line("%s warns: %s", operator, warning)
	}
	if len(s.Evacuated) > 0 {
		w.line("%s sends nothing new to %s", operator, strings.Join(s.Evacuated, ", "))
	}
	for i := range s.Withheld {
		w.line("%s withholds %s", operator, withheldText(&s.Withheld[i]))
	}
	for _, one := range s.Spillover {
		if one.Share > 0 {
			w.line("%s sends %.2f of the short prompts for %s to zone %s", operator, one.Share, one.Service, one.Zone)
		}
	}
	if s.Config.Rejected > 0 {
		w.line("%s refused %d documents, the last: %s", operator, s.Config.Rejected, s.Config.LastRejection)
	}
}

// withheldText describes what a host withholds, and why.
func withheldText(p *api.WithheldWork) string {
	subject := "prompts with parts " + strings.Join(p.Parts, " ")
	if p.Work != "" {
		subject = "request " + p.Work
	}
	next := "the next in " + formatMs(p.NextProbeMs)
	if p.NextProbeMs == api.NoProbe {
		next = "no other until it is released"
	}
	return fmt.Sprintf("%s for %s: targets ended at %d moments, seen by %s; found by %s, %d let through, %s",
		subject, formatMs(p.SinceMs), p.Ends, strings.Join(p.Hosts, ", "), p.By, p.Probes, next)
}

// viewCollector groups hosts by the value that they report on each matter. matters lists each matter once.
type viewCollector struct {
	matters []string
	views   map[string][]View
}

func (c *viewCollector) add(matter, value, host string) {
	views, known := c.views[matter]
	if !known {
		c.matters = append(c.matters, matter)
	}
	index := slices.IndexFunc(views, func(v View) bool { return v.Value == value })
	if index < 0 {
		c.views[matter] = append(views, View{Value: value, Hosts: []string{host}})
		return
	}
	views[index].Hosts = append(views[index].Hosts, host)
}

// disagreements compares the configuration, peers and targets that the responding hosts report. The result is sorted
// by matter.
func disagreements(hosts []HostStatus) []Disagreement {
	collector := &viewCollector{views: make(map[string][]View)}
	for _, h := range hosts {
		if s := h.Status; s != nil {
			collector.add("the configuration in force", configurationOf(s), h.Operator)
			collector.addPeers(h)
			collector.addTargets(h)
		}
	}
	out := []Disagreement{}
	for _, matter := range collector.matters {
		if len(collector.views[matter]) > 1 {
			out = append(out, Disagreement{Matter: matter, Views: collector.views[matter]})
		}
	}
	slices.SortStableFunc(out, func(a, b Disagreement) int { return cmp.Compare(a.Matter, b.Matter) })
	return out
}

// configurationOf identifies the configuration in force. The digest distinguishes two documents of one revision.
func configurationOf(s *api.Status) string {
	return fmt.Sprintf("revision %d preset %s digest %s", s.Config.Revision, s.Config.Preset, orDash(s.Config.Digest))
}

func (c *viewCollector) addPeers(h HostStatus) {
	for _, p := range h.Status.Peers {
		value := "silent"
		if p.Alive {
			value = "alive as " + p.Incarnation
		}
		c.add("entry host "+p.Address, value, h.Operator)
	}
}

func (c *viewCollector) addTargets(h HostStatus) {
	for _, t := range h.Status.Targets {
		value := t.State + ", no new work"
		if t.Eligible {
			value = t.State + ", eligible"
		}
		c.add("target "+t.Address, value, h.Operator)
	}
}
