package state

import "time"

// maxIntervals is the number of usage intervals that are retained, so that a usage report
// is never repeated with different counts.
const maxIntervals = 256

// IntervalFix records the counts of one usage interval of the wall clock. The first
// counts committed for an interval are final.
type IntervalFix struct {
	Interval uint64           `json:"interval"` // number of the interval, counted from 1970
	Requests map[string]int64 `json:"requests"` // number of requests begun, by client account
}

// Interval is a usage interval with its final counts.
type Interval struct {
	Number   uint64           `json:"number"`
	Requests map[string]int64 `json:"requests"`
	Fixed    time.Time        `json:"fixed"` // wall-clock time of the leader
}

func (s *State) intervalFix(c *IntervalFix, at time.Time) Outcome {
	l := s.Ledger
	if old, ok := l.Intervals[c.Interval]; ok {
		return Outcome{Interval: &old}
	}
	i := Interval{Number: c.Interval, Requests: c.Requests, Fixed: at}
	l.Intervals[c.Interval] = i
	for n := range l.Intervals {
		if n+maxIntervals < c.Interval {
			delete(l.Intervals, n)
		}
	}
	return Outcome{Interval: &i}
}

// RetireMark marks a replica for retirement. The replica never rejoins the control group
// under the same ID.
type RetireMark struct {
	Replica string `json:"replica"`
}
