package fake

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"carobshunt/internal/core/order"

	"github.com/labstack/echo/v4"
)

// WeightStore gives models to engines.
type WeightStore interface {
	// Load asks for a model; it reports false when the store's rate is used up.
	Load(order.Model) bool
}

// Weights is a weight store that gives out so many models in any minute and refuses more.
type Weights struct {
	perMinute int

	mu      sync.Mutex
	begun   []time.Time
	refused int
}

// PathLoads is where engines ask a weight store for a model, and where it tells what it gave.
const PathLoads = "/v1/weights/loads"

// WeightCounts is what a weight store tells of itself.
type WeightCounts struct {
	Loads   int `json:"loads"`
	Refused int `json:"refused"`
}

// NewWeights returns a store with that rate; 0 for none.
func NewWeights(perMinute int) *Weights { return &Weights{perMinute: perMinute} }

// Register adds the routes.
func (s *Weights) Register(e *echo.Echo) {
	e.GET(PathLoads, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) })
	e.POST(PathLoads, func(c echo.Context) error {
		var m order.Model
		if err := json.NewDecoder(c.Request().Body).Decode(&m); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		if !s.Load(m) {
			return c.NoContent(http.StatusTooManyRequests)
		}
		return c.NoContent(http.StatusOK)
	})
}

// Load implements WeightStore.
func (s *Weights) Load(order.Model) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := 0
	for _, at := range s.begun {
		if time.Since(at) < time.Minute {
			recent++
		}
	}
	if s.perMinute > 0 && recent >= s.perMinute {
		s.refused++
		return false
	}
	s.begun = append(s.begun, time.Now())
	return true
}

// Counts tells what the store gave and refused.
func (s *Weights) Counts() WeightCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return WeightCounts{Loads: len(s.begun), Refused: s.refused}
}

// remoteWeights asks a weight store over HTTP.
type remoteWeights struct {
	address string
	client  *http.Client
}

const weightsTimeout = 5 * time.Second

// RemoteWeights returns the weight store at an address.
func RemoteWeights(address string) WeightStore {
	return &remoteWeights{address: address, client: &http.Client{Timeout: weightsTimeout}}
}

// Load implements WeightStore.
func (r *remoteWeights) Load(m order.Model) bool {
	raw, err := json.Marshal(m)
	if err != nil {
		return false
	}
	resp, err := r.client.Post("http://"+r.address+PathLoads, echo.MIMEApplicationJSON, bytes.NewReader(raw))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
