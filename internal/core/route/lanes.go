package route

import (
	"math"

	"carobshunt/internal/core/target"
)

// Demand is the offered prefill work of each lane, in weighted tokens per second.
type Demand [target.Lanes]float64

// Headroom of a lane: the weight of its demand when LaneSizes divides the engines. Short work gets the most, since
// prefill at its engines lengthens its inter-token gaps; the preset adds shortHeadroomPerPercent for each percent of
// protected engines.
const (
	shortHeadroom           = 2.5
	shortHeadroomPerPercent = 0.08
	middleHeadroom          = 2.4
	longHeadroom            = 1.0
)

// The short lane gets at least one engine for each shortLaneRate of its demand, in weighted tokens per second, whatever
// the demand of other lanes is; this minimum is capped at 1/shortLaneDivisor of all engines.
const (
	shortLaneRate    = 4_000
	shortLaneDivisor = 3
)

// LaneSizes splits a number of engines into lanes in proportion to demand times headroom. Each lane has at least one
// engine. At least protectPercent of the engines stay out of the long lane, except for that one. Fewer engines than
// lanes are all in the long lane.
func LaneSizes(engines int, demand Demand, protectPercent int64) [target.Lanes]int {
	if engines < target.Lanes {
		return [target.Lanes]int{target.LaneLong: engines}
	}
	headroom := Demand{shortHeadroom + shortHeadroomPerPercent*float64(protectPercent), middleHeadroom, longHeadroom}
	sum := 0.0
	for i := range demand {
		sum += demand[i] * headroom[i]
	}
	share := func(lane target.Lane) int {
		if sum == 0 {
			return engines / target.Lanes
		}
		return int(math.Round(float64(engines) * demand[lane] * headroom[lane] / sum))
	}
	protected := int(math.Ceil(float64(engines) * float64(protectPercent) / 100))
	maxLong := max(min(engines-protected, engines-2), 1)
	long := min(max(share(target.LaneLong), 1), maxLong)
	minShort := min(int(math.Ceil(demand[target.LaneShort]/shortLaneRate)), engines/shortLaneDivisor)
	short := min(max(share(target.LaneShort), minShort, 1), engines-2)
	long = min(long, engines-short-1)
	return [target.Lanes]int{short, engines - long - short, long}
}

// AssignLanes sets the lane of each engine of one model: the first ones are for short work, the last for long. All
// hosts use the same order, so their lanes differ only as far as their views of the demand and of the reporting engines
// do.
func AssignLanes(engines []*target.Target, sizes [target.Lanes]int) {
	for i, t := range engines {
		switch {
		case i < sizes[target.LaneShort]:
			t.Lane = target.LaneShort
		case i < sizes[target.LaneShort]+sizes[target.LaneMiddle]:
			t.Lane = target.LaneMiddle
		default:
			t.Lane = target.LaneLong
		}
	}
}
