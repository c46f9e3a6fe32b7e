package fleet

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"carobshunt/internal/core/node"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

// disturb kills, suspends, cuts off, drains and restarts hosts at random until an instant. In between are pauses.
func (f *fleet) disturb(until virtual.Time) {
	f.world.After(time.Second+time.Duration(f.rng.Int64N(int64(5*time.Second))), func() {
		if f.world.Now() >= until {
			return
		}
		h := f.hosts[f.rng.IntN(len(f.hosts))]
		length := 200*time.Millisecond + time.Duration(f.rng.Int64N(int64(6*time.Second)))
		if h.Alive() && !h.Paused() && !f.down[h.Peer()] {
			f.disturbHost(h, length)
		}
		f.disturb(until)
	})
}

func (f *fleet) disturbHost(h *virtual.Host, length time.Duration) {
	undo := func() {}
	switch f.rng.IntN(4) {
	case 0:
		h.Kill()
		undo = func() { f.restart(h) }
	case 1:
		h.Pause()
		undo = h.Resume
	case 2:
		f.down[h.Peer()] = true
		undo = func() { delete(f.down, h.Peer()) }
	case 3:
		h.Post(node.Drain{})
		length += 3 * time.Second
		undo = func() { f.restart(h) }
	}
	f.world.After(length, func() {
		undo()
		f.excuse(h)
	})
}

// restart starts a host anew, with what the platform publishes.
func (f *fleet) restart(h *virtual.Host) {
	h.Kill()
	h.Start()
	f.inform(h)
}

// limitedPlay is a play of hosts that are disturbed while targets name limits.
type limitedPlay struct {
	hosts  int
	seed   uint64
	length time.Duration
	calm   bool
}

// run plays and returns the use of each limit, and the messages between hosts per host and second.
func (p limitedPlay) run(t *testing.T) ([]limitUse, float64) {
	t.Helper()
	f := newFleet(t, fleetOptions{hosts: p.hosts, engines: 6, desks: 3, seed: p.seed})
	until := f.world.Now() + p.length
	for _, h := range f.hosts {
		f.send(h, pathAsk, 48/float64(p.hosts), until)
		f.send(h, pathRead, max(240/float64(p.hosts), 2), until)
	}
	f.world.Run(f.world.Now() + 2*time.Second)
	for i, target := range append(f.targets[:2:2], f.targets[6:]...) {
		target.nameLimit([]float64{1.7, 0.3, 0.3, 1.7, 20}[i])
	}
	if !p.calm {
		f.disturb(until)
	}
	messages, from := f.messages, f.world.Now()
	f.world.Run(until)
	var uses []limitUse
	for _, target := range append(f.targets[:2:2], f.targets[6:]...) {
		use := target.limitUse()
		uses = append(uses, use)
		assert.Check(t, float64(use.most) <= use.allowed, "%s got %d in 4 s, allowed %g", target.address, use.most, use.allowed)
	}
	return uses, float64(f.messages-messages) / float64(p.hosts) / (until - from).Seconds()
}

// limitSeeds returns the number of seeds of a test: the given one, or LIMIT_SEEDS.
func limitSeeds(t *testing.T, inCI uint64) uint64 { return fromEnvironment(t, "LIMIT_SEEDS", inCI) }

// fromEnvironment returns the number in an environment variable, or the given one without it.
func fromEnvironment(t *testing.T, variable string, inCI uint64) uint64 {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return inCI
	}
	n, err := strconv.ParseUint(text, 10, 32)
	assert.NilError(t, err)
	return n
}

// TestLimitHoldsWhileHostsComeAndGo guards against limits that hold only while all hosts hear each other: hosts that join,
// leave, are suspended or cut off must not let a target get more.
func TestLimitHoldsWhileHostsComeAndGo(t *testing.T) {
	for seed := range limitSeeds(t, 12) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			uses, messages := limitedPlay{hosts: 4, seed: seed, length: time.Minute}.run(t)
			t.Logf("%+v, %.0f messages a host and second", uses, messages)
		})
	}
}

// TestLimitHoldsOverManyHosts guards against a limit that each of many hosts may exceed by a little. LIMIT_HOSTS sets their
// number.
func TestLimitHoldsOverManyHosts(t *testing.T) {
	hosts := int(fromEnvironment(t, "LIMIT_HOSTS", 77))
	for seed := range limitSeeds(t, 1) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			uses, messages := limitedPlay{hosts: hosts, seed: seed, length: 25 * time.Second}.run(t)
			t.Logf("%+v, %.0f messages a host and second", uses, messages)
		})
	}
}

// minShareUsed is the part of a limit that is used at least while there is demand.
const minShareUsed = 0.85

// TestLimitIsUsedWhileThereIsDemand guards against limits that hold because hosts leave most of them unused.
func TestLimitIsUsedWhileThereIsDemand(t *testing.T) {
	uses, _ := limitedPlay{hosts: 4, seed: 1, length: 2 * time.Minute, calm: true}.run(t)
	for _, use := range uses[2:] { // there are more requests for the plain service than its targets take
		assert.Check(t, use.share >= minShareUsed, "%.2f of the limit are used", use.share)
	}
	t.Logf("%+v", uses)
}
