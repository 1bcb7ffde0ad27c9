package control

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/state"
)

// groupClock is the time of the control group as one replica reads it. Between the commands
// that the replica applies it advances with the boot clock, so that neither the wall clock
// of a leader nor a change of the leader makes it jump. It stands still while the whole
// group is down. Wall clocks only choose the time at which it starts.
type groupClock struct {
	time time.Time     // zero: not started
	at   time.Duration // reading of the boot clock at that time
}

// now returns the time of the group, or wall if the clock has not started.
func (c groupClock) now(boot time.Duration, wall time.Time) time.Time {
	if c.time.IsZero() {
		return wall
	}
	return c.time.Add(boot - c.at)
}

// advanceTo returns the clock after a command with time t was applied. The clock never goes
// back.
func (c groupClock) advanceTo(t time.Time, boot time.Duration) groupClock {
	if t.IsZero() || !t.After(c.now(boot, time.Time{})) {
		return c
	}
	return groupClock{time: t, at: boot}
}

// lastCommandTime returns the group's time in the newest command of es, or zero if there is
// none. Entries that cannot be decoded are left to apply, which reports them.
func lastCommandTime(es []consensus.Entry) time.Time {
	for i := len(es) - 1; i >= 0; i-- {
		if es[i].Kind != consensus.EntryCommand {
			continue
		}
		if c, err := state.DecodeCommand(es[i].Data); err == nil {
			return c.Time()
		}
	}
	return time.Time{}
}
