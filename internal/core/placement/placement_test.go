package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"carobshunt/internal/core"
	"carobshunt/internal/core/placement"

	"gotest.tools/v3/assert"
)

const limit = 64

var (
	small = core.Capacity{Cores: 0.134, MemoryMB: 136, Connections: 2870, LinkMbps: 14}
	large = core.Capacity{Cores: 0.8, MemoryMB: 536, Connections: 11_480, LinkMbps: 200}
)

// fleet returns hosts of several sizes, each size spread over the zones.
func fleet(zones int, sizes ...sizeCount) []placement.Host {
	var out []placement.Host
	for s, size := range sizes {
		for i := range size.count {
			out = append(out, placement.Host{
				Address: fmt.Sprintf("10.%d.%d.%d:7400", s, i/250, i%250), Zone: fmt.Sprint("zone-", i%zones), Capacity: size.capacity,
			})
		}
	}
	return out
}

type sizeCount struct {
	count    int
	capacity core.Capacity
}

// loads returns the part of all connections that each host gets, by address, if callers pick one address of their answer at
// random, and the least and greatest number of addresses in an answer.
func loads(t *testing.T, hosts []placement.Host, answers int) (byHost map[string]float64, least, most int) {
	t.Helper()
	byHost, least = make(map[string]float64), limit
	for i := range answers {
		named := placement.Named(hosts, limit, placement.Turn("10.0.0.1:7402", uint64(i)))
		assert.Assert(t, len(named) > 0 && len(named) <= limit, "%d", len(named))
		least, most = min(least, len(named)), max(most, len(named))
		assert.Equal(t, len(slices.Compact(slices.Sorted(slices.Values(named)))), len(named), "an address is named twice: %v", named)
		for _, address := range named {
			byHost[address] += 1 / float64(len(named)) / float64(answers)
		}
	}
	return byHost, least, most
}

// The first 64 of 102 hosts were named, whatever their size: six large hosts carried a tenth of the load at most, and a small
// one as much as a large one.
func TestLoadFollowsCapacityOf96SmallHostsBeside6Large(t *testing.T) {
	hosts := fleet(3, sizeCount{96, small}, sizeCount{6, large})
	byHost, least, most := loads(t, hosts, 5000)
	ratio := small.LinkMbps / large.LinkMbps // the scarcest resource
	sum := 6 + 96*ratio
	worst := 0.0
	for _, h := range hosts {
		want := 1 / sum
		if h.Capacity == small {
			want = ratio / sum
		}
		worst = max(worst, byHost[h.Address]/want, want/byHost[h.Address])
	}
	t.Logf("%d to %d hosts in an answer; a large host gets %.4f, a small one %.4f of the load; the worst differs by a factor of %.3f",
		least, most, 1/sum, ratio/sum, worst)
	assert.Assert(t, worst < 1.05, "%v", worst)
	for i := range 100 {
		named := placement.Named(hosts, limit, placement.Turn("10.0.0.1:7402", uint64(i)))
		for _, h := range hosts[96:] {
			assert.Assert(t, slices.Contains(named, h.Address), "large host %s is not named in answer %d", h.Address, i)
		}
	}
}

// Each small host must get its part within seconds, not within hours: a fleet with few callers gives few answers.
func TestEachSmallHostIsNamedWithinFewAnswers(t *testing.T) {
	hosts := fleet(3, sizeCount{96, small}, sizeCount{6, large})
	byHost, _, _ := loads(t, hosts, 40)
	assert.Equal(t, len(byHost), len(hosts))
}

func TestLoadFollowsCapacityInOtherFleets(t *testing.T) {
	part := func(f float64) core.Capacity {
		return core.Capacity{Cores: f, MemoryMB: 1000 * f, Connections: 10_000 * f, LinkMbps: 100 * f}
	}
	for name, hosts := range map[string][]placement.Host{
		"two large and one small":       fleet(3, sizeCount{2, part(1)}, sizeCount{1, part(0.1)}),
		"three sizes":                   fleet(4, sizeCount{5, part(1)}, sizeCount{10, part(0.5)}, sizeCount{20, part(0.1)}),
		"nearly equal":                  fleet(5, sizeCount{20, part(1)}, sizeCount{20, part(0.97)}),
		"more than fit into one answer": fleet(5, sizeCount{100, part(1)}, sizeCount{50, part(0.25)}),
		"equal":                         fleet(5, sizeCount{102, part(1)}),
		"few equal":                     fleet(2, sizeCount{4, part(1)}),
		"two":                           fleet(2, sizeCount{2, part(1)}),
	} {
		byHost, least, most := loads(t, hosts, 4_000)
		sum, worst := 0.0, 0.0
		for _, h := range hosts {
			sum += h.Capacity.Cores
		}
		for _, h := range hosts {
			want := h.Capacity.Cores / sum
			worst = max(worst, byHost[h.Address]/want, want/byHost[h.Address])
		}
		t.Logf("%s: %d to %d hosts in an answer; the worst differs by a factor of %.3f", name, least, most, worst)
		assert.Assert(t, worst < 1.06, "%s: %v", name, worst)
	}
}

// A caller that holds an answer must reach hosts after the loss of any zone, also where nearly all capacity is in one zone.
// The loss must not take more of an answer than the zone has of the capacity, give or take one host.
func TestAnswerOutlastsTheLossOfAZone(t *testing.T) {
	uneven := fleet(1, sizeCount{6, large})
	for i, h := range fleet(2, sizeCount{4, small}) {
		h.Address, h.Zone = fmt.Sprintf("10.9.0.%d:7400", i), "other-"+h.Zone
		uneven = append(uneven, h)
	}
	many := fleet(1, sizeCount{80, large})
	many = append(many, placement.Host{Address: "10.9.0.1:7400", Zone: "other", Capacity: small})
	for name, hosts := range map[string][]placement.Host{
		"96 small beside 6 large": fleet(3, sizeCount{96, small}, sizeCount{6, large}),
		"one large, one small":    fleet(2, sizeCount{1, large}, sizeCount{2, small}),
		"large ones in one zone":  uneven,
		"a full answer":           many,
	} {
		zones := make(map[string]string)
		for _, h := range hosts {
			zones[h.Address] = h.Zone
		}
		for i := range 500 {
			named := placement.Named(hosts, limit, placement.Turn("10.0.0.2:7402", uint64(i)))
			inZone := make(map[string]int)
			for _, address := range named {
				inZone[zones[address]]++
			}
			assert.Assert(t, len(inZone) >= 2 && len(named) <= limit, "%s: %v", name, inZone)
			if name == "96 small beside 6 large" {
				for _, n := range inZone {
					assert.Assert(t, n >= 3 && n <= 5, "%v", inZone)
				}
			}
		}
	}
}

// Without capacities, answers must stay the first hosts in their order, this host first.
func TestAnswersAreUnchangedWithoutCapacities(t *testing.T) {
	hosts := fleet(3, sizeCount{102, core.Capacity{}})
	slices.Reverse(hosts)
	named := placement.Named(hosts, limit, 0.3)
	assert.Equal(t, len(named), limit)
	for i, address := range named {
		assert.Equal(t, address, hosts[i].Address)
	}
	assert.Equal(t, len(placement.Named(nil, limit, 0.3)), 0)
}

// During a rolling update some hosts state nothing, and one may state nonsense. All must still be named, and a host that
// states nothing as often as the largest.
func TestHostThatStatesNothingCountsAsTheLargest(t *testing.T) {
	nonsense := core.Capacity{Cores: -1, LinkMbps: -5}
	hosts := fleet(2, sizeCount{4, core.Capacity{}}, sizeCount{4, large}, sizeCount{4, small}, sizeCount{1, nonsense})
	byHost, _, _ := loads(t, hosts, 5000)
	assert.Equal(t, len(byHost), len(hosts))
	for i := range 4 {
		ratio := byHost[hosts[i].Address] / byHost[hosts[4+i].Address]
		assert.Assert(t, ratio > 0.99 && ratio < 1.01, "%v", ratio)
	}
}

// Hosts give their answers at the same time, so they must not all name the same small hosts.
func TestHostsNameDifferentSmallHostsAtTheSameTime(t *testing.T) {
	hosts := fleet(3, sizeCount{96, small}, sizeCount{6, large})
	seen := make(map[string]bool)
	for i := range 30 {
		for _, address := range placement.Named(hosts, limit, placement.Turn(fmt.Sprintf("10.0.0.%d:7402", i), 1)) {
			seen[address] = true
		}
	}
	assert.Assert(t, len(seen) > 70, "%d hosts named", len(seen))
}
