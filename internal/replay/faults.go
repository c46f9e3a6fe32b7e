package replay

import (
	"encoding/json"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/node"
	"carobshunt/internal/trace"
	"carobshunt/internal/virtual"
)

// addFaults schedules the faults of the trace.
func (r *run) addFaults() error {
	for _, f := range r.opts.Trace.Faults {
		inject := r.faultAction(f)
		if inject == nil {
			return &FaultError{Fault: f}
		}
		r.world.At(warmup+time.Duration(f.AtMs)*time.Millisecond, inject)
	}
	return nil
}

// faultAction returns a function that injects a fault, or nil if the kind or the subject is unknown; zones are not
// checked. A cut replaces the previous one, and HealZone ends it whatever its subject.
func (r *run) faultAction(f trace.Fault) func() {
	switch f.Kind {
	case trace.KillEngine:
		if t := r.engines[f.Subject]; t != nil {
			return func() { t.kill(r.world) }
		}
	case trace.KillHost:
		if h := r.hostAt(f.Subject); h != nil {
			return func() { r.killHost(h) }
		}
	case trace.StartHost:
		if h := r.hostAt(f.Subject); h != nil {
			return func() {
				h.Start()
				r.publishTo(h)
			}
		}
	case trace.CutZone:
		return func() { r.cutZone = f.Subject }
	case trace.HealZone:
		return func() { r.cutZone = "" }
	case trace.SetPreset:
		if _, ok := r.doc.Presets[f.Subject]; ok {
			return func() { r.publishPreset(f.Subject) }
		}
	case trace.LostConnection:
		return r.loseConnection(f.Subject)
	}
	return nil
}

func (r *run) hostAt(address string) *virtual.Host {
	for _, h := range r.hosts {
		if h.Self().Address == address {
			return h
		}
	}
	return nil
}

// killHost kills a host's process and breaks its connections to engines and callers.
func (r *run) killHost(h *virtual.Host) {
	h.Kill()
	for _, t := range r.orderedEngines {
		t.handleHostDeath(h)
	}
	r.breakConnections(h)
}

// publishPreset publishes a new revision of the document with another active preset, at once on all hosts.
func (r *run) publishPreset(name string) {
	r.doc.Revision++
	r.doc.Active = name
	raw, err := json.Marshal(r.doc)
	if err != nil {
		return
	}
	r.opts.Document = raw
	for _, h := range r.hosts {
		h.Post(node.DocumentReceived{Raw: raw, Source: conf.SourcePlatform})
	}
}
