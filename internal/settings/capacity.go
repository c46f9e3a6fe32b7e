package settings

// Capacity states what this host can carry, in the fields of core.Capacity. A value of 0, the default, is unknown.
// Connections is a number like the others, since the platform's limits are.
type Capacity struct {
	Cores       float64 `json:"cores,omitempty" jsonschema:"minimum=0,description=share of the processor in cores"`
	MemoryMB    float64 `json:"memory_mb,omitempty" jsonschema:"minimum=0,description=memory of this host in megabytes of 2^20 bytes"`
	Connections float64 `json:"connections,omitempty" jsonschema:"minimum=0,description=connections that may be open at one time"`
	LinkMbps    float64 `json:"link_mbps,omitempty" jsonschema:"minimum=0,description=bandwidth of the link in each direction in megabits a second"`
}

const (
	bytesPerMB = 1 << 20
	// garbageFactor is how many times the memory in use the Go heap may take before it is collected.
	garbageFactor = 2
	// controlMB is the memory that control may take, in megabytes.
	controlMB = 32
	// bodyShare is the part of the other memory that request bodies may take. The rest is for answers.
	bodyShare = 0.5
	// minBodyShare is the least part of the whole memory that request bodies may take, on a host of little memory.
	minBodyShare = 1.0 / 16
	// minAnswerMB is the least memory for answers, in megabytes: one of the largest size and small ones beside it.
	minAnswerMB = 17
	// maxAnswerMB is the most memory for answers, and that of a host which does not state its memory.
	maxAnswerMB = 256
	// inputShare is the part of the whole memory that the heads of requests may take, and the messages of other entry hosts.
	inputShare = 1.0 / 16
	// minInputMB is the least memory for each of them, in megabytes: a few of the largest size. maxInputMB is the most, and that of a
	// host which does not state its memory.
	minInputMB = 8
	maxInputMB = 64
)

// BodyMemory returns the bound for the request bodies held at one time, in bytes: limits.body_bytes, or less where that is
// more than the stated memory has room for.
func (s *Settings) BodyMemory() int64 {
	if s.Capacity.MemoryMB <= 0 {
		return s.Limits.BodyBytes
	}
	room := max((s.Capacity.MemoryMB/garbageFactor-controlMB)*bodyShare, s.Capacity.MemoryMB*minBodyShare)
	return min(s.Limits.BodyBytes, int64(room*bytesPerMB))
}

// AnswerMemory returns the bound for the answers of targets held at one time, in bytes: what the stated memory leaves beside control
// and bodies.
func (s *Settings) AnswerMemory() int64 {
	if s.Capacity.MemoryMB <= 0 {
		return maxAnswerMB * bytesPerMB
	}
	room := (s.Capacity.MemoryMB/garbageFactor - controlMB) * (1 - bodyShare)
	return int64(min(max(room, minAnswerMB), maxAnswerMB) * bytesPerMB)
}

// HeadMemory returns the bound for the heads of requests held at one time, in bytes.
func (s *Settings) HeadMemory() int64 { return s.inputMemory() }

// PeerMemory returns the bound for the messages that other entry hosts send at one time, in bytes.
func (s *Settings) PeerMemory() int64 { return s.inputMemory() }

func (s *Settings) inputMemory() int64 {
	if s.Capacity.MemoryMB <= 0 {
		return maxInputMB * bytesPerMB
	}
	return int64(min(max(s.Capacity.MemoryMB*inputShare, minInputMB), maxInputMB) * bytesPerMB)
}

// Parts of the connections that a host may have open, for each interface. What is left is for those that the host opens itself: to
// targets, the platform and other entry hosts.
const (
	callerConnectionShare   = 3.0 / 8
	peerConnectionShare     = 1.0 / 8
	lookupConnectionShare   = 1.0 / 16
	readyConnectionShare    = 1.0 / 64
	operatorConnectionShare = 1.0 / 64
)

// ConnectionLimits are the numbers of connections that may be open at one time on each interface.
type ConnectionLimits struct{ Callers, Operators, Peers, Lookups, Ready int }

// ConnectionLimits returns the bounds of Limits, or less where the stated number of connections has no room for them.
func (s *Settings) ConnectionLimits() ConnectionLimits {
	within := func(limit int, share float64) int {
		if s.Capacity.Connections <= 0 {
			return limit
		}
		return min(limit, max(int(s.Capacity.Connections*share), 1))
	}
	l := s.Limits
	return ConnectionLimits{
		Callers:   within(l.CallerConnections, callerConnectionShare),
		Operators: within(l.OperatorConnections, operatorConnectionShare),
		Peers:     within(l.PeerConnections, peerConnectionShare),
		Lookups:   within(l.LookupConnections, lookupConnectionShare),
		Ready:     within(l.ReadyConnections, readyConnectionShare),
	}
}
