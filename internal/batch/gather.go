package batch

import "time"

// Bounds of reading events together.
const (
	// gatherFrom is the number of runs up to which every event is read at once: a
	// leader with half a core reads their 2,000 events a second easily.
	gatherFrom = 48
	// gatherStep is added for each further run, so that the reads a second stay
	// about the same.
	gatherStep = 500 * time.Microsecond
	// maxGather is small beside the time of a run and beside eventTimeout.
	maxGather = 100 * time.Millisecond
)

// gatherPause is how long a run waits between two reads of its events while so many
// run. Reading each event by itself costs a leader of hundreds of runs more than all
// else that it does, and nobody needs single events.
func gatherPause(running int) time.Duration {
	return min(time.Duration(max(0, running-gatherFrom))*gatherStep, maxGather)
}
