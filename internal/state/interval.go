package state

import "time"

// intervalsKept is how many fixed usage intervals are remembered, so that a
// report is never repeated with other figures.
const intervalsKept = 256

// IntervalFix fixes the figures of one usage interval of the wall clock. The
// first figures committed for an interval are final.
type IntervalFix struct {
	Interval uint64           `json:"interval"` // number of the interval since 1970
	Requests map[string]int64 `json:"requests"` // begun, by client account
}

// Interval is a usage interval whose figures never change.
type Interval struct {
	Number   uint64           `json:"number"`
	Requests map[string]int64 `json:"requests"`
	Fixed    time.Time        `json:"fixed"` // leader's wall clock
}

func (s *State) intervalFix(c *IntervalFix, at time.Time) Outcome {
	l := s.Ledger
	if old, ok := l.Intervals[c.Interval]; ok {
		return Outcome{Interval: &old}
	}
	i := Interval{Number: c.Interval, Requests: c.Requests, Fixed: at}
	l.Intervals[c.Interval] = i
	for n := range l.Intervals {
		if n+intervalsKept < c.Interval {
			delete(l.Intervals, n)
		}
	}
	return Outcome{Interval: &i}
}

// RetireMark says that a replica is to be emptied. It is not taken back into the
// group under the same identity.
type RetireMark struct {
	Replica string `json:"replica"`
}
