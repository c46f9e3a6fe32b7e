package settings

// Capacity states what this host can carry, in the fields of core.Capacity. A value of 0, the default, is unknown.
// Connections is a number like the others, since the platform's limits are.
type Capacity struct {
	Cores       float64 `json:"cores,omitempty" jsonschema:"minimum=0,description=share of the processor in cores"`
	MemoryMB    float64 `json:"memory_mb,omitempty" jsonschema:"minimum=0,description=memory of this host in megabytes of 2^20 bytes"`
	Connections float64 `json:"connections,omitempty" jsonschema:"minimum=0,description=connections that may be open at one time"`
	LinkMbps    float64 `json:"link_mbps,omitempty" jsonschema:"minimum=0,description=bandwidth of the link in each direction in megabits a second"`
}
