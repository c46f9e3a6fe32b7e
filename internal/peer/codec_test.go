package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"carobshunt/internal/document"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func TestMessagesAreReadOneByOneUpToTheSizeLimit(t *testing.T) {
	const limit = 5000
	codec := lineCodec{limit: limit}
	fits := `{"a":"` + strings.Repeat("x", limit-9) + `"}`
	cases := []struct {
		name, text string
		messages   int
		last       error
	}{
		{"two messages", `{"a":"1"}` + "\n" + `{"a":"2"}` + "\n", 2, io.EOF},
		{"exactly the limit", fits + "\n", 1, io.EOF},
		{"one byte above the limit", fits + " \n", 0, &MessageSizeError{Limit: limit}},
		{"no line end", strings.Repeat("x", 1<<20), 0, &MessageSizeError{Limit: limit}},
	}
	for _, c := range cases {
		stream := bufio.NewReader(strings.NewReader(c.text))
		count := 0
		var err error
		for {
			var v map[string]string
			if err = codec.ReadObject(stream, &v); err != nil {
				break
			}
			count++
		}
		assert.Equal(t, count, c.messages, c.name)
		var size *MessageSizeError
		if errors.As(c.last, &size) {
			assert.Assert(t, errors.As(err, &size), "%s: %v", c.name, err)
			continue
		}
		assert.Assert(t, errors.Is(err, c.last), "%s: %v", c.name, err)
	}
}

func TestObjectSpreadOverLinesIsRefused(t *testing.T) {
	var v map[string]string
	err := lineCodec{limit: 100}.ReadObject(bufio.NewReader(strings.NewReader("{\n\"a\":\"1\"}\n")), &v)
	assert.Assert(t, err != nil)
}

// TestDocumentOfTheLargestSizeFits guards against a configuration that only the hosts that read the platform get.
func TestDocumentOfTheLargestSizeFits(t *testing.T) {
	raw, err := json.Marshal(strings.Repeat("x", document.MaxTextBytes-2))
	assert.NilError(t, err)
	var wire bytes.Buffer
	codec := lineCodec{limit: maxMessageBytes}
	assert.NilError(t, codec.WriteObject(&wire, FetchResult{Raw: raw}))
	var got FetchResult
	assert.NilError(t, codec.ReadObject(bufio.NewReader(&wire), &got))
	assert.Equal(t, len(got.Raw), document.MaxTextBytes)
}

func TestPublishedValueOfTheLargestSizeFits(t *testing.T) {
	const largestValue = 1 << 20
	raw, err := json.Marshal(strings.Repeat("x", largestValue-2))
	assert.NilError(t, err)
	var wire bytes.Buffer
	codec := lineCodec{limit: maxMessageBytes}
	assert.NilError(t, codec.WriteObject(&wire, FetchResult{Raw: raw}))
	var got FetchResult
	assert.NilError(t, codec.ReadObject(bufio.NewReader(&wire), &got))
	assert.Equal(t, len(got.Raw), largestValue)
}

// TestMessageCutAtAnyByteIsNone guards against a part of a message that counts as one: a host that stops while it writes closes its
// connection in order.
func TestMessageCutAtAnyByteIsNone(t *testing.T) {
	const message = `{"jsonrpc":"2.0","id":1,"result":{"a":"1"}}` + "\n"
	for cut := range len(message) {
		var v map[string]any
		err := lineCodec{limit: 100}.ReadObject(bufio.NewReader(strings.NewReader(message[:cut])), &v)
		assert.Assert(t, errors.Is(err, io.EOF), "after %d bytes: %v", cut, err)
	}
}
