package core

// Obstacle is why a request that waits has no target yet.
type Obstacle int

// The obstacles.
const (
	// ObstacleNone: it was not looked at yet.
	ObstacleNone Obstacle = iota
	// ObstacleTargets: no target of its service takes new work, or all those that do have failed it.
	ObstacleTargets
	// ObstacleSlots: all have as many streams as they serve at one time, or would answer far too late.
	ObstacleSlots
	// ObstacleMemory: no engine has the memory for it, or not enough of them have.
	ObstacleMemory
	// ObstacleOthers: reading it would make more of the others late than it is worth.
	ObstacleOthers
	// ObstacleTurn: another request for several engines goes first.
	ObstacleTurn
	// ObstaclePacing: another long prompt was placed a moment ago, or the host has just become ready.
	ObstaclePacing
	// ObstacleReservation: its engines have not granted their memory yet.
	ObstacleReservation
)

var obstacleNames = map[Obstacle]string{
	ObstacleNone:        "not looked at",
	ObstacleTargets:     "no target takes work",
	ObstacleSlots:       "all slots taken",
	ObstacleMemory:      "engine memory",
	ObstacleOthers:      "others would be late",
	ObstacleTurn:        "another group goes first",
	ObstaclePacing:      "other long prompts first",
	ObstacleReservation: "memory not granted yet",
}

// String implements fmt.Stringer.
func (o Obstacle) String() string { return obstacleNames[o] }
