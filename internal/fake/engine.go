// Package fake holds the small stand-ins that take the place of the outside systems: a model engine, a plain
// service, and the platform with its configuration service and host list. They speak the published protocols as
// JSON over HTTP and keep everything in memory.
package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobshunt/internal/core/target"
	"carobshunt/internal/dispatch"
	"carobshunt/internal/stream"

	"github.com/labstack/echo/v4"
)

// Engine is a model engine that prefills at a fixed rate and then writes its answer token by token.
type Engine struct {
	// speed divides all times.
	speed float64

	mu      sync.Mutex
	streams map[string]*engineStream
}

// engineStream is one running stream.
type engineStream struct {
	Name   string `json:"name"`
	Tokens int64  `json:"tokens"`
	// prefilling is set until the first token.
	prefilling bool
	canceled   chan struct{}
}

// StreamInfo is a line of an engine's list of streams.
type StreamInfo struct {
	Name string `json:"name"`
	// Tokens is the KV memory that the stream holds, in tokens.
	Tokens int64 `json:"tokens"`
}

// Rates of the stand-in.
const (
	prefillTokensPerSecond = 20_000
	positionWeightTokens   = 200_000
	tokenInterval          = 16 * time.Millisecond
)

// NewEngine returns an engine that runs speed times as fast as the reference.
func NewEngine(speed float64) *Engine {
	return &Engine{speed: speed, streams: make(map[string]*engineStream)}
}

// Register adds the routes.
func (g *Engine) Register(e *echo.Echo) {
	e.POST(dispatch.PathStreams, g.start)
	e.GET(dispatch.PathStreams, g.list)
	e.DELETE(dispatch.PathStreams+"/:name", g.cancel)
	e.GET(dispatch.PathLoad, g.load)
}

func (g *Engine) start(c echo.Context) error {
	header := c.Request().Header
	prompt := headerNumber(header, dispatch.HeaderPromptTokens)
	answer := headerNumber(header, dispatch.HeaderAnswerTokens)
	if _, err := io.Copy(io.Discard, c.Request().Body); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	s := &engineStream{
		Name:       header.Get(dispatch.HeaderStream),
		Tokens:     prompt + answer,
		prefilling: true,
		canceled:   make(chan struct{}),
	}
	g.add(s)
	defer g.remove(s.Name)
	if !g.sleep(c, s, prefillTime(prompt)) {
		return nil
	}
	g.setPrefilled(s)
	w := newAnswerWriter(c.Response())
	for i := range answer {
		if !w.write(fmt.Sprintf("token%d ", i)) || !g.sleep(c, s, tokenInterval) {
			return nil
		}
	}
	return w.end()
}

// prefillTime is how long a prompt takes, each token weighted by its position.
func prefillTime(tokens int64) time.Duration {
	weight := 1 + float64(tokens)/2/positionWeightTokens
	return time.Duration(float64(tokens) * weight / prefillTokensPerSecond * float64(time.Second))
}

func headerNumber(h http.Header, name string) int64 {
	n, _ := strconv.ParseInt(h.Get(name), 10, 64)
	return n
}

func (g *Engine) add(s *engineStream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streams[s.Name] = s
}

func (g *Engine) remove(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.streams, name)
}

func (g *Engine) setPrefilled(s *engineStream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.prefilling = false
}

// sleep waits for a time at the engine's speed; it reports false when the stream is cancelled first.
func (g *Engine) sleep(c echo.Context, s *engineStream, d time.Duration) bool {
	timer := time.NewTimer(time.Duration(float64(d) / g.speed))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.canceled:
	case <-c.Request().Context().Done():
	}
	return false
}

func (g *Engine) list(c echo.Context) error {
	g.mu.Lock()
	out := []StreamInfo{}
	for _, s := range g.streams {
		out = append(out, StreamInfo{Name: s.Name, Tokens: s.Tokens})
	}
	g.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return c.JSON(http.StatusOK, out)
}

func (g *Engine) cancel(c echo.Context) error {
	name, err := url.PathUnescape(c.Param("name"))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.streams[name]
	if s == nil {
		return c.NoContent(http.StatusNotFound)
	}
	close(s.canceled)
	delete(g.streams, name)
	return c.NoContent(http.StatusNoContent)
}

func (g *Engine) load(c echo.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	var report target.Report
	for _, s := range g.streams {
		report.Streams++
		report.UsedTokens += s.Tokens
		if s.prefilling {
			report.QueuedTokens += s.Tokens
		}
	}
	return c.JSON(http.StatusOK, report)
}

// answerWriter writes the frames of a streamed answer.
type answerWriter struct {
	response *echo.Response
	encoder  *json.Encoder
	text     strings.Builder
}

func newAnswerWriter(response *echo.Response) *answerWriter {
	response.Header().Set(echo.HeaderContentType, "application/x-ndjson")
	response.WriteHeader(http.StatusOK)
	return &answerWriter{response: response, encoder: json.NewEncoder(response)}
}

func (w *answerWriter) write(text string) bool {
	frame := dispatch.TargetFrame{Offset: int64(w.text.Len()), Text: text}
	w.text.WriteString(text)
	err := w.encoder.Encode(frame)
	w.response.Flush()
	return err == nil
}

func (w *answerWriter) end() error {
	text := w.text.String()
	return w.encoder.Encode(dispatch.TargetFrame{
		Offset:   int64(len(text)),
		End:      true,
		Checksum: stream.Checksum([]byte(text)),
	})
}
