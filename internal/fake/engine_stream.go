package fake

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"carobshunt/internal/dispatch"
	"carobshunt/internal/stream"

	"github.com/labstack/echo/v4"
)

// engineStream is one stream. Its numbers don't change after the start; prefilled and hold belong to the engine.
type engineStream struct {
	name        string
	prompt      int64
	answer      int64
	group       int
	reservation string
	prefilled   bool
	hold        *hold
	canceled    chan struct{}

	mu      sync.Mutex
	text    strings.Builder
	done    bool
	changed chan struct{}
}

func newEngineStream(name string) *engineStream {
	return &engineStream{name: name, canceled: make(chan struct{}), changed: make(chan struct{})}
}

func (s *engineStream) append(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text.WriteString(text)
	s.wake()
}

func (s *engineStream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	s.wake()
}

// wake must be called with the lock held.
func (s *engineStream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns what follows an offset, whether the stream is done, and a channel that is closed at the next change.
func (s *engineStream) read(offset int64) (text string, done bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := s.text.String()
	return whole[min(offset, int64(len(whole))):], s.done, s.changed
}

func (s *engineStream) whole() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// answerWriter writes the frames of a streamed answer.
type answerWriter struct {
	response *echo.Response
	encoder  *json.Encoder
	offset   int64
}

func newAnswerWriter(response *echo.Response, offset int64) *answerWriter {
	response.Header().Set(echo.HeaderContentType, "application/x-ndjson")
	response.WriteHeader(http.StatusOK)
	return &answerWriter{response: response, encoder: json.NewEncoder(response), offset: offset}
}

func (w *answerWriter) write(text string) bool {
	err := w.encoder.Encode(dispatch.TargetFrame{Offset: w.offset, Text: text})
	w.offset += int64(len(text))
	w.response.Flush()
	return err == nil
}

// end closes the answer, whose whole text is given.
func (w *answerWriter) end(text string) error {
	err := w.encoder.Encode(dispatch.TargetFrame{
		Offset:   int64(len(text)),
		End:      true,
		Checksum: stream.Checksum([]byte(text)),
	})
	w.response.Flush()
	return err
}
