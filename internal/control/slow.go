package control

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/clock"
)

// slowRound is the length of a round of the control loop from which it is logged:
// half a heartbeat interval. Rounds that last several make the leader lose its lease.
const slowRound = 100 * time.Millisecond

// phase is a part of a round of the control loop.
type phase int

// The phases.
const (
	phaseWait    phase = iota // for work, or for the processor
	phaseTake                 // messages, proposals and queries
	phaseStore                // the log, with its sync
	phaseSend                 // messages
	phaseApply                // committed entries
	phaseCompact              // a snapshot
	phases
)

// stopwatch measures the rounds of the control loop by phase.
type stopwatch struct {
	last  time.Duration // on the boot clock
	spent [phases]time.Duration
}

// end adds the time since the last call to p.
func (s *stopwatch) end(p phase) {
	now := clock.Now()
	s.spent[p] += now - s.last
	s.last = now
}

// report logs the round if it was slow, and begins the next one.
func (s *stopwatch) report(l *log.Logger) {
	total := time.Duration(0)
	for _, d := range s.spent {
		total += d
	}
	if total >= slowRound {
		ms := func(p phase) int64 { return s.spent[p].Milliseconds() }
		l.Warn("Control loop was slow.", "ms", total.Milliseconds(), "wait_ms", ms(phaseWait), "take_ms", ms(phaseTake),
			"store_ms", ms(phaseStore), "send_ms", ms(phaseSend), "apply_ms", ms(phaseApply), "compact_ms", ms(phaseCompact))
	}
	s.spent = [phases]time.Duration{}
}
