package testproc

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/poll"
)

// unexpectedEnds holds, by name of the test, the first of its processes that ended before the test expected it.
var unexpectedEnds sync.Map

// EndedEarlyError reports a process or daemon of a test that ended before the test expected it.
type EndedEarlyError struct {
	Name string
	// Cause is how it ended; nil if it reported success.
	Cause error
	Log   string
}

// Error implements error.
func (e *EndedEarlyError) Error() string {
	return fmt.Sprintf("%s has ended too early: %v\n%s", e.Name, e.Cause, e.Log)
}

// ForgetEnds makes the end of the test forget what was recorded of its processes. Whoever starts processes calls it first, so
// that they have ended by then.
func ForgetEnds(t testing.TB) {
	t.Cleanup(func() { unexpectedEnds.Delete(t.Name()) })
}

// ReportEnd records that a process of the test has ended too early. It may be called on any goroutine.
func ReportEnd(t testing.TB, end *EndedEarlyError) { unexpectedEnds.LoadOrStore(t.Name(), end) }

// EndedEarly returns the first process of the test, or of a test that it is part of, that has ended too early; nil if there
// is none. Whoever waits for a process calls it, so as not to wait for one that is gone.
func EndedEarly(t testing.TB) error {
	for name := t.Name(); ; {
		if end, ok := unexpectedEnds.Load(name); ok {
			return end.(*EndedEarlyError)
		}
		parent := strings.LastIndexByte(name, '/')
		if parent < 0 {
			return nil
		}
		name = name[:parent]
	}
}

// WhileRunning returns a check that fails as soon as a process of the test has ended too early, and is the given one
// otherwise.
func WhileRunning(t testing.TB, check poll.Check) poll.Check {
	return func(log poll.LogT) poll.Result {
		result := check(log)
		if result.Done() || result.Error() != nil {
			return result
		}
		if err := EndedEarly(t); err != nil {
			return poll.Error(err)
		}
		return result
	}
}
