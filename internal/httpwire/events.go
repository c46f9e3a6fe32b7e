package httpwire

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// Event is one event of a stream as it came.
type Event struct {
	// Raw are its lines with the empty line that ends it.
	Raw []byte
	// ID is its number; HasID is false where it has none.
	ID    int64
	HasID bool
}

// ErrTornEvent is returned for a stream that ends within an event.
const ErrTornEvent = errors.ConstError("the stream ended within an event")

// ErrLongEvent is returned for an event that is larger than maxEvent.
const ErrLongEvent = errors.ConstError("an event of the stream is too long")

// maxEvent bounds one event, in bytes.
const maxEvent = 1 << 20

// Events splits a stream of server-sent events.
type Events struct{ reader *bufio.Reader }

// NewEvents returns a splitter of a stream.
func NewEvents(r io.Reader) *Events { return &Events{reader: bufio.NewReaderSize(r, readBuffer)} }

// Next returns the next event; its error is io.EOF at the end of the stream, between two events.
func (e *Events) Next() (Event, error) {
	var out Event
	for {
		line, err := e.reader.ReadBytes('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && len(out.Raw)+len(line) > 0 {
				return Event{}, ErrTornEvent
			}
			return Event{}, err
		}
		out.Raw = append(out.Raw, line...)
		if len(out.Raw) > maxEvent {
			return Event{}, ErrLongEvent
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return out, nil
		}
		out.readID(text)
	}
}

func (e *Event) readID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil {
		e.ID, e.HasID = id, true
	}
}
