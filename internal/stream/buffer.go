// Package stream holds request bodies and the answers that are streamed to callers. A Buffer receives the text of one
// request's dispatches and serves it to any number of readers, each at its own offset.
package stream

import (
	"context"
	"fmt"
	"sync"
	"unicode/utf8"

	"carobshunt/api"

	"github.com/cespare/xxhash/v2"
)

// Checksum returns the 64-bit xxHash of a text, in hexadecimal.
func Checksum(text []byte) string { return FormatChecksum(xxhash.Sum64(text)) }

// FormatChecksum returns a checksum as 16 hexadecimal digits.
func FormatChecksum(sum uint64) string { return fmt.Sprintf("%016x", sum) }

// Buffer holds the answer to one request. When a later dispatch starts, the text of the earlier one is dropped and the
// answer starts over; readers see this by the dispatch number. It is safe for concurrent use.
type Buffer struct {
	mu       sync.Mutex
	text     []byte
	dispatch uint32
	source   Source
	last     *api.Last
	changed  chan struct{}
	// final is done once the answer is final.
	final    context.Context
	setFinal context.CancelFunc
}

// NewBuffer returns an empty buffer.
func NewBuffer() *Buffer {
	b := &Buffer{changed: make(chan struct{})}
	b.final, b.setFinal = context.WithCancel(context.Background())
	return b
}

// OnFinal calls a function once the answer is final, unless the returned function is called before.
func (b *Buffer) OnFinal(f func()) (stop func() bool) { return context.AfterFunc(b.final, f) }

// Source names the target that generates an answer, and the stream there.
type Source struct {
	Target string
	Stream string
}

// Start begins a dispatch. It reports false if the answer is final or this or a later dispatch has begun.
func (b *Buffer) Start(dispatch uint32, source Source) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last != nil || dispatch <= b.dispatch {
		return false
	}
	b.dispatch = dispatch
	b.source = source
	b.text = nil
	b.notifyReaders()
	return true
}

// Append adds text of a dispatch at an offset in bytes. It reports false and drops the text if that is of another
// dispatch, comes after the end, or is out of order.
func (b *Buffer) Append(dispatch uint32, offset int64, text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last != nil || dispatch != b.dispatch || offset != int64(len(b.text)) {
		return false
	}
	b.text = append(b.text, text...)
	b.notifyReaders()
	return true
}

// Finish makes the answer final and fills in Length and Checksum of last. Later calls have no effect.
func (b *Buffer) Finish(last api.Last) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last != nil {
		return
	}
	last.Length = int64(len(b.text))
	last.Checksum = Checksum(b.text)
	b.last = &last
	b.setFinal()
	b.notifyReaders()
}

// notifyReaders wakes the readers that wait for a change. It must be called with the lock held.
func (b *Buffer) notifyReaders() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Position is a reader's position in a buffer; Offset is in bytes.
type Position struct {
	Dispatch uint32
	Offset   int64
}

// Chunk is a part of an answer, as returned to a reader.
type Chunk struct {
	// At is the position at which Text begins.
	At   Position
	Text string
	// Source generates the answer from At on.
	Source Source
	// Last is the end of the answer if nothing follows Text; nil otherwise.
	Last *api.Last
}

// Next waits for text after the position or the end of the answer, and returns what there is, up to maxChunkBytes: a chunk may
// hold the rest of the text and the end together. A reader of any other dispatch is moved to the start of the current one immediately, so
// that it learns the source before the first text. A position after the text is moved to its end. The error is that of
// the context.
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

// poll returns the chunk at a position and reports whether it holds anything new for the reader. The returned channel is
// closed at the next change.
func (b *Buffer) poll(at Position) (Chunk, <-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	restarted := at.Dispatch != b.dispatch
	if restarted {
		at = Position{Dispatch: b.dispatch}
	}
	at.Offset = min(at.Offset, int64(len(b.text)))
	end := b.chunkEnd(at.Offset)
	chunk := Chunk{At: at, Text: string(b.text[at.Offset:end]), Source: b.source}
	if end == int64(len(b.text)) {
		chunk.Last = b.last
	}
	return chunk, b.changed, restarted || chunk.Text != "" || chunk.Last != nil
}

// maxChunkBytes bounds the text of a chunk, so that readers of long answers do not hold a copy of each at one time.
const maxChunkBytes = 1 << 20

// chunkEnd returns the offset at which a chunk that begins at an offset ends: between two characters.
func (b *Buffer) chunkEnd(offset int64) int64 {
	if int64(len(b.text))-offset <= maxChunkBytes {
		return int64(len(b.text))
	}
	end := offset + maxChunkBytes
	for end > offset+maxChunkBytes-utf8.UTFMax && !utf8.RuneStart(b.text[end]) {
		end--
	}
	return end
}

// Beyond reports whether a position is past the end of a final answer.
func (b *Buffer) Beyond(at Position) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last != nil && at.Dispatch == b.dispatch && at.Offset > int64(len(b.text))
}

// Len returns the number of bytes held.
func (b *Buffer) Len() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.text))
}

// Dispatch returns the number of the dispatch whose text is held.
func (b *Buffer) Dispatch() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dispatch
}
