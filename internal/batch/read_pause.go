package batch

import "time"

// Parameters of reading several events at once.
const (
	// maxAttemptsWithoutPause is the number of attempts in flight up to which events are
	// read without a pause. A leader with half a core easily reads their 2,000 events per
	// second.
	maxAttemptsWithoutPause = 48
	// readPausePerAttempt is added for each further attempt in flight, so that the number
	// of reads per second stays about the same.
	readPausePerAttempt = 500 * time.Microsecond
	// maxReadPause is short compared with the duration of an attempt and with eventTimeout.
	maxReadPause = 100 * time.Millisecond
)

// readPause returns the pause between two reads of the events of an attempt, given the
// number of attempts in flight. With hundreds of attempts, reading each event separately
// would cost the leader more than everything else, and no consumer needs single events.
func readPause(inFlight int) time.Duration {
	return min(time.Duration(max(0, inFlight-maxAttemptsWithoutPause))*readPausePerAttempt, maxReadPause)
}
