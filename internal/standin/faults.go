package standin

import "time"

// Faults holds the faults that can be injected into an upstream.
type Faults struct {
	LoadLag       time.Duration `long:"load-lag" description:"announce load this late"`
	IgnoreFencing bool          `long:"ignore-fencing" description:"take orders with an old fencing number"`
	CrossEvery    int           `long:"cross-every" description:"answer every Nth request with another request's id"`
	CutEvery      int           `long:"cut-every" description:"cut every Nth answer short"`
	FailLoads     int           `long:"fail-swaps" description:"fail the first N weight swaps"`
	CrashOn       string        `long:"crash-on" description:"die when a body holds this text"`
	SlowEvery     int           `long:"slow-every" description:"run every Nth request ten times slower"`
}

// isNth reports whether count, the number of a request, is a multiple of n. It is false if
// n is not positive.
func isNth(n int, count int64) bool {
	return n > 0 && count%int64(n) == 0
}

// DefaultTokenTime is the default time that an engine takes to generate one token.
const DefaultTokenTime = 2 * time.Millisecond
