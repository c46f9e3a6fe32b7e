package core

// Obstacle is the reason why a waiting request could not be dispatched.
type Obstacle int

// The obstacles.
const (
	// ObstacleNone: no dispatch was attempted yet.
	ObstacleNone Obstacle = iota
	// ObstacleTargets: no target of its service accepts new work, or the request has failed on all that do.
	ObstacleTargets
	// ObstacleSlots: all targets serve their maximum number of streams, or would answer far too late.
	ObstacleSlots
	// ObstacleMemory: no engine, or no sufficient group of engines, has the memory for it.
	ObstacleMemory
	// ObstacleDelaysOthers: its prefill would delay other requests by more than the request is worth.
	ObstacleDelaysOthers
	// ObstacleGroupTurn: another request that needs several engines goes first.
	ObstacleGroupTurn
	// ObstaclePacing: another long prompt was placed a moment ago, or the host has just become ready.
	ObstaclePacing
	// ObstacleReservation: its engines have not granted the memory reservations yet.
	ObstacleReservation
)

var obstacleNames = map[Obstacle]string{
	ObstacleNone:         "not looked at",
	ObstacleTargets:      "no target takes work",
	ObstacleSlots:        "all slots taken",
	ObstacleMemory:       "engine memory",
	ObstacleDelaysOthers: "others would be late",
	ObstacleGroupTurn:    "another group goes first",
	ObstaclePacing:       "other long prompts first",
	ObstacleReservation:  "memory not granted yet",
}

// String implements fmt.Stringer.
func (o Obstacle) String() string { return obstacleNames[o] }
