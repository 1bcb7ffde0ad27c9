package ratecap

import (
	"math"
	"time"
)

const (
	// unnamedAnswers is the number of answers without a rate, to requests sent after the
	// last one with a rate, from which on the upstream names none any more. A single answer
	// may lack it by mistake.
	unnamedAnswers = 2
	// recoveryTime is how long the rate of an upstream that names none any more is still
	// bounded. The bound doubles every recoveryDoubling, so that the requests of all daemons
	// do not return at once.
	recoveryTime     = 3 * time.Second
	recoveryDoubling = 500 * time.Millisecond
	// minRecoveryRate is the bound at the beginning of the recovery, in requests a second.
	minRecoveryRate = 1
	// endedRetention is how long a cap is kept after its end, so that a daemon that has not
	// heard of the end does not bring it back.
	endedRetention = time.Minute
	// goneRetention is how long the cap of an upstream that is not listed is kept. A daemon
	// may hear of a cap before it hears of the upstream.
	goneRetention = 30 * time.Second
	// maxCaps bounds the memory of a table. It is several times the largest number of
	// upstreams of a deployment.
	maxCaps = 1 << 14
)

// Cap is what a daemon knows of the rate that one incarnation of an upstream names.
type Cap struct {
	Incarnation int64
	Rate        float64   // last named, in requests a second
	NamedAt     time.Time // when an answer last named it
	EndedAt     time.Time // since when it is no longer named; zero while it is
	unnamed     int       // answers in a row without a rate, see unnamedAnswers
	told        bool      // learned from another daemon, not read in an answer
	cold        bool      // the bound of a cold upstream, see Cap.whileCold
}

// RateAt returns the rate that may be used at now.
func (c Cap) RateAt(now time.Time) float64 {
	if c.EndedAt.IsZero() {
		return c.Rate
	}
	grown := math.Exp2(now.Sub(c.EndedAt).Seconds() / recoveryDoubling.Seconds())
	return min(max(c.Rate, minRecoveryRate)*grown, MaxRate)
}

// over reports whether the upstream may get any number of requests again.
func (c Cap) over(now time.Time) bool {
	return !c.EndedAt.IsZero() && now.Sub(c.EndedAt) >= recoveryTime
}

// changedAt returns the time of the newest knowledge.
func (c Cap) changedAt() time.Time {
	if c.EndedAt.After(c.NamedAt) {
		return c.EndedAt
	}
	return c.NamedAt
}

// Observation is what answers of an upstream have said.
type Observation struct {
	ID          string
	Incarnation int64
	Rate        float64   // the rate named; 0: none was named
	SentAt      time.Time // when the request was sent
	At          time.Time // when the answer came
}

// Table holds the caps of upstreams, by id.
type Table struct {
	caps map[string]Cap
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{caps: map[string]Cap{}} }

// Get returns the cap of an incarnation of an upstream. It returns false if there is none,
// or none any more.
func (t *Table) Get(now time.Time, id string, incarnation int64) (Cap, bool) {
	c, ok := t.caps[id]
	if !ok || c.Incarnation != incarnation || c.over(now) {
		return Cap{}, false
	}
	return c, true
}

// Observe takes an observation and reports whether it changed what may be sent.
func (t *Table) Observe(o Observation) bool {
	c, ok := t.caps[o.ID]
	if ok && o.Incarnation < c.Incarnation {
		return false
	}
	if known := ok && o.Incarnation == c.Incarnation; !known {
		if o.Rate == 0 {
			return false // nothing says that an earlier incarnation has ended
		}
		c = Cap{}
	}
	if o.Rate == 0 {
		return t.observeUnnamed(o, c)
	}
	if o.At.Before(c.changedAt()) {
		return false
	}
	changed := c.Rate != o.Rate || !c.EndedAt.IsZero()
	t.put(o.ID, Cap{Incarnation: o.Incarnation, Rate: o.Rate, NamedAt: o.At})
	return changed
}

func (t *Table) observeUnnamed(o Observation, c Cap) bool {
	if !o.SentAt.After(c.NamedAt) || !c.EndedAt.IsZero() {
		return false
	}
	c.unnamed++
	if c.unnamed >= unnamedAnswers {
		c.EndedAt = o.At
	}
	t.put(o.ID, c)
	return !c.EndedAt.IsZero()
}

// Merge takes the cap that another daemon knows, if it is newer, and reports whether that
// changed what may be sent.
func (t *Table) Merge(id string, other Cap) bool {
	c, ok := t.caps[id]
	if ok && (other.Incarnation < c.Incarnation || other.Incarnation == c.Incarnation && !other.changedAt().After(c.changedAt())) {
		return false
	}
	other.told = true
	t.put(id, other)
	return c.Incarnation != other.Incarnation || c.Rate != other.Rate || c.EndedAt.IsZero() != other.EndedAt.IsZero()
}

// put stores a cap. When there are too many, the one that has not changed for the longest
// time goes.
func (t *Table) put(id string, c Cap) {
	t.caps[id] = c
	if len(t.caps) <= maxCaps {
		return
	}
	oldest := ""
	for other, x := range t.caps {
		if other != id && (oldest == "" || x.changedAt().Before(t.caps[oldest].changedAt())) {
			oldest = other
		}
	}
	delete(t.caps, oldest)
}

// Expire removes the caps that ended endedRetention ago, and those of upstreams for which
// gone returns true.
func (t *Table) Expire(now time.Time, gone func(id string, incarnation int64) bool) {
	for id, c := range t.caps {
		age := now.Sub(c.changedAt())
		if !c.EndedAt.IsZero() && age > endedRetention || age > goneRetention && gone(id, c.Incarnation) {
			delete(t.caps, id)
		}
	}
}
