package control

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// loggedDelay is how long a repair of the membership must be held up for a log line. A further
// line follows each time that the delay has doubled.
const loggedDelay = 500 * time.Millisecond

// membershipDelays is what the leader knows about repairs of the membership that are held up.
type membershipDelays struct {
	lostVotes map[consensus.ID]*membershipDelay // by the voter that has lost its disk
	refused   *membershipDelay                  // nil: the last change was not refused
	refusal   string                            // the change and the error
	waits     map[string]*membershipDelay       // by repairWait.key
}

// membershipDelay is a repair that is held up.
type membershipDelay struct {
	since  time.Time
	logged time.Duration // length of the delay at the last log line; 0: none
}

// due returns the length of the delay, and whether it is to be logged.
func (d *membershipDelay) due(now time.Time) (time.Duration, bool) {
	took := now.Sub(d.since)
	if took < max(loggedDelay, 2*d.logged) {
		return took, false
	}
	d.logged = took
	return took, true
}

// logLostVotes logs which lost votes wait for their successors.
func (d *membershipDelays) logLostVotes(now time.Time, v MembershipView, logger *log.Logger) {
	waiting := map[consensus.ID]*membershipDelay{}
	for id, m := range v.Members {
		successor, lost := v.successor(id)
		if !m.Voter || !lost {
			continue
		}
		waiting[id] = d.lostVotes[id]
		if waiting[id] == nil {
			waiting[id] = &membershipDelay{since: now}
		}
		took, due := waiting[id].due(now)
		if !due {
			continue
		}
		_, isMember := v.Members[successor.ID]
		holds, answers := v.Match[successor.ID]
		logger.Warn("Lost vote waits for its successor.", "lost", id, "successor", successor.ID, "member", isMember, "answers", answers,
			"must_hold", v.TakeoverIndex[id], "holds", holds, "commit", v.Commit, "ms", took.Milliseconds())
	}
	d.lostVotes = waiting
}

// logRefusal logs a change that was refused, or not committed in time. Refusals of a moment are
// usual, for example while an earlier change is not committed.
func (d *membershipDelays) logRefusal(now time.Time, change string, err error, logger *log.Logger) {
	if refusal := change + err.Error(); d.refused == nil || d.refusal != refusal {
		d.refused, d.refusal = &membershipDelay{since: now}, refusal
	}
	if took, due := d.refused.due(now); due {
		logger.Warn("Failed to change the control group's membership.", "change", change, "err", err.Error(), "ms", took.Milliseconds())
		return
	}
	logger.Debug("Failed to change the control group's membership.", "change", change, "err", err.Error())
}
