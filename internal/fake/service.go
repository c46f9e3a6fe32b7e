package fake

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"carobshunt/internal/dispatch"

	"github.com/labstack/echo/v4"
)

// PathArrivals is the path below which a Service reports how often a call arrived.
const PathArrivals = "/v1/arrivals"

// serviceTime is how long the service takes to answer a call.
const serviceTime = 20 * time.Millisecond

// Service is a plain service that counts how often each call arrives, by which tests detect duplicate executions. It is
// safe for concurrent use.
type Service struct {
	mu       sync.Mutex
	arrivals map[string]int
}

// Arrivals is the number of times that a call arrived.
type Arrivals struct {
	Call  string `json:"call"` // as "team/identifier"
	Count int    `json:"count"`
}

// NewService returns a service without arrivals.
func NewService() *Service { return &Service{arrivals: make(map[string]int)} }

// Register adds the service's routes to e.
func (s *Service) Register(e *echo.Echo) {
	e.POST(dispatch.PathCalls, s.call)
	e.GET(PathArrivals+"/:team/:id", s.count)
}

func (s *Service) call(c echo.Context) error {
	id := callID(c.Request().Header.Get(dispatch.HeaderStream))
	if _, err := io.Copy(io.Discard, c.Request().Body); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	s.arrivals[id]++
	number := s.arrivals[id]
	s.mu.Unlock()
	time.Sleep(serviceTime)
	w := newAnswerWriter(c.Response(), 0)
	text := fmt.Sprintf("call %s arrival %d", id, number)
	w.write(text)
	return w.end(text)
}

func (s *Service) count(c echo.Context) error {
	team, err1 := url.PathUnescape(c.Param("team"))
	id, err2 := url.PathUnescape(c.Param("id"))
	if err1 != nil || err2 != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	call := team + "/" + id
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, Arrivals{Call: call, Count: s.arrivals[call]})
}

// Arrived returns how often a call arrived.
func (s *Service) Arrived(team, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[team+"/"+id]
}
