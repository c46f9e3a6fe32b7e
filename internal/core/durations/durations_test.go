package durations

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLongestIsThatOfRecentRequests guards against a prediction from one slow request of long ago, or from another kind.
func TestLongestIsThatOfRecentRequests(t *testing.T) {
	table, kind := New(), Kind{Route: "send"}
	_, known := table.Longest(kind)
	assert.Assert(t, !known)
	table.Record(kind, time.Minute)
	for i := range kept - 1 {
		table.Record(kind, time.Duration(i)*time.Second)
	}
	table.Record(Kind{Route: "read"}, time.Hour)
	longest, known := table.Longest(kind)
	assert.Assert(t, known && longest == time.Minute)
	table.Record(kind, 0)
	longest, _ = table.Longest(kind)
	assert.Equal(t, longest, (kept-2)*time.Second)
	table.KeepRoutes(func(route string) bool { return route != "send" })
	_, known = table.Longest(kind)
	assert.Assert(t, !known)
}

// TestTableIsBounded guards against memory that grows with the names of routes that come and go.
func TestTableIsBounded(t *testing.T) {
	table := New()
	for i := range 2 * maxKinds {
		table.Record(Kind{Route: strconv.Itoa(i)}, time.Second)
	}
	assert.Equal(t, len(table.recent), maxKinds)
}
