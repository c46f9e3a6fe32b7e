package peer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log"

	"carobshunt/internal/document"
	"carobshunt/internal/lines"
	"carobshunt/internal/membudget"

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
	return c.decode(line, err, v)
}

// decode decodes a line that was read, or returns the error of reading it.
func (c lineCodec) decode(line []byte, err error, v any) error {
	switch {
	case errors.Is(err, lines.ErrTooLong):
		return &MessageSizeError{Limit: c.limit}
	case err != nil:
		return err
	}
	return errors.Trace(json.Unmarshal(line, v))
}

// messageReserve leaves room for the usual messages while larger ones take what there is.
var messageReserve = membudget.Reserve{SmallBytes: 256 << 10, Share: 0.5}

// memoryFactor is how many times its length a message takes while it is read and decoded.
const memoryFactor = 4

// boundedCodec is a lineCodec whose messages share a budget of memory with those of other connections, each until the next one of its
// connection is read. It serves one connection.
type boundedCodec struct {
	lineCodec
	memory *membudget.Budget
	// end closes the connection and must not block.
	end     func()
	account *membudget.Account
}

// newBoundedStream returns the stream of messages over a connection that another host has opened.
func newBoundedStream(conn io.ReadWriteCloser, memory *membudget.Budget) jsonrpc2.ObjectStream {
	codec := &boundedCodec{lineCodec: lineCodec{limit: maxMessageBytes}, memory: memory, end: func() { _ = conn.Close() }}
	return jsonrpc2.NewBufferedStream(conn, codec)
}

// ReadObject implements jsonrpc2.ObjectCodec. After an error it holds no memory.
func (c *boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	c.free()
	line, err := lines.ReadWithin(stream, c.limit, c.take)
	if err == nil {
		err = c.account.Complete()
	}
	err = c.decode(line, err, v)
	if err != nil {
		c.free()
	}
	return err
}

// take takes memory for a part of a message.
func (c *boundedCodec) take(bytes int) error {
	if c.account == nil {
		c.account = c.memory.Open(membudget.UnknownLength, c.end)
	}
	return c.account.Take(int64(bytes) * memoryFactor)
}

func (c *boundedCodec) free() {
	if c.account != nil {
		c.account.Close()
		c.account = nil
	}
}
