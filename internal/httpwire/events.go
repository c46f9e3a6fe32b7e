package httpwire

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"carobshunt/internal/lines"

	"github.com/juju/errors"
)

// Event is one server-sent event.
type Event struct {
	// Raw is the event as received, including the empty line that ends it.
	Raw []byte
	// ID is the event's numeric id; HasID is false if it has none.
	ID    int64
	HasID bool
	// Data is the event's data, without the names of its fields; nil for comments and for fields without data.
	Data []byte
}

// IsEvent reports whether it is an event, and no comment or field that belongs to none.
func (e *Event) IsEvent() bool { return e.HasID || e.Data != nil }

// ErrTruncatedEvent is returned if the stream ends within an event. Within a comment, or a field that belongs to no event, it
// ends with io.ErrUnexpectedEOF or the error of the connection.
const ErrTruncatedEvent = errors.ConstError("the stream ended within an event")

// ErrHeadTooLarge is returned for a head of an answer that is larger than httpstrict.MaxHeadBytes.
const ErrHeadTooLarge = errors.ConstError("the head of the answer is too long")

// ErrEventTooLarge is returned for an event larger than maxEventBytes.
const ErrEventTooLarge = errors.ConstError("an event of the stream is too long")

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// Events splits a stream into server-sent events.
type Events struct{ reader *bufio.Reader }

// NewEvents returns the events of a stream.
func NewEvents(r io.Reader) *Events { return &Events{reader: bufio.NewReaderSize(r, readBufferBytes)} }

// Next returns the next event. The error is io.EOF if the stream ended between two events.
func (e *Events) Next() (Event, error) {
	var out Event
	for {
		line, err := lines.Read(e.reader, maxEventBytes-len(out.Raw))
		switch {
		case errors.Is(err, lines.ErrTooLong):
			return Event{}, ErrEventTooLarge
		case err != nil && len(out.Raw)+len(line) > 0:
			return Event{}, truncated(append(out.Raw, line...), err)
		case err != nil:
			return Event{}, err
		}
		out.Raw = append(out.Raw, line...)
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return out, nil
		}
		out.readField(text)
	}
}

// truncated returns the error of a stream that ended with an error after a part of an event.
func truncated(part []byte, err error) error {
	for line := range bytes.Lines(part) {
		if !bytes.HasPrefix(line, []byte(":")) && !bytes.HasPrefix(line, []byte("retry")) {
			return errors.Annotate(ErrTruncatedEvent, err.Error())
		}
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readField sets the event's ID if line is an id field with a number, and adds to its Data if it is a data field.
func (e *Event) readField(line []byte) {
	if data, ok := bytes.CutPrefix(line, []byte("data")); ok && (len(data) == 0 || data[0] == ':') {
		e.Data = append(append(e.Data, bytes.TrimPrefix(data, []byte(":"))...), '\n')
	}
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil {
		e.ID, e.HasID = id, true
	}
}
