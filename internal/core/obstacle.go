package core

// Obstacle is the reason why a waiting request could not be dispatched.
type Obstacle int

// The obstacles.
const (
	// ObstacleNone: no dispatch was attempted yet.
	ObstacleNone Obstacle = iota
	// ObstacleTargets: no target of its service accepts new work, or the request has failed on all that do. With
	// another router than route.NewPacked, it also means that those that do have no room for the request.
	ObstacleTargets
	// ObstacleSlots: each engine has no free slot or memory, would answer far too late, or is left to other hosts.
	ObstacleSlots
	// ObstacleMemory: no engine with a free slot, or no sufficient group of engines, has the memory for it.
	ObstacleMemory
	// ObstacleDelaysOthers: the delay cost of its prefill to other requests exceeds the utility of its answer.
	ObstacleDelaysOthers
	// ObstacleGroupTurn: another request that needs several engines goes first, or it backs off after its last claim.
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
