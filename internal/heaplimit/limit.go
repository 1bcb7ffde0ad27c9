package heaplimit

// Parameters of the soft limit.
const (
	// baseFraction of the process's memory is the soft limit as long as the live heap
	// leaves enough room below it.
	baseFraction = 0.6
	// maxFraction of the memory is the highest soft limit. The rest is for what the runtime
	// doesn't count, such as the program itself and bytes that wait in sockets.
	maxFraction = 0.8
	// minRunway is the part of the live heap that may be allocated between two collections.
	// The runtime itself sets no such bound: with a live heap near the limit it collects
	// without a pause. It gives the collector up to half of the time of a whole core, which on
	// a VM with a share of a core is all that the process has.
	minRunway = 0.2
	// reservedFraction of the limit is kept free by the runtime.
	reservedFraction = 0.03
)

// usage is what the runtime holds, in bytes.
type usage struct {
	live  int64 // heap that the latest collection left
	other int64 // all but heap objects and free heap, such as stacks and unused parts of spans
}

// limitFor returns the soft limit in bytes for a process that may use memory bytes, and
// whether it leaves the live heap its minimum runway.
func limitFor(memory int64, u usage) (limit int64, hasRunway bool) {
	wanted := int64((float64(u.live)*(1+minRunway) + float64(u.other)) / (1 - reservedFraction))
	highest := int64(maxFraction * float64(memory))
	return max(int64(baseFraction*float64(memory)), min(wanted, highest)), wanted <= highest
}
