package peer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes bounds one message between hosts, in bytes: the largest published value and its envelope.
const maxMessageBytes = 2 << 20

// MessageSizeError reports a message that is longer than a host takes.
type MessageSizeError struct{ Limit int }

// Error implements error.
func (e *MessageSizeError) Error() string {
	return fmt.Sprintf("a message between hosts is longer than %d bytes", e.Limit)
}

// discardLog keeps the library from writing a line for each broken connection; a peer that is not heard is a state of its
// own.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// lineCodec writes one JSON text a line and bounds the length of the lines that it reads.
type lineCodec struct{ limit int }

// newStream returns the stream of a connection between hosts.
func newStream(conn io.ReadWriteCloser) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, lineCodec{limit: maxMessageBytes})
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c lineCodec) WriteObject(stream io.Writer, obj any) error {
	return errors.Trace(json.NewEncoder(stream).Encode(obj))
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c lineCodec) ReadObject(stream *bufio.Reader, v any) error {
	var line []byte
	for {
		part, err := stream.ReadSlice('\n')
		if len(line)+len(part) > c.limit {
			return &MessageSizeError{Limit: c.limit}
		}
		line = append(line, part...)
		if err == nil {
			return errors.Trace(json.Unmarshal(line, v))
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
