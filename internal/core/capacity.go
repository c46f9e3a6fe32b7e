package core

// Capacity is what an entry host can carry, as its settings name it. A field of 0 is unknown.
type Capacity struct {
	// Cores is the share of the processor, in cores.
	Cores float64 `json:"cores,omitempty"`
	// MemoryMB is the memory of the host, in megabytes of 2^20 bytes.
	MemoryMB float64 `json:"memory_mb,omitempty"`
	// Connections is the number of connections that may be open at one time.
	Connections float64 `json:"connections,omitempty"`
	// LinkMbps is the bandwidth of the link in each direction, in megabits a second.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}
