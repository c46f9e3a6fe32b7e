package httplog

import (
	"sync"
	"time"
)

const (
	// linesPerInterval is the number of lines that a listener logs in an interval at most: clients cause them as fast as they connect.
	linesPerInterval = 50
	lineInterval     = time.Second
)

// lineLimit bounds the lines of a listener.
type lineLimit struct {
	mu sync.Mutex
	// from is the begin of the current interval, in which so many lines were logged.
	from   time.Time
	logged int
	// leftOut is the number of lines that were left out since the last one.
	leftOut int
}

// take reports whether a line may be logged now, and how many lines were left out before it.
func (l *lineLimit) take(now time.Time) (allowed bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.from) >= lineInterval {
		l.from, l.logged = now, 0
	}
	if l.logged >= linesPerInterval {
		l.leftOut++
		return false, 0
	}
	l.logged++
	leftOut, l.leftOut = l.leftOut, 0
	return true, leftOut
}
