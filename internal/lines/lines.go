// Package lines reads lines of bounded length from streams whose senders are not trusted.
package lines

import (
	"bufio"

	"github.com/juju/errors"
)

// ErrTooLong is returned for a line that is longer than the limit.
const ErrTooLong = errors.ConstError("the line is too long")

// Read reads a line with its end, of at most limit bytes. It takes no more than that and one buffer of the reader from the
// stream. On another error it returns what it has read of the line.
func Read(r *bufio.Reader, limit int) ([]byte, error) {
	return ReadWithin(r, limit, func(int) error { return nil })
}

// ReadWithin is Read for a reader whose memory is bounded: it calls take with the length of each part of the line before it keeps the
// part, and returns an error of take.
func ReadWithin(r *bufio.Reader, limit int, take func(bytes int) error) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, ErrTooLong
		}
		if err := take(len(part)); err != nil {
			return nil, err
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
