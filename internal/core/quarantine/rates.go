package quarantine

import (
	"math"
	"time"

	"carobshunt/internal/core"
)

// rateTime is the time constant with which past runs count less, briefTime a shorter one: accidents may only have begun.
const (
	rateTime  = 10 * time.Second
	briefTime = 2 * time.Second
)

// HostRates are the rates of one host's requests: prompts, and requests to plain services.
type HostRates struct {
	Prompts Rates `json:"p,omitzero"`
	Plain   Rates `json:"d,omitzero"`
}

// Rates tell how requests that were not proven harmless yet have fared lately, with a weight that falls with their age.
type Rates struct {
	// Proven counts those that were proven harmless.
	Proven float64 `json:"p,omitempty"`
	// ExposureMs is how long all ran until they were lost or proven harmless, in milliseconds; BriefMs is the same with the
	// weights of briefTime.
	ExposureMs float64 `json:"e,omitempty"`
	BriefMs    float64 `json:"b,omitempty"`
}

// plus returns the sum of two rates.
func (r Rates) plus(o Rates) Rates {
	return Rates{Proven: r.Proven + o.Proven, ExposureMs: r.ExposureMs + o.ExposureMs, BriefMs: r.BriefMs + o.BriefMs}
}

// rounded returns the rates with few digits, for messages.
func (r Rates) rounded() Rates {
	return Rates{Proven: math.Round(r.Proven*10) / 10, ExposureMs: math.Round(r.ExposureMs), BriefMs: math.Round(r.BriefMs)}
}

// valid reports whether rates that a peer sent are finite and not negative.
func (r Rates) valid() bool {
	for _, v := range []float64{r.Proven, r.ExposureMs, r.BriefMs} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return true
}

// rates are the Rates of this host's own runs at an instant.
type rates struct {
	Rates
	at core.Time
}

// weight returns the weight of what is that old, for a time constant.
func weight(age, constant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(constant))
}

// decay brings the rates up to an instant.
func (r *rates) decay(now core.Time) {
	w := weight(now-r.at, rateTime)
	r.Proven *= w
	r.ExposureMs *= w
	r.BriefMs *= weight(now-r.at, briefTime)
	r.at = now
}

// exposed counts the time that a request ran until it was lost or proven harmless.
func (r *rates) exposed(now core.Time, exposure time.Duration) {
	r.decay(now)
	r.ExposureMs += ms(exposure)
	r.BriefMs += ms(exposure)
}

// proven counts a request that was proven harmless after an exposure.
func (r *rates) proven(now core.Time, exposure time.Duration) {
	r.exposed(now, exposure)
	r.Proven++
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fleetRates are the rates of all hosts for one kind of request.
type fleetRates struct {
	own   rates
	peers map[string]Rates
}

func newFleetRates() *fleetRates { return &fleetRates{peers: make(map[string]Rates)} }

// receive records the rates of a peer, unless they make no sense.
func (f *fleetRates) receive(peer string, r Rates) {
	if r.valid() {
		f.peers[peer] = r
	}
}

// total returns the rates of all hosts together.
func (f *fleetRates) total(now core.Time) Rates {
	f.own.decay(now)
	sum := f.own.Rates
	for _, r := range f.peers {
		sum = sum.plus(r)
	}
	return sum
}

// published returns this host's own rates for messages.
func (f *fleetRates) published(now core.Time) Rates {
	f.own.decay(now)
	return f.own.rounded()
}
