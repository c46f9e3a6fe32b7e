package daemon

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// logBacklog is how many lines may wait for standard output; further ones are left out and counted.
const logBacklog = 4096

// logWriter writes lines on a goroutine of its own, so that nobody waits for whoever reads the log.
type logWriter struct {
	lines   chan []byte
	leftOut atomic.Uint64
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logBacklog)}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.leftOut.Add(1)
	}
	return len(line), nil
}

func (w *logWriter) run(out io.Writer) {
	for line := range w.lines {
		if n := w.leftOut.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(out, `{"@level":"warn","@message":"log lines left out","count":%d}`+"\n", n)
		}
		_, _ = out.Write(line) // there is nowhere else to say that standard output is gone
	}
}

// flushTimeout bounds how long the end of the process waits for its last lines.
const flushTimeout = 200 * time.Millisecond

// flush waits until the lines that were handed in are written.
func (w *logWriter) flush() {
	for end := time.Now().Add(flushTimeout); len(w.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

func newLogger(level string, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "carobshuntd", Level: hclog.LevelFromString(level), Output: out, JSONFormat: true,
		DisableTime: false, TimeFormat: time.RFC3339Nano,
	})
}
