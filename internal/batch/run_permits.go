package batch

import "time"

// Timing of carried runs.
const (
	// permitDuration is how long a carrier continues without hearing from the leader. It is
	// several times holdInterval, because a leader that lacks processor time sends late.
	permitDuration = 1200 * time.Millisecond
	// holdInterval is the time between two holds to a carrier with runs.
	holdInterval = 200 * time.Millisecond
	// carrierSilence is the time without progress of a carrier after which the leader gives
	// its runs up. They end at the latest when their permit does.
	carrierSilence = 900 * time.Millisecond
	// permitSlack is added to the end of a permit for a carrier to notice it and to close
	// the connections.
	permitSlack = 100 * time.Millisecond
)

// runPermits decides on a carrier which runs may go on. It is a state machine without I/O;
// times are readings of the carrier's boot clock.
type runPermits struct {
	incarnation int64
	term        uint64 // highest one seen
	until       map[string]time.Duration
}

func newRunPermits(incarnation int64) *runPermits {
	return &runPermits{incarnation: incarnation, until: map[string]time.Duration{}}
}

// admits reports whether a permit counts: it is for this process, has not run out, and no
// leader of a later term is known. ended are the runs of earlier terms, which end.
func (p *runPermits) admits(now time.Duration, q Permit) (ok bool, ended []string) {
	if q.Incarnation != p.incarnation || q.Until <= now {
		return false, nil
	}
	return p.learn(q.Term)
}

// learn takes the term of a leader. It returns false if a later one is known. ended are the runs
// of earlier terms, which end.
func (p *runPermits) learn(term uint64) (ok bool, ended []string) {
	if term < p.term {
		return false, nil
	}
	if term > p.term {
		for run := range p.until {
			ended = append(ended, run)
		}
		p.term, p.until = term, map[string]time.Duration{}
	}
	return true, ended
}

// begin admits a run. It returns false if the permit does not count.
func (p *runPermits) begin(now time.Duration, q Permit, run string) (ok bool, ended []string) {
	if ok, ended = p.admits(now, q); ok {
		p.until[run] = q.Until
	}
	return ok, ended
}

// hold renews the runs that h lists and ends the others.
func (p *runPermits) hold(now time.Duration, h Hold) (ended []string) {
	ok, ended := p.admits(now, h.Permit)
	if !ok {
		return nil
	}
	listed := map[string]bool{}
	for _, r := range h.Runs {
		listed[r.Run] = true
	}
	for run, until := range p.until {
		// A run that began after the hold was sent has a later permit.
		if listed[run] {
			p.until[run] = max(until, h.Until)
		} else if until < h.Until {
			ended = append(ended, run)
			delete(p.until, run)
		}
	}
	return ended
}

// expire ends the runs whose permit has run out.
func (p *runPermits) expire(now time.Duration) (ended []string) {
	for run, until := range p.until {
		if until <= now {
			ended = append(ended, run)
			delete(p.until, run)
		}
	}
	return ended
}

// end removes a run that has ended by itself.
func (p *runPermits) end(run string) { delete(p.until, run) }

// carrierOffset estimates a carrier's boot clock from its readings. A reading is older than
// its arrival, so that the estimate is never ahead of the carrier's clock, and the latest
// estimate is the best. The zero value knows no reading.
type carrierOffset struct {
	incarnation int64
	offset      time.Duration // carrier's clock minus the leader's
	known       bool
}

// observe takes a reading that arrived at now on the leader's clock.
func (o *carrierOffset) observe(now time.Duration, c CarrierClock) {
	if offset := c.Now - now; !o.known || o.incarnation != c.Incarnation || offset > o.offset {
		*o = carrierOffset{incarnation: c.Incarnation, offset: offset, known: true}
	}
}

// permit returns a permit that runs out at the carrier within permitDuration from now.
func (o *carrierOffset) permit(now time.Duration, term uint64, leader string) Permit {
	return Permit{Term: term, Leader: leader, Incarnation: o.incarnation, Until: now + o.offset + permitDuration}
}
