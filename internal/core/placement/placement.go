// Package placement chooses the entry hosts that the answer to a lookup names, so that hosts of different sizes get load in
// proportion to what they can carry.
//
// A caller picks one of the named hosts at random for each connection, with the same probability. So the weight of a host is
// expressed by how many answers name it: the hosts with the largest weight are in all answers, the others in as many as their
// part of the weight calls for, in turn. If all hosts together weigh as much as k of the largest, an answer names k hosts.
package placement

import (
	"cmp"
	"math"
	"slices"

	"carobshunt/internal/core"

	"github.com/cespare/xxhash/v2"
)

// Host is an entry host that takes requests.
type Host struct {
	// Address is where it serves callers.
	Address  string
	Zone     string
	Capacity core.Capacity
}

// goldenRatio is the fractional part of the golden ratio. Its multiples, modulo 1, fill the range from 0 to 1 evenly after
// any number of steps, so that hosts that only some answers name are named at even intervals.
const goldenRatio = 0.6180339887498949

// Turn returns the position in the rotation, from 0 to 1, of the answer number count of the host self.
// Hosts start at different positions, since callers may ask many hosts at once.
func Turn(self string, count uint64) float64 {
	start := float64(xxhash.Sum64String(self)>>11) / (1 << 53)
	return fraction(start + fraction(float64(count)*goldenRatio))
}

func fraction(x float64) float64 { return x - math.Floor(x) }

// Named returns the addresses that an answer names, at most limit, for a turn from 0 to 1. Over all turns, the expected load
// of a host is in proportion to its weight, see weights, unless limit or the next rule prevents it. An answer names hosts of
// two zones at least, if there are any, so that the loss of a zone leaves some. Where no host states its capacity, it names
// the first hosts, in their order.
func Named(hosts []Host, limit int, turn float64) []string {
	if !slices.ContainsFunc(hosts, func(h Host) bool { return h.Capacity != core.Capacity{} }) {
		return addresses(hosts[:min(len(hosts), limit)])
	}
	byZone := slices.SortedFunc(slices.Values(hosts), func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Address, b.Address))
	})
	w := weights(byZone)
	named := sample(byZone, inclusionProbabilities(w, answerSize(w, limit, turn)), turn)
	return addresses(spreadOverZones(byZone, w, named, limit, turn))
}

func addresses(hosts []Host) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.Address)
	}
	return out
}

// weights returns what each host can carry, in parts of the largest: the least of its parts of the largest cores, memory,
// connections and link of all hosts, since the scarcest resource limits it. A resource that a host does not state counts as
// the largest.
func weights(hosts []Host) []float64 {
	out := make([]float64, len(hosts))
	for i := range out {
		out[i] = 1
	}
	for _, resource := range []func(core.Capacity) float64{
		func(c core.Capacity) float64 { return c.Cores },
		func(c core.Capacity) float64 { return c.MemoryMB },
		func(c core.Capacity) float64 { return c.Connections },
		func(c core.Capacity) float64 { return c.LinkMbps },
	} {
		largest := 0.0
		for _, h := range hosts {
			largest = max(largest, resource(h.Capacity))
		}
		for i, h := range hosts {
			if value := resource(h.Capacity); value > 0 {
				out[i] = min(out[i], value/largest)
			}
		}
	}
	largest := slices.Max(out)
	for i := range out {
		out[i] /= largest
	}
	return out
}

// rounding is the tolerance for sums of weights that should be whole numbers.
const rounding = 1e-9

// answerSize returns the number of hosts to name. It is the sum of the weights, in parts of the largest weight, so that a
// host that all answers name gets its share. Where that is not a whole number, the answers of some turns name the number
// below it, and those of others the number above, so that the mean of the inverse is right.
func answerSize(weights []float64, limit int, turn float64) int {
	sum := rounding
	for _, w := range weights {
		sum += w
	}
	below := math.Floor(sum)
	if int(below) >= limit {
		return limit
	}
	// The part of the turns with the lower number, from: part/below + (1-part)/(below+1) = 1/sum.
	part := below * (below + 1 - sum) / sum
	if fraction(turn*sizeCycles) < part {
		return int(below)
	}
	return min(int(below)+1, len(weights))
}

// sizeCycles is how often the answer size alternates over the range of turns. It is a large prime, so that the size is not
// correlated with which hosts are named.
const sizeCycles = 1009

// inclusionProbabilities returns the probability with which each host is named in an answer of that size: 1 for the hosts with the largest
// weight, as far as the size allows, and in proportion to the weight for the others.
func inclusionProbabilities(weights []float64, size int) []float64 {
	out := make([]float64, len(weights))
	certain := make([]bool, len(weights))
	for i, w := range weights {
		certain[i] = w > 1-rounding
	}
	if countTrue(certain) > size {
		clear(certain)
	}
	for {
		left, sum := float64(size-countTrue(certain)), 0.0
		for i, w := range weights {
			if !certain[i] {
				sum += w
			}
		}
		again := false
		for i, w := range weights {
			out[i] = 1
			if !certain[i] {
				out[i] = left * w / sum
			}
			if out[i] > 1 {
				certain[i], again = true, true
			}
		}
		if !again {
			return out
		}
	}
}

func countTrue(flags []bool) int {
	n := 0
	for _, f := range flags {
		if f {
			n++
		}
	}
	return n
}

// sample chooses hosts by systematic sampling: the probabilities are laid end to end, and a host is named if a point at a
// whole number plus turn falls into its part. So the hosts of each zone, which are next to each other, get their part of each
// answer, give or take one.
func sample(hosts []Host, probability []float64, turn float64) []Host {
	var out []Host
	end := 0.0
	for i, h := range hosts {
		start := end
		end += probability[i]
		if math.Ceil(end-turn-rounding) > math.Ceil(start-turn-rounding) {
			out = append(out, h)
		}
	}
	return out
}

// spreadOverZones adds a host of another zone if all named ones are in the same zone: one of those with the largest weight
// elsewhere, in turn. It takes the place of another one where the answer is full.
func spreadOverZones(hosts []Host, weights []float64, named []Host, limit int, turn float64) []Host {
	for _, h := range named {
		if h.Zone != named[0].Zone {
			return named
		}
	}
	best := 0.0
	var candidates []Host
	for i, h := range hosts {
		if len(named) > 0 && h.Zone == named[0].Zone || weights[i] < best {
			continue
		}
		if weights[i] > best {
			best, candidates = weights[i], nil
		}
		candidates = append(candidates, h)
	}
	if len(candidates) == 0 {
		return named
	}
	return append(named[:min(len(named), limit-1)], candidates[int(turn*float64(len(candidates)))])
}
