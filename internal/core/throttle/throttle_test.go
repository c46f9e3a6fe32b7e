package throttle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnheardSendersKeepTheirShare guards against hosts that can't hear each other and each use the whole rate.
func TestUnheardSendersKeepTheirShare(t *testing.T) {
	senders := []string{"a", "b", "c", "d"}
	b := New(0, "a", 4, senders, true)
	for _, peer := range senders[1:] {
		b.Hear(0, peer, 0)
	}
	wait, ok := b.Wait(0)
	assert.Assert(t, ok)
	assert.Equal(t, wait, 250*time.Millisecond, "the whole rate is free")
	now := 2 * time.Second
	b.Take(now)
	b.Take(now)
	b.Take(now)
	wait, _ = b.Wait(now)
	assert.Equal(t, wait, 2*time.Second, "one is owed, and one a second comes in, as no other is heard any more")
}

func TestCountsOfOthersAreTakenOnce(t *testing.T) {
	b := New(0, "a", 10, []string{"a", "b"}, true)
	b.Hear(0, "b", 100) // only shows where to count from
	now := 600 * time.Millisecond
	b.Hear(now, "b", 103)
	b.Hear(now, "b", 103)
	wait, _ := b.Wait(now)
	assert.Assert(t, wait == 0, "six came in and three were taken: %v", wait)
	b.Hear(now, "b", 106)
	wait, _ = b.Wait(now)
	assert.Assert(t, wait > 0)
	b.Hear(now, "b", 1) // it has restarted
	again, _ := b.Wait(now)
	assert.Equal(t, again, wait)
}

func TestHostThatBecomesASenderWaits(t *testing.T) {
	b := New(0, "a", 10, []string{"b"}, true)
	_, ok := b.Wait(time.Second)
	assert.Assert(t, !ok)
	b.SetSenders(time.Second, []string{"a", "b"})
	wait, ok := b.Wait(time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, wait, SettleTime)
}

// TestDebtIsBounded guards against a target that gets nothing for long after more than its limit was sent.
func TestDebtIsBounded(t *testing.T) {
	b := New(0, "a", 0.5, []string{"a"}, true)
	for range 1000 {
		b.Take(0)
	}
	wait, _ := b.Wait(0)
	assert.Equal(t, wait, 8*time.Second, "two requests, two seconds' worth, and the next one")
}

func TestSendersAreTheSameForAllAndFew(t *testing.T) {
	var hosts []string
	for i := range 300 {
		hosts = append(hosts, fmt.Sprint("h", i))
	}
	senders := Senders("t", 1.7, hosts)
	assert.Equal(t, len(senders), minSenders+1)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	assert.DeepEqual(t, Senders("t", 1.7, hosts), senders)
	assert.Equal(t, len(Senders("t", 0.3, hosts[:3])), 3)
}
