package duty

import (
	"maps"
	"sync"
	"time"
)

// intervalsSent is how many of its newest intervals an entry reports: a new
// leader must hear of all that are not fixed yet.
const intervalsSent = 5

// Counter counts, at an entry, the requests that began to run.
type Counter struct {
	length time.Duration
	source string

	mu     sync.Mutex
	counts map[uint64]map[string]int64
}

// NewCounter returns a counter of intervals of the wall clock.
func NewCounter(source string, length time.Duration) *Counter {
	return &Counter{source: source, length: length, counts: map[uint64]map[string]int64{}}
}

// Began implements proxy.Usage.
func (c *Counter) Began(account string, at time.Time) {
	n := intervalOf(at, c.length)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[n] == nil {
		c.counts[n] = map[string]int64{}
		for old := range c.counts {
			if old+intervalsSent < n {
				delete(c.counts, old)
			}
		}
	}
	c.counts[n][account]++
}

func intervalOf(at time.Time, length time.Duration) uint64 {
	return uint64(at.UnixNano() / int64(length))
}

// Tally is what one entry has counted so far, by interval and account.
type Tally struct {
	Source    string                      `json:"source"` // incarnation of the entry
	Intervals map[uint64]map[string]int64 `json:"intervals"`
}

// Tally returns the counts of the newest intervals.
func (c *Counter) Tally() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := Tally{Source: c.source, Intervals: map[uint64]map[string]int64{}}
	for n, counts := range c.counts {
		t.Intervals[n] = maps.Clone(counts)
	}
	return t
}
