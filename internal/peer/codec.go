package peer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log"

	"carobshunt/internal/document"
	"carobshunt/internal/lines"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes is the maximum size of one message between hosts, in bytes. It leaves room for the document of the largest
// published configuration and its envelope.
const maxMessageBytes = document.MaxTextBytes + 1<<20

// MessageSizeError reports a message that exceeds the size limit, in bytes.
type MessageSizeError struct{ Limit int }

// Error implements error.
func (e *MessageSizeError) Error() string {
	return fmt.Sprintf("message between hosts exceeds %d bytes", e.Limit)
}

// discardLog keeps the library from logging each broken connection: an unreachable peer is logged as a change of the
// peer's state.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// lineCodec writes one JSON value per line and refuses to read lines longer than limit bytes.
type lineCodec struct{ limit int }

// newStream returns the stream of messages over a connection between hosts.
func newStream(conn io.ReadWriteCloser) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, lineCodec{limit: maxMessageBytes})
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c lineCodec) WriteObject(stream io.Writer, obj any) error {
	return errors.Trace(json.NewEncoder(stream).Encode(obj))
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c lineCodec) ReadObject(stream *bufio.Reader, v any) error {
	line, err := lines.Read(stream, c.limit)
	switch {
	case errors.Is(err, lines.ErrTooLong):
		return &MessageSizeError{Limit: c.limit}
	case err != nil:
		return err
	}
	return errors.Trace(json.Unmarshal(line, v))
}
