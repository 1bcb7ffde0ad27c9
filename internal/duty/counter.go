package duty

import (
	"maps"
	"sync"
	"time"
)

// maxReportedIntervals is the number of intervals before the newest one that an entry
// still reports: a new leader needs all intervals that are not committed yet.
const maxReportedIntervals = 5

// Counter counts the requests that began to run at one entry, by usage interval and
// client account. A request counts once for each of its attempts that may have run.
type Counter struct {
	intervalLength time.Duration
	source         string

	mu     sync.Mutex
	counts map[uint64]map[string]int64
}

// NewCounter returns a counter whose usage intervals are aligned to the wall clock. source
// is the incarnation of the entry.
func NewCounter(source string, intervalLength time.Duration) *Counter {
	return &Counter{source: source, intervalLength: intervalLength, counts: map[uint64]map[string]int64{}}
}

// Began implements proxy.UsageCounter. It also discards intervals that are too old to
// report.
func (c *Counter) Began(account string, at time.Time) {
	interval := intervalOf(at, c.intervalLength)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[interval] == nil {
		c.counts[interval] = map[string]int64{}
		for old := range c.counts {
			if old+maxReportedIntervals < interval {
				delete(c.counts, old)
			}
		}
	}
	c.counts[interval][account]++
}

// intervalOf returns the number of the usage interval that contains at.
func intervalOf(at time.Time, length time.Duration) uint64 {
	return uint64(at.UnixNano() / int64(length))
}

// RequestCounts is the number of requests that one entry has counted so far, by usage
// interval and client account.
type RequestCounts struct {
	Source    string                      `json:"source"` // incarnation of the entry
	Intervals map[uint64]map[string]int64 `json:"intervals"`
}

// RequestCounts returns a copy of the counts of the newest intervals.
func (c *Counter) RequestCounts() RequestCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := RequestCounts{Source: c.source, Intervals: map[uint64]map[string]int64{}}
	for n, counts := range c.counts {
		r.Intervals[n] = maps.Clone(counts)
	}
	return r
}
