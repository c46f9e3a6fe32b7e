package daemon

import (
	"strings"
	"testing"
	"time"

	"carobshunt/internal/testlog"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	testlog.Buffer
	release chan struct{}
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

func TestLogWriterDropsAndCountsLinesInsteadOfBlocking(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := newLogWriter(out)
	log := newLogger("info", w)
	for range logBacklog + 100 {
		log.Info("line", "id", "a1")
	}
	close(out.release)
	w.flush()
	log.Info("last")
	w.flush()
	for !strings.Contains(out.String(), `"last"`) {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, strings.Contains(out.String(), `"log lines left out","count":`))
	first, _, _ := strings.Cut(out.String(), "\n")
	assert.Assert(t, strings.Contains(first, `"id":"a1"`), first)
}
