package engines

import (
	"testing"

	"carobshunt/internal/core"
	"carobshunt/internal/core/group"
	"carobshunt/internal/core/node"
	"carobshunt/internal/netdial"
	"carobshunt/internal/testhead"

	"gotest.tools/v3/assert"
)

// recorder is a Control that keeps what is posted.
type recorder struct{ posted []node.Input }

func (r *recorder) Post(in node.Input) { r.posted = append(r.posted, in) }
func (*recorder) Now() core.Time       { return 0 }

// TestMalformedHeadOfAnEngineShowsNothing guards against memory, lists and orders that are judged by a broken answer.
func TestMalformedHeadOfAnEngineShowsNothing(t *testing.T) {
	for name, head := range testhead.Malformed("Content-Type: application/json\r\nContent-Length: 2\r\n") {
		t.Run(name, func(t *testing.T) {
			r := &recorder{}
			c := New(r, netdial.Dialer{})
			engine := testhead.Serve(t, head+"{}")
			c.Reserve(t.Context(), node.Reserve{Target: engine})
			assert.Equal(t, r.posted[0].(node.ReservationAnswered).Answer, group.Unreachable)
			c.SendOrder(t.Context(), node.SendOrder{Target: engine, Deadline: 1})
			assert.Equal(t, r.posted[1].(node.OrderEnded).Ending, node.OrderLost)
			c.ListMemory(t.Context(), node.ListMemory{Target: testhead.Serve(t, head+"[]")})
			c.ReadOrders(t.Context(), node.ReadOrders{Target: engine})
			assert.Equal(t, len(r.posted), 2)
		})
	}
}
