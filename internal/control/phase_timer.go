package control

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/clock"
)

// An iteration of the control loop is logged if it takes at least slowIteration, which is
// half a heartbeat interval. An iteration that lasts several heartbeat intervals makes the
// leader lose its lease.
const slowIteration = 100 * time.Millisecond

// phase is a part of an iteration of the control loop.
type phase int

// The phases of an iteration.
const (
	phaseWait    phase = iota // waiting for an event, or for the CPU
	phaseReceive              // processing received messages, proposals and queries
	phaseStore                // writing and syncing the log
	phaseSend                 // sending messages
	phaseApply                // applying committed log entries
	phaseCompact              // starting a snapshot
	phaseCount
)

// phaseTimer measures the phases of each iteration of the control loop.
type phaseTimer struct {
	last  time.Duration // end of the last phase, on the boot clock
	spent [phaseCount]time.Duration
}

// end adds the time since the end of the previous phase to p.
func (t *phaseTimer) end(p phase) {
	now := clock.Now()
	t.spent[p] += now - t.last
	t.last = now
}

// report logs the iteration if it was slow, and resets the times for the next one.
func (t *phaseTimer) report(l *log.Logger) {
	total := time.Duration(0)
	for _, d := range t.spent {
		total += d
	}
	if total >= slowIteration {
		ms := func(p phase) int64 { return t.spent[p].Milliseconds() }
		l.Warn("Control loop was slow.", "ms", total.Milliseconds(), "wait_ms", ms(phaseWait), "take_ms", ms(phaseReceive),
			"store_ms", ms(phaseStore), "send_ms", ms(phaseSend), "apply_ms", ms(phaseApply), "compact_ms", ms(phaseCompact))
	}
	t.spent = [phaseCount]time.Duration{}
}
