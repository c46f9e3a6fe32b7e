package daemon

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// logBacklog is the number of lines that may wait for standard output; further lines are dropped and counted.
const logBacklog = 4096

// logWriter writes lines on a goroutine of its own, so that a slow reader of the log never blocks the daemon.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logBacklog)}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks: a line that exceeds the backlog is dropped.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the lines, with the number of dropped ones before the next line.
func (w *logWriter) run(out io.Writer) {
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(out, `{"@level":"warn","@message":"log lines left out","count":%d}`+"\n", n)
		}
		_, _ = out.Write(line) // an error of standard output can't be reported anywhere
	}
}

// flushTimeout bounds how long the process waits for its last log lines when it exits.
const flushTimeout = 200 * time.Millisecond

// flush waits until the backlog is empty, for up to flushTimeout. The last line may still be being written then.
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
