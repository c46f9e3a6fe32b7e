package daemon

import (
	"strings"
	"testing"
	"time"

	"carobshunt/internal/testlog"

	"gotest.tools/v3/assert"
)

// stuckWriter blocks writes until let is closed.
type stuckWriter struct {
	testlog.Buffer
	let chan struct{}
}

// Write implements io.Writer.
func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.let
	return w.Buffer.Write(p)
}

func TestLogNeverBlocksAndTellsWhatItLeftOut(t *testing.T) {
	out := &stuckWriter{let: make(chan struct{})}
	w := newLogWriter(out)
	log := newLogger("info", w)
	for range logBacklog + 100 {
		log.Info("line", "id", "a1")
	}
	close(out.let)
	w.flush()
	log.Info("last")
	w.flush()
	for !strings.Contains(out.String(), `"last"`) {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, strings.Contains(out.String(), `"log lines dropped","count":`))
	first, _, _ := strings.Cut(out.String(), "\n")
	assert.Assert(t, strings.Contains(first, `"id":"a1"`), first)
}
