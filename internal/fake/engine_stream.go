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

// engineStream is one stream. The engine's lock guards prefilled and hold, mu the fields below it; the others don't change
// after the start.
type engineStream struct {
	name        string
	prompt      int64  // in tokens
	answer      int64  // in tokens
	group       int    // engines that share the prefill; 1 without a group
	reservation string // empty without a group
	prefilled   bool
	hold        *hold
	canceled    chan struct{}

	mu      sync.Mutex
	text    strings.Builder
	done    bool
	changed chan struct{} // closed at the next change of text or done
}

func newEngineStream(name string) *engineStream {
	return &engineStream{name: name, canceled: make(chan struct{}), changed: make(chan struct{})}
}

func (s *engineStream) append(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text.WriteString(text)
	s.notifyReaders()
}

func (s *engineStream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	s.notifyReaders()
}

// notifyReaders wakes the readers that wait for a change. The lock must be held.
func (s *engineStream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the text after an offset in bytes, whether the stream is done, and a channel that is closed at the next
// change.
func (s *engineStream) read(offset int64) (text string, done bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := s.text.String()
	return full[min(offset, int64(len(full))):], s.done, s.changed
}

func (s *engineStream) fullText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// answerWriter writes an answer as frames, one JSON object per line.
type answerWriter struct {
	response *echo.Response
	encoder  *json.Encoder
	offset   int64 // of the next frame, in bytes
}

func newAnswerWriter(response *echo.Response, offset int64) *answerWriter {
	response.Header().Set(echo.HeaderContentType, "application/x-ndjson")
	response.WriteHeader(http.StatusOK)
	return &answerWriter{response: response, encoder: json.NewEncoder(response), offset: offset}
}

// write sends a frame and reports whether it was written.
func (w *answerWriter) write(text string) bool {
	err := w.encoder.Encode(dispatch.TargetFrame{Offset: w.offset, Text: text})
	w.offset += int64(len(text))
	w.response.Flush()
	return err == nil
}

// end sends the last frame, with the length and the checksum of the whole answer.
func (w *answerWriter) end(text string) error {
	err := w.encoder.Encode(dispatch.TargetFrame{
		Offset:   int64(len(text)),
		End:      true,
		Checksum: stream.Checksum([]byte(text)),
	})
	w.response.Flush()
	return err
}
