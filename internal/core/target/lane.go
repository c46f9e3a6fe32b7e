package target

// Lane is the work that an engine is kept for. Work of another lane goes there only when its own is worse.
type Lane int

// The lanes. Engines of the long lane take prefills at any position, so the time between tokens there is longer.
const (
	LaneShort Lane = iota
	LaneMiddle
	LaneLong
)

// Lanes is the number of lanes.
const Lanes = 3

// String returns the lane's name.
func (l Lane) String() string { return [Lanes]string{"short", "middle", "long"}[l] }
