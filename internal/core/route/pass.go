package route

import (
	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
)

// pass holds the states of engines during a placement pass. They are computed once for all requests of a service, and again after
// the load has changed.
type pass struct {
	// active is set during a pass; otherwise nothing is kept.
	active bool
	// loads is the version of the loads for which the services hold.
	loads    uint64
	services map[string]*serviceEngines
}

// serviceEngines are the states of the engines of a service, with a published speed, that take new work.
type serviceEngines struct {
	states []engineState
	// freeSlot is set if any of them has a free slot; known is set once all this is up to date.
	freeSlot, known bool
}

// engines returns the engines of a service.
func (p *pass) engines(now core.Time, service string, targets []*target.Target) *serviceEngines {
	if p.services == nil {
		p.services = make(map[string]*serviceEngines)
	}
	e := p.services[service]
	if e == nil {
		e = &serviceEngines{}
		p.services[service] = e
	}
	if !e.known || !p.active {
		e.update(now, service, targets)
		e.known = true
	}
	return e
}

func (e *serviceEngines) update(now core.Time, service string, targets []*target.Target) {
	e.states, e.freeSlot = e.states[:0], false
	for _, t := range targets {
		if t.Engine == nil || !t.Serves(service) || !(eligibleFilter{}).Keep(now, nil, t) {
			continue
		}
		s := engineStateOf(t)
		e.states = append(e.states, s)
		e.freeSlot = e.freeSlot || s.load.Streams < t.Slots
	}
}

// forget makes the pass compute the states anew.
func (p *pass) forget() {
	for _, e := range p.services {
		e.known = false
	}
}

// BeginPass starts a placement pass: until EndPass, targets change only by what Refresh announces.
func (r *Router) BeginPass() {
	r.pass.active = true
	r.pass.forget()
}

// Refresh announces the version of the targets' loads during a pass.
func (r *Router) Refresh(loads uint64) {
	if loads != r.pass.loads {
		r.pass.loads = loads
		r.pass.forget()
	}
}

// maxPassServices bounds the services that are kept from one pass to the next, for their buffers.
const maxPassServices = 256

// EndPass ends a placement pass.
func (r *Router) EndPass() {
	r.pass.active = false
	if len(r.pass.services) > maxPassServices {
		clear(r.pass.services)
	}
}
