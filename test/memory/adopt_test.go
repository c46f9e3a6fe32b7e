package memory

import (
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"

	"gotest.tools/v3/assert"
)

// A request may adopt only a stream of its own team and identifier, and only if it is idempotent. When that stream no
// longer exists, the request is dispatched anew and succeeds.
func TestOnlyOwnStreamsAreAdopted(t *testing.T) {
	own := core.Stream{
		Home:   core.Home{Address: "10.0.0.9:1", Incarnation: "i1"},
		Budget: time.Minute, Key: core.Key{Team: teamName, ID: "request-1"}, Dispatch: 1,
	}
	otherTeam, otherID := own, own
	otherTeam.Key.Team = "archive"
	otherID.Key.ID = "request-2"
	for _, c := range []struct {
		name       string
		stream     string
		idempotent bool
		adopted    bool
	}{
		{name: "own", stream: own.Name(), idempotent: true, adopted: true},
		{name: "of another team", stream: otherTeam.Name(), idempotent: true},
		{name: "of another request", stream: otherID.Name(), idempotent: true},
		{name: "not a name", stream: "stream", idempotent: true},
		{name: "not idempotent", stream: own.Name()},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newMemoryWorld(t, 1, 1, 2)
			w.run(time.Second)
			h := w.hosts[0]
			req := core.Request{
				Key: own.Key, Attempt: 2, Model: draftModel, PromptTokens: 1000, AnswerTokens: 50,
				Idempotent: c.idempotent, Budget: 10 * time.Second, BodyBytes: 100,
				Home: h.Self(), Deadline: h.Clock() + 10*time.Second,
				Adopt: core.Adoption{Target: w.engines[0].address, Stream: c.stream},
			}
			h.Submit(req, func(d node.Decision) {
				assert.Equal(t, d.Kind, node.Admit, "%+v", d)
				w.world.After(time.Millisecond, func() { h.Post(node.BodyEnded{Key: req.Key, Attempt: req.Attempt}) })
			})
			w.run(9 * time.Second)
			assert.Equal(t, w.results[req.Key], api.OutcomeDone)
			assert.Equal(t, len(w.adopted) > 0, c.adopted)
			counts := h.Snapshot().Adoptions
			assert.Equal(t, counts.Tried == 1 && counts.Failed == 1, c.adopted)
		})
	}
}
