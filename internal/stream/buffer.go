// Package stream holds the answers that are on their way to callers. A Buffer takes the text of one request's
// dispatches and hands it to any number of readers, each at its own offset.
package stream

import (
	"context"
	"fmt"
	"sync"

	"carobshunt/api"

	"github.com/cespare/xxhash/v2"
)

// Checksum is the 64-bit xxHash of a text, in hexadecimal.
func Checksum(text []byte) string { return FormatChecksum(xxhash.Sum64(text)) }

// FormatChecksum is the text form of a checksum.
func FormatChecksum(sum uint64) string { return fmt.Sprintf("%016x", sum) }

// Buffer is the answer of one request. Text of a dispatch that was given up is dropped; when a later dispatch
// starts, the answer starts over and readers are told so by the dispatch number.
type Buffer struct {
	mu       sync.Mutex
	text     []byte
	dispatch uint32
	source   Source
	last     *api.Last
	changed  chan struct{}
}

// NewBuffer returns an empty buffer.
func NewBuffer() *Buffer { return &Buffer{changed: make(chan struct{})} }

// Source is what makes an answer: a target, and the name of the stream there.
type Source struct {
	Target string
	Stream string
}

// Start begins a dispatch. It reports false when the answer is final or a later dispatch has begun.
func (b *Buffer) Start(dispatch uint32, source Source) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last != nil || dispatch <= b.dispatch {
		return false
	}
	b.dispatch = dispatch
	b.source = source
	b.text = nil
	b.wake()
	return true
}

// Append adds text of a dispatch at an offset. It reports false for text that does not belong there: of another
// dispatch, after the end, or out of order.
func (b *Buffer) Append(dispatch uint32, offset int64, text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last != nil || dispatch != b.dispatch || offset != int64(len(b.text)) {
		return false
	}
	b.text = append(b.text, text...)
	b.wake()
	return true
}

// Finish makes the answer final; Length and Checksum of last are filled in. Only the first call counts.
func (b *Buffer) Finish(last api.Last) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last != nil {
		return
	}
	last.Length = int64(len(b.text))
	last.Checksum = Checksum(b.text)
	b.last = &last
	b.wake()
}

// wake must be called with the lock held.
func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Position is a reader's place in a buffer.
type Position struct {
	Dispatch uint32
	Offset   int64
}

// Chunk is what a reader gets.
type Chunk struct {
	// At is where Text begins.
	At   Position
	Text string
	// Source makes the answer from At on.
	Source Source
	// Last is set when nothing follows.
	Last *api.Last
}

// Next waits for something behind the position and returns it. A reader of an earlier dispatch is taken to the
// start of the present one at once, so that it learns of the source before the first text. Its error is the context's.
func (b *Buffer) Next(ctx context.Context, at Position) (Chunk, error) {
	for {
		chunk, changed, ok := b.poll(at)
		if ok {
			return chunk, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Chunk{}, ctx.Err()
		}
	}
}

func (b *Buffer) poll(at Position) (Chunk, <-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	begins := at.Dispatch != b.dispatch
	if begins {
		at = Position{Dispatch: b.dispatch}
	}
	at.Offset = min(at.Offset, int64(len(b.text)))
	chunk := Chunk{At: at, Text: string(b.text[at.Offset:]), Source: b.source, Last: b.last}
	return chunk, b.changed, begins || chunk.Text != "" || chunk.Last != nil
}

// Beyond tells whether a position lies behind the end of a final answer.
func (b *Buffer) Beyond(at Position) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last != nil && at.Dispatch == b.dispatch && at.Offset > int64(len(b.text))
}

// Len is the number of bytes held.
func (b *Buffer) Len() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.text))
}

// Dispatch is the number of the dispatch whose text is held.
func (b *Buffer) Dispatch() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dispatch
}
