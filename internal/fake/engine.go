// Package fake has stand-ins for the external systems: a model engine, a plain service, and the platform with its
// configuration service and host list. They implement the published protocols as JSON over HTTP and keep all state in
// memory.
package fake

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobshunt/internal/core/sweep"
	"carobshunt/internal/core/target"
	"carobshunt/internal/dispatch"
	"carobshunt/internal/engines"

	"github.com/labstack/echo/v4"
)

// EngineOptions configure an Engine.
type EngineOptions struct {
	// Speed is how many times as fast as the reference engine this one is; 0 means 1. It divides all durations but the
	// expiry of reservations and loadRetryInterval.
	Speed float64
	// MemoryTokens is the KV memory in tokens; 0 means DefaultMemoryTokens.
	MemoryTokens int64
	// ChecksFencing makes the engine refuse orders whose fencing number is not above the highest one received.
	ChecksFencing bool
	// Weights is the store that models are loaded from; nil means one without a rate limit.
	Weights WeightStore
}

// DefaultMemoryTokens is the KV memory of the reference engine, in tokens.
const DefaultMemoryTokens = 450_000

// Engine is a model engine that prefills at a fixed rate and then generates its answer token by token. A stream
// continues when its connection drops; it holds its memory until its whole answer is fetched or it is canceled. Engine is
// safe for concurrent use.
type Engine struct {
	opts EngineOptions

	mu      sync.Mutex
	memory  *memory
	streams map[string]*engineStream
	// unnamed counts the streams that came without a name.
	unnamed uint64
	started int
	orders  orderState
}

// Performance of an engine of speed 1.
const (
	// prefillTokensPerSecond is the prefill rate in weighted tokens per second.
	prefillTokensPerSecond = 20_000
	// positionWeightTokens is the position at which a prompt token costs twice as much as the first one.
	positionWeightTokens = 200_000
	// tokenInterval is the inter-token gap.
	tokenInterval = 16 * time.Millisecond
	// groupEfficiency is the share of its members' total prefill rate that a group achieves.
	groupEfficiency = 0.8
	// memoryTimeout is how long a stream is queued for memory before it is refused.
	memoryTimeout = 5 * time.Second
)

// NewEngine returns an engine that runs speed times as fast as the reference.
func NewEngine(speed float64) *Engine { return NewEngineWith(EngineOptions{Speed: speed}) }

// NewEngineWith returns an engine with the given options.
func NewEngineWith(opts EngineOptions) *Engine {
	if opts.Speed == 0 {
		opts.Speed = 1
	}
	if opts.MemoryTokens == 0 {
		opts.MemoryTokens = DefaultMemoryTokens
	}
	g := &Engine{opts: opts, streams: make(map[string]*engineStream)}
	g.memory = newMemory(opts.MemoryTokens, g.endReservationStreams)
	return g
}

// Register adds the engine's routes to e.
func (g *Engine) Register(e *echo.Echo) {
	e.POST(dispatch.PathStreams, g.start)
	e.GET(dispatch.PathStreams, g.listStreams)
	e.GET(dispatch.PathStreams+"/:name/resume", withName(g.resume))
	e.DELETE(dispatch.PathStreams+"/:name", withName(g.cancel))
	e.GET(dispatch.PathLoad, g.reportLoad)
	e.GET(engines.PathMemory, g.listHoldings)
	e.PUT(engines.PathReservations+"/:name", withName(g.reserve))
	e.DELETE(engines.PathReservations+"/:name", withName(g.release))
	e.GET(engines.PathReservations, g.listReservations)
	e.POST(engines.PathExports+"/:name", withName(g.export))
	e.GET(engines.PathExports+"/:name", withName(g.readExport))
	e.DELETE(engines.PathExports+"/:name", withName(g.dropExport))
	e.GET(engines.PathOrders, g.getOrders)
	e.PUT(engines.PathOrders, g.order)
}

// withName passes the path parameter "name" to a handler.
func withName(handler func(echo.Context, string) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		name, err := url.PathUnescape(c.Param("name"))
		if err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		return handler(c, name)
	}
}

// start accepts a stream and sends its answer. For a name that is already running, it sends that stream's answer from the
// start.
func (g *Engine) start(c echo.Context) error {
	header := c.Request().Header
	if _, err := io.Copy(io.Discard, c.Request().Body); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	s := newEngineStream(header.Get(dispatch.HeaderStream))
	s.prompt = headerInt(header, dispatch.HeaderPromptTokens)
	s.answer = headerInt(header, dispatch.HeaderAnswerTokens)
	s.group = len(strings.Split(header.Get(dispatch.HeaderGroup), ","))
	s.reservation = header.Get(dispatch.HeaderReservation)
	running, added := g.addStream(s)
	if running == nil {
		return c.NoContent(http.StatusTooManyRequests)
	}
	if added {
		if !g.waitForMemory(c, s) {
			return c.NoContent(http.StatusTooManyRequests)
		}
		g.mu.Lock()
		g.started++
		g.mu.Unlock()
		go g.run(s)
	}
	return g.follow(c, running, 0)
}

// addStream adds a stream and queues it for memory, or returns the one that already has its name. It returns nil if the stream
// needs more memory than the engine has, or if its reservation is not held.
func (g *Engine) addStream(s *engineStream) (running *engineStream, added bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.name == "" {
		g.unnamed++
		s.name = "unnamed-" + strconv.FormatUint(g.unnamed, 10)
	}
	if running = g.streams[s.name]; running != nil {
		return running, false
	}
	tokens := s.prompt + s.answer
	if s.reservation != "" {
		if !g.memory.isGranted(sweep.KindReservation, s.reservation) {
			return nil, false
		}
		tokens = 0
	}
	if tokens > g.opts.MemoryTokens {
		return nil, false
	}
	g.streams[s.name] = s
	s.hold = g.memory.enqueue(sweep.KindStream, s.name, tokens)
	return s, true
}

// waitForMemory waits until a new stream gets its memory. It drops the stream and reports false after memoryTimeout, or if the
// client leaves or the stream is canceled first.
func (g *Engine) waitForMemory(c echo.Context, s *engineStream) bool {
	timer := time.NewTimer(g.scaled(memoryTimeout))
	defer timer.Stop()
	select {
	case <-s.hold.granted:
		return true
	case <-timer.C:
	case <-c.Request().Context().Done():
	case <-s.canceled:
	}
	g.drop(s.name)
	return false
}

// run generates the answer.
func (g *Engine) run(s *engineStream) {
	if !g.pause(s, g.prefillTime(s)) {
		return
	}
	g.mu.Lock()
	s.prefilled = true
	g.mu.Unlock()
	for i := range s.answer {
		s.append("token" + strconv.FormatInt(i, 10) + " ")
		if !g.pause(s, tokenInterval) {
			return
		}
	}
	s.finish()
}

// prefillTime returns the duration of a prompt's prefill at speed 1, with each token weighted by its position. A group
// shares the work.
func (g *Engine) prefillTime(s *engineStream) time.Duration {
	weight := 1 + float64(s.prompt)/2/positionWeightTokens
	rate := float64(prefillTokensPerSecond)
	if s.reservation != "" {
		rate *= groupEfficiency * float64(s.group)
	}
	return time.Duration(float64(s.prompt) * weight / rate * float64(time.Second))
}

// scaled converts a duration at speed 1 to one at the engine's speed.
func (g *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / g.opts.Speed)
}

// pause waits for a duration, given at speed 1. It reports false if the stream is canceled first.
func (g *Engine) pause(s *engineStream, d time.Duration) bool {
	timer := time.NewTimer(g.scaled(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.canceled:
		return false
	}
}

// headerInt returns a header as a number, or 0 if it is missing or invalid.
func headerInt(h http.Header, name string) int64 {
	n, _ := strconv.ParseInt(h.Get(name), 10, 64)
	return n
}

// resume sends a stream's answer from an offset in bytes.
func (g *Engine) resume(c echo.Context, name string) error {
	offset, err := strconv.ParseInt(c.QueryParam("offset"), 10, 64)
	if err != nil || offset < 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	g.mu.Lock()
	s := g.streams[name]
	g.mu.Unlock()
	if s == nil {
		return c.NoContent(http.StatusNotFound)
	}
	return g.follow(c, s, offset)
}

// follow sends a stream's answer from an offset in bytes, as it is generated. Once the end is sent, the stream is dropped.
func (g *Engine) follow(c echo.Context, s *engineStream, offset int64) error {
	g.attach(s, 1)
	defer g.attach(s, -1)
	w := newAnswerWriter(c.Response(), offset)
	c.Response().Flush() // the status tells the client that the stream is accepted
	for {
		text, done, changed := s.read(w.offset)
		switch {
		case text != "":
			if !w.write(text) {
				return nil
			}
		case done:
			if err := w.end(s.fullText()); err == nil && c.Request().Context().Err() == nil {
				g.drop(s.name)
			}
			return nil
		default:
			select {
			case <-changed:
			case <-s.canceled:
				panic(http.ErrAbortHandler) // closes the connection, so that the client sees a truncated answer
			case <-c.Request().Context().Done():
				return nil
			}
		}
	}
}

// attach changes the number of clients that read a stream.
func (g *Engine) attach(s *engineStream, delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.hold.attached += delta
}

func (g *Engine) cancel(c echo.Context, name string) error {
	if !g.drop(name) {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusNoContent)
}

// drop ends a stream and frees its memory. It reports whether the stream existed.
func (g *Engine) drop(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dropLocked(name)
}

// dropLocked is drop with the lock held.
func (g *Engine) dropLocked(name string) bool {
	s := g.streams[name]
	if s == nil {
		return false
	}
	delete(g.streams, name)
	close(s.canceled)
	g.memory.free(sweep.KindStream, name)
	return true
}

// endReservationStreams ends the streams that use a reservation. The lock must be held.
func (g *Engine) endReservationStreams(name string) {
	for _, s := range g.streams {
		if s.reservation == name {
			g.dropLocked(s.name)
		}
	}
}

func (g *Engine) reportLoad(c echo.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memory.expire()
	report := target.Report{UsedTokens: g.memory.used}
	for _, s := range g.streams {
		report.Streams++
		if !s.prefilled {
			report.QueuedTokens += s.prompt + s.answer
		}
	}
	return c.JSON(http.StatusOK, report)
}

// Started returns the number of streams that were started, that is, got their memory.
func (g *Engine) Started() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started
}

// UsedTokens returns the KV memory in use, in tokens.
func (g *Engine) UsedTokens() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memory.expire()
	return g.memory.used
}

// Holdings lists everything that holds memory or is queued for it, by kind and name.
func (g *Engine) Holdings() []sweep.Holding {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memory.expire()
	return g.memory.list()
}
