package membudget

import (
	"io"
	"sync"

	"github.com/juju/errors"
)

// ErrTooLarge is returned for an answer that is longer than its limit.
const ErrTooLarge = errors.ConstError("the answer is too long")

// Sizes of the segments of a buffer, in bytes. The first one of an answer of unknown length is small, since most answers are.
const (
	firstSegmentBytes = 4 << 10
	segmentBytes      = 64 << 10
)

// Buffer holds an answer that is read from a target and then delivered. It consists of segments, so that it takes no more memory than
// is counted while it grows. One goroutine reads and delivers; any may give the answer up.
type Buffer struct {
	account *Account
	// declared is the length of the answer in bytes, or UnknownLength.
	declared int64
	length   int64

	mu       sync.Mutex
	segments [][]byte
	dropped  bool
}

// NewBuffer returns an empty buffer for an answer. endSource is called if the answer is given up; it must make reads of the answer fail
// and must not block.
func (b *Budget) NewBuffer(declared int64, endSource func()) *Buffer {
	buf := &Buffer{declared: declared}
	buf.account = b.Open(declared, func() {
		buf.drop()
		endSource()
	})
	return buf
}

// ReadAll reads an answer of up to limit bytes to its end. The error is ErrTooLarge, ErrGivenUp or that of the reader; the buffer is
// then closed.
func (b *Buffer) ReadAll(r io.Reader, limit int64) error {
	err := b.readAll(r, limit)
	if b.account.WasGivenUp() {
		err = ErrGivenUp
	}
	if err != nil {
		b.Close()
	}
	return err
}

func (b *Buffer) readAll(r io.Reader, limit int64) error {
	if b.declared > limit {
		return ErrTooLarge
	}
	for {
		size := b.nextSegment(limit)
		if size == 0 {
			return b.account.Complete()
		}
		if err := b.account.Take(size); err != nil {
			return err
		}
		segment := make([]byte, size)
		n, err := fill(r, segment)
		b.length += int64(n)
		b.add(segment[:n])
		switch {
		case b.length > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF) && (b.declared == UnknownLength || b.length == b.declared):
			return b.account.Complete()
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// nextSegment returns the size of the next segment to read; 0 if the answer has its declared length. An answer of unknown length is
// read to one byte beyond the limit, which shows that it is too long.
func (b *Buffer) nextSegment(limit int64) int64 {
	switch {
	case b.declared != UnknownLength:
		return min(b.declared-b.length, segmentBytes)
	case b.length == 0:
		return min(firstSegmentBytes, limit+1)
	}
	return min(segmentBytes, limit+1-b.length)
}

// fill reads until a buffer is full or a read fails. Unlike io.ReadFull it returns the error of the reader as it is.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}

// add keeps a segment, unless the answer was given up.
func (b *Buffer) add(segment []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.dropped {
		b.segments = append(b.segments, segment)
	}
}

// drop frees the segments for good.
func (b *Buffer) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.segments, b.dropped = nil, true
}

// Len returns the length of the answer in bytes.
func (b *Buffer) Len() int64 { return b.length }

// Deliver passes the segments of a complete answer to a function, in order, and frees each one that was accepted. It stops at the
// first error, which it returns.
func (b *Buffer) Deliver(write func(segment []byte) error) error {
	segments := b.takeSegments()
	for i, segment := range segments {
		if err := write(segment); err != nil {
			return err
		}
		segments[i] = nil
		b.account.Return(int64(cap(segment)))
	}
	return nil
}

// takeSegments moves the segments out of the buffer.
func (b *Buffer) takeSegments() [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	segments := b.segments
	b.segments = nil
	return segments
}

// Close frees the answer. It may be called more than once.
func (b *Buffer) Close() {
	b.drop()
	b.account.Close()
}
