package queue_test

import (
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/queue"
	"carobshunt/internal/document"

	"gotest.tools/v3/assert"
)

func recordWithObjective(id string, admitted, objective time.Duration, resubmitted bool) *ledger.Record {
	return &ledger.Record{
		Request:          core.Request{Key: core.Key{ID: id}, Routed: &core.Routed{Resubmitted: resubmitted}},
		Work:             core.Work{Class: document.ClassShort, PrefillWork: 10},
		Timing:           core.Timing{Admitted: admitted},
		FirstTokenTarget: objective,
	}
}

// TestObjectivesOrderUnderOverload checks the order of service: resubmitted requests, those that can meet their objective,
// then the most recently admitted of the others.
func TestObjectivesOrderUnderOverload(t *testing.T) {
	q := queue.NewObjectives()
	const ms = time.Millisecond
	for _, rec := range []*ledger.Record{
		recordWithObjective("late-old", 0, 300*ms, false),
		recordWithObjective("late-young", 700*ms, 300*ms, false),
		recordWithObjective("in-time-far", 990*ms, 2500*ms, false),
		recordWithObjective("in-time-near", 950*ms, 300*ms, false),
		recordWithObjective("came-back", 100*ms, 300*ms, true),
	} {
		q.Push(rec)
	}
	var order []string
	q.Each(time.Second, func(rec *ledger.Record) bool {
		order = append(order, rec.Request.ID)
		return rec.Request.ID == "late-old"
	})
	assert.DeepEqual(t, order, []string{"came-back", "in-time-near", "in-time-far", "late-young", "late-old"})
	assert.Equal(t, q.Len(), 4)
	assert.Equal(t, q.Tokens(document.ClassShort), int64(40))
}

func TestRemovedRecordIsNotOffered(t *testing.T) {
	q := queue.NewObjectives()
	rec := recordWithObjective("a", 0, time.Second, false)
	rec.Work.Group = true
	q.Push(rec)
	assert.Equal(t, q.Groups(), 1)
	assert.Assert(t, q.Remove(core.Key{ID: "a"}))
	assert.Assert(t, !q.Remove(core.Key{ID: "a"}))
	assert.Equal(t, q.Groups(), 0)
	q.Each(0, func(*ledger.Record) bool { t.Fatal("offered"); return false })
}
