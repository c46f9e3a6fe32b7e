// Package bodyrate tracks how fast the bodies of requests come that memory is set aside for, so that a slow one can give way where
// another request finds no room: clients that don't end their bodies would keep the memory until their deadlines.
package bodyrate

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minAge is how long a body may take whatever its rate.
	minAge = time.Second
	// minRate is the rate in bytes a second below which a body that takes longer is slow.
	minRate = 16 << 10
	// endTimeout bounds the time until a body that gave way has given its memory back.
	endTimeout = 100 * time.Millisecond
)

// Tracker holds the bodies that are read. It is safe for concurrent use; its zero value holds none.
type Tracker struct {
	mu   sync.Mutex
	open map[*Body]struct{}
}

// Body is a body that is read.
type Body struct {
	// ID is the identifier of its request.
	ID      string
	tracker *Tracker
	begin   time.Time
	// stop ends the reading of the body.
	stop     func()
	received atomic.Int64
	givenUp  atomic.Bool
	ended    chan struct{}
}

// Begin notes that the body of a request is read from now on. If the body gives way, stop is called on another goroutine, and not
// after End; it must end the reading and must not block.
func (t *Tracker) Begin(id string, stop func()) *Body {
	return t.beginAt(id, stop, time.Now())
}

func (t *Tracker) beginAt(id string, stop func(), now time.Time) *Body {
	b := &Body{ID: id, tracker: t, begin: now, stop: stop, ended: make(chan struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[*Body]struct{})
	}
	t.open[b] = struct{}{}
	return b
}

// Reader returns a reader that counts what is read of the body.
func (b *Body) Reader(r io.Reader) io.Reader { return &countingReader{reader: r, body: b} }

type countingReader struct {
	reader io.Reader
	body   *Body
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.body.received.Add(int64(n))
	return n, err
}

// GaveWay reports whether the body gave way to another request.
func (b *Body) GaveWay() bool { return b.givenUp.Load() }

// End must be called once the control loop has been told of the end of the body.
func (b *Body) End() {
	b.tracker.mu.Lock()
	defer b.tracker.mu.Unlock()
	delete(b.tracker.open, b)
	close(b.ended)
}

// Received returns the number of bytes that have come.
func (b *Body) Received() int64 { return b.received.Load() }

// rate returns the bytes a second that have come, and whether the body is slow.
func (b *Body) rate(now time.Time) (bytesPerSecond float64, slow bool) {
	age := now.Sub(b.begin)
	bytesPerSecond = float64(b.received.Load()) / age.Seconds()
	return bytesPerSecond, age > minAge && bytesPerSecond < minRate
}

// MakeRoom gives up the slowest of the bodies that are slow, and waits until its memory is given back. It returns the body; nil if none
// is slow.
func (t *Tracker) MakeRoom() *Body {
	slowest := t.giveUpSlowest(time.Now())
	if slowest == nil {
		return nil
	}
	select {
	case <-slowest.ended:
	case <-time.After(endTimeout):
	}
	return slowest
}

func (t *Tracker) giveUpSlowest(now time.Time) *Body {
	t.mu.Lock()
	defer t.mu.Unlock()
	var slowest *Body
	least := 0.0
	for b := range t.open {
		if b.givenUp.Load() {
			continue
		}
		if rate, slow := b.rate(now); slow && (slowest == nil || rate < least) {
			slowest, least = b, rate
		}
	}
	if slowest != nil {
		slowest.givenUp.Store(true)
		slowest.stop() // with the lock, so that it has not ended, and its connection serves no other request
	}
	return slowest
}
