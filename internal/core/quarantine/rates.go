package quarantine

import (
	"math"
	"time"

	"carobshunt/internal/core"
)

// rateTime is the time constant with which past runs count less.
const rateTime = 10 * time.Second

// Rates tell how prompts that were not proven harmless yet have fared lately, with a weight that falls with their age.
type Rates struct {
	// Proven counts those that were proven harmless.
	Proven float64 `json:"p,omitempty"`
	// ExposureMs is how long all ran until they were lost or proven harmless, in milliseconds.
	ExposureMs float64 `json:"e,omitempty"`
}

// plus returns the sum of two rates.
func (r Rates) plus(o Rates) Rates {
	return Rates{Proven: r.Proven + o.Proven, ExposureMs: r.ExposureMs + o.ExposureMs}
}

// rounded returns the rates with few digits, for messages.
func (r Rates) rounded() Rates {
	return Rates{Proven: math.Round(r.Proven*10) / 10, ExposureMs: math.Round(r.ExposureMs)}
}

// valid reports whether rates that a peer sent are finite and not negative.
func (r Rates) valid() bool {
	for _, v := range []float64{r.Proven, r.ExposureMs} {
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

// weight returns the weight of what is that old.
func weight(age time.Duration) float64 { return math.Exp(-float64(max(age, 0)) / float64(rateTime)) }

// decay brings the rates up to an instant.
func (r *rates) decay(now core.Time) {
	w := weight(now - r.at)
	r.Proven *= w
	r.ExposureMs *= w
	r.at = now
}

// lost counts a prompt that was lost after an exposure.
func (r *rates) lost(now core.Time, exposure time.Duration) {
	r.decay(now)
	r.ExposureMs += ms(exposure)
}

// proven counts a prompt that was proven harmless after an exposure.
func (r *rates) proven(now core.Time, exposure time.Duration) {
	r.decay(now)
	r.Proven++
	r.ExposureMs += ms(exposure)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
