package control

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/state"
)

// termTimes measures how long each leader led at least, from the entries that a replica applies. A
// leader that has acted has committed an entry of its term, so the term before that of a new leader in
// its log is that of the last leader that acted, or of a later one that only proposed entries. Both
// took over after every earlier leader had acted for the last time.
type termTimes struct {
	term   uint64    // of the newest entry
	newest time.Time // newest time of the group in any command
	// began is newest at the first command of term, or zero before that command. It includes earlier
	// commands, because the group's time at a new leader may lag until it has applied all of them.
	began          time.Time
	predecessorLed time.Duration // time between the first and the last command of the term before
}

// atSnapshot returns the times after a snapshot with the given end, whose last command has time
// newest. What came before the snapshot is known only if it ends in the term of the newest entry.
func (t termTimes) atSnapshot(end consensus.SnapshotMeta, newest time.Time) termTimes {
	if end.Term != t.term {
		t = termTimes{term: end.Term, newest: t.newest}
	}
	t.advance(newest)
	return t
}

// entry records an entry of a term. It must be called for all entries, in order.
func (t *termTimes) entry(term uint64) {
	if term != t.term {
		*t = termTimes{term: term, newest: t.newest, predecessorLed: t.led()}
	}
}

// command records a command after its entry. The measurement begins again with a command of an older
// build, which only has the wall clock of its leader.
func (t *termTimes) command(c state.Command) {
	t.advance(c.Time())
	if t.began.IsZero() || c.GroupTime.IsZero() {
		t.began = t.newest
	}
}

func (t *termTimes) advance(to time.Time) {
	if to.After(t.newest) {
		t.newest = to
	}
}

// led returns how long the leader of the newest term led at least.
func (t *termTimes) led() time.Duration {
	if t.began.IsZero() {
		return 0
	}
	return t.newest.Sub(t.began)
}
