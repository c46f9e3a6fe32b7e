package route

import (
	"math"

	"carobshunt/internal/core/target"
)

// Demand is offered prefill work by lane, in tokens of weight 1 a second.
type Demand [target.Lanes]float64

// Room that a lane is given over its demand, as a factor. Short work is given most, since its time between tokens is
// what its engines' prefill leaves; how much more is the preset's.
const (
	shortRoom           = 2.5
	shortRoomPerPercent = 0.08
	middleRoom          = 2.4
	longRoom            = 1.0
)

// The short lane has an engine for each shortLaneRate of its demand, in tokens of weight 1 a second, however much other
// work there is, but no more than a part of all engines, as a divisor.
const (
	shortLaneRate = 4_000
	shortLanePart = 3
)

// LaneSizes splits so many engines into lanes in proportion to the demand and the room over it. At least
// protectPercent of the engines take no long prefill, and each lane has an engine while there are enough.
func LaneSizes(engines int, demand Demand, protectPercent int64) [target.Lanes]int {
	if engines < target.Lanes {
		return [target.Lanes]int{target.LaneLong: engines}
	}
	room := Demand{shortRoom + shortRoomPerPercent*float64(protectPercent), middleRoom, longRoom}
	sum := 0.0
	for i := range demand {
		sum += demand[i] * room[i]
	}
	share := func(lane target.Lane) int {
		if sum == 0 {
			return engines / target.Lanes
		}
		return int(math.Round(float64(engines) * demand[lane] * room[lane] / sum))
	}
	protected := int(math.Ceil(float64(engines) * float64(protectPercent) / 100))
	maxLong := max(min(engines-protected, engines-2), 1)
	long := min(max(share(target.LaneLong), 1), maxLong)
	least := min(int(math.Ceil(demand[target.LaneShort]/shortLaneRate)), engines/shortLanePart)
	short := min(max(share(target.LaneShort), least, 1), engines-2)
	long = min(long, engines-short-1)
	return [target.Lanes]int{short, engines - long - short, long}
}

// AssignLanes gives each engine of one model its lane: the first ones in order are for short work, the last for long.
// All hosts know the same order, so they differ by as little as their views of the demand do.
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
