package target

// Lane is the kind of work that an engine is reserved for. Short and middle work goes to another lane only if its own would
// be slower by a margin, middle work also only after some time in the queue. Long work stays in the long lane.
type Lane int

// The lanes. Engines of the long lane accept prefills at any position, so their inter-token latency is higher.
const (
	LaneShort Lane = iota
	LaneMiddle
	LaneLong
)

// Lanes is the number of lanes.
const Lanes = 3

// String returns the lane's name.
func (l Lane) String() string { return [Lanes]string{"short", "middle", "long"}[l] }
