package httpwire_test

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// completeHeads are heads of answers, with the informational answers before them.
var completeHeads = map[string]string{
	"with a length":     "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 12\r\n\r\n",
	"without a length":  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nResponse-Seal: s\r\n\r\n",
	"chunked":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nResponse-Seal: s\r\n\r\n",
	"HTTP/1.0":          "HTTP/1.0 200 OK\r\nContent-Length: 12\r\nResponse-Seal: s\r\n\r\n",
	"no fields":         "HTTP/1.1 204 No Content\r\n\r\n",
	"line feeds only":   "HTTP/1.1 200 OK\nContent-Length: 12\nResponse-Seal: s\n\n",
	"folded":            "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n t\r\nContent-Length:\r\n 12\r\n\r\n",
	"after 100":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
	"after early hints": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
}

// TestHeadCutAtAnyByteIsNoAnswer guards against the head of an answer that a target began and that counts as complete when its
// connection ends: without its last fields the answer would have another length, or none. The second head follows an answer on a
// kept connection.
func TestHeadCutAtAnyByteIsNoAnswer(t *testing.T) {
	const earlier = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, head := range completeHeads {
		t.Run(name, func(t *testing.T) {
			p, address, accepted := newPoolAndTarget(t)
			for cut := range len(head) + 1 {
				c := get(t, p, address)
				conn := <-accepted
				_, err := io.WriteString(conn, earlier+head[:cut])
				assert.NilError(t, err)
				assert.NilError(t, conn.Close())
				first, err := c.Receive("GET")
				assert.NilError(t, err)
				body, err := io.ReadAll(first.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "ok")
				_, err = c.Receive("GET")
				assert.Equal(t, err == nil, cut == len(head), "%d of %d bytes: %v", cut, len(head), err)
				assert.NilError(t, c.Close())
			}
		})
	}
}
