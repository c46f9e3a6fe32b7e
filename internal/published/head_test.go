package published

import (
	"testing"

	"carobshunt/internal/core/node"
	"carobshunt/internal/doccheck"
	"carobshunt/internal/netdial"
	"carobshunt/internal/testhead"

	"gotest.tools/v3/assert"
)

// recorder is a Poster that keeps what is posted.
type recorder struct{ posted []node.Input }

func (r *recorder) Post(in node.Input)     { r.posted = append(r.posted, in) }
func (*recorder) Snapshot() *node.Snapshot { return &node.Snapshot{} }

// TestMalformedHeadPublishesNothing guards against documents and load reports that are read from a broken answer.
func TestMalformedHeadPublishesNothing(t *testing.T) {
	for name, head := range testhead.Malformed("Content-Type: application/json\r\nContent-Length: 2\r\n") {
		t.Run(name, func(t *testing.T) {
			r := &recorder{}
			address := testhead.Serve(t, head+"{}")
			raw, err := NewReader(address, r, doccheck.New(), netdial.Dialer{}).get(t.Context(), PathConfig, 1)
			assert.Assert(t, err != nil, "%q", raw)
			readLoad(t.Context(), newClient(netdial.Dialer{}, loadTimeout), r, address)
			assert.Equal(t, len(r.posted), 0)
		})
	}
}
