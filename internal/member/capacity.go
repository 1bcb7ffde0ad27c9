package member

// Capacity is what the process of a daemon may use of its machine. A value of 0 is unknown.
// The names in the encoding are short because a description is part of every probe.
type Capacity struct {
	Cores       float64 `json:"c,omitempty"`
	MemoryMB    int     `json:"m,omitempty"`
	Descriptors int     `json:"d,omitempty"`
	LinkMbps    float64 `json:"l,omitempty"`
}

// resourceCount is the number of resources of a Capacity.
const resourceCount = 4

// resources returns the values of c in a fixed order.
func (c Capacity) resources() [resourceCount]float64 {
	return [resourceCount]float64{c.Cores, float64(c.MemoryMB), float64(c.Descriptors), c.LinkMbps}
}
