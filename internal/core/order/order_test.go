package order_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobshunt/internal/core/order"

	"gotest.tools/v3/assert"
)

func TestSharesAddUpToTheRate(t *testing.T) {
	for hosts := 1; hosts <= 9; hosts++ {
		var published []string
		for i := range hosts {
			published = append(published, fmt.Sprintf("10.0.0.%d:1", i))
		}
		for rate := range int64(30) {
			shares := order.Shares(rate, published)
			sum := int64(0)
			for _, h := range published {
				sum += shares[h]
			}
			assert.Equal(t, sum, rate)
			assert.Equal(t, shares["10.9.9.9:1"], int64(0))
		}
	}
}

func TestPaceNeverExceedsAnyShareOfTheLastMinute(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		var p order.Pace
		var taken []time.Duration
		shares := map[time.Duration]int64{}
		share := int64(0)
		for now := time.Duration(0); now < 10*time.Minute; now += 500 * time.Millisecond {
			if rng.IntN(100) == 0 {
				share = rng.Int64N(6)
			}
			p.Set(now, share)
			shares[now] = share
			if !p.Take(now) {
				continue
			}
			taken = append(taken, now)
			least := share
			for back := now; back > now-time.Minute; back -= 500 * time.Millisecond {
				least = min(least, shares[back]) // 0 before the start
			}
			count := int64(0)
			for _, at := range taken {
				if now-at < time.Minute {
					count++
				}
			}
			assert.Assert(t, count <= least, "at %v: %d loads in a minute, share %d", now, count, least)
		}
		assert.Assert(t, len(taken) > 0)
	}
}

func TestNextOrderLoadsOneModelAndUnloadsLast(t *testing.T) {
	a, b, old := order.Model{Model: "a", Version: "2"}, order.Model{Model: "b", Version: "1"}, order.Model{Model: "a", Version: "1"}
	wanted := []order.Model{a, b}
	for _, c := range []struct {
		name  string
		state order.State
		want  []order.Model
		loads bool
		fence order.Fence
	}{
		{name: "settled", state: order.State{Models: []order.Model{b, a}}},
		{name: "loading", state: order.State{Models: []order.Model{a}, Loading: []order.Model{b}}},
		{name: "first load", state: order.State{Models: []order.Model{old}},
			want: []order.Model{old, a}, loads: true, fence: order.Fence{Revision: 5, Sequence: 1}},
		{name: "second load", state: order.State{Highest: order.Fence{Revision: 5, Sequence: 1}, Models: []order.Model{a, old}},
			want: []order.Model{old, a, b}, loads: true, fence: order.Fence{Revision: 5, Sequence: 2}},
		{name: "unload last", state: order.State{Highest: order.Fence{Revision: 4, Sequence: 9}, Models: []order.Model{a, b, old}},
			want: wanted, fence: order.Fence{Revision: 5, Sequence: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, loads, ok := order.Next(5, wanted, c.state)
			assert.Equal(t, ok, c.want != nil)
			assert.Equal(t, loads, c.loads)
			assert.DeepEqual(t, got.Models, c.want)
			assert.Equal(t, got.Fence, c.fence)
		})
	}
}

func TestTermEndsOnSuspensionAndWaitsOutTheFormerOne(t *testing.T) {
	var term order.Term
	update := func(from, to time.Duration, leader bool) {
		for now := from; now <= to; now += 50 * time.Millisecond {
			term.Update(now, leader)
		}
	}
	update(0, order.UnfencedWait-50*time.Millisecond, true)
	assert.Assert(t, !term.MayOrder(order.UnfencedWait-50*time.Millisecond, false))
	assert.Assert(t, term.MayOrder(order.UnfencedWait-50*time.Millisecond, true))
	update(order.UnfencedWait, order.UnfencedWait, true)
	assert.Assert(t, term.MayOrder(order.UnfencedWait, false))
	resumed := order.UnfencedWait + time.Minute
	assert.Assert(t, !term.MayOrder(resumed, false), "suspended, and not updated since")
	term.Update(resumed, true)
	assert.Assert(t, !term.MayOrder(resumed, false), "suspended")
	update(resumed, resumed+order.UnfencedWait, true)
	assert.Assert(t, term.MayOrder(resumed+order.UnfencedWait, false))
	term.Update(resumed+order.UnfencedWait+50*time.Millisecond, false)
	assert.Assert(t, !term.MayOrder(resumed+order.UnfencedWait+50*time.Millisecond, true))
}
