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

// WeightStore provides the weights of models to engines.
type WeightStore interface {
	// Load requests a model and reports whether the store provides it. It does not while its rate limit is reached.
	Load(order.Model) bool
}

// Weights is a weight store with a limit on the loads in any one minute. It is safe for concurrent use.
type Weights struct {
	perMinute int

	mu        sync.Mutex
	loadTimes []time.Time // when each load began
	refused   int
}

// PathLoads is the path at which engines load a model (POST) and a weight store reports its counts (GET).
const PathLoads = "/v1/weights/loads"

// WeightCounts are the numbers of loads that a weight store accepted and refused.
type WeightCounts struct {
	Loads   int `json:"loads"`
	Refused int `json:"refused"`
}

// NewWeights returns a store that accepts at most perMinute loads in any minute; 0 means no limit.
func NewWeights(perMinute int) *Weights { return &Weights{perMinute: perMinute} }

// Register adds the weight store's routes to e.
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
	for _, at := range s.loadTimes {
		if time.Since(at) < time.Minute {
			recent++
		}
	}
	if s.perMinute > 0 && recent >= s.perMinute {
		s.refused++
		return false
	}
	s.loadTimes = append(s.loadTimes, time.Now())
	return true
}

// Counts returns the loads accepted and refused so far.
func (s *Weights) Counts() WeightCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return WeightCounts{Loads: len(s.loadTimes), Refused: s.refused}
}

// remoteWeights is a WeightStore that is reached over HTTP.
type remoteWeights struct {
	address string
	client  *http.Client
}

const weightsTimeout = 5 * time.Second

// RemoteWeights returns the weight store at an IP address and port. Load treats errors of the connection as refusals.
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
