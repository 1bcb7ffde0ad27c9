package control

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// Times without a leader. The lines on one absence follow at doubling intervals.
const (
	loggedAbsence  = 2 * time.Second  // before the first line, and between lines on a changed standing
	longWait       = 10 * time.Second // outside of the group, before the level is warn
	loggedElection = time.Second      // without a leader, before a line says that one is known again
)

var (
	noLeaderSeconds = metrics.NewGauge("apricotstream_replica_no_leader_seconds", nil)
	votersHeard     = metrics.NewGauge("apricotstream_replica_voters_heard", nil)
	leaderAbsences  = metrics.NewCounter("apricotstream_replica_leader_absences_total")
)

// leaderAbsence is the time for which a replica has had no leader.
type leaderAbsence struct {
	lasts  bool
	since  consensus.Time
	logged time.Duration // length at the last line; 0: none
	kind   string        // of the standing in the last line
	// seen is the time of the last call. A replica that did not run for a while first processes the
	// messages that wait, before a line says that it has no leader.
	seen, quietUntil consensus.Time
}

// logLeaderAbsence logs that this replica has no leader, with what it hears and knows, and when it
// has one again.
func (r *Replica) logLeaderAbsence(st *consensus.Status) { r.absence.log(r.log, st, r.now()) }

func (a *leaderAbsence) log(logger *log.Logger, st *consensus.Status, now consensus.Time) {
	if now > a.seen+loggedDelay {
		a.quietUntil = now + loggedDelay
	}
	a.seen = now
	if hasLeader(st, now) {
		a.end(logger, st, now)
		return
	}
	if !a.lasts {
		*a = leaderAbsence{lasts: true, since: st.Contact.Leader, seen: a.seen, quietUntil: a.quietUntil}
		leaderAbsences.Inc()
	}
	took := now - a.since
	s := standingOf(st, now)
	noLeaderSeconds.Set(took.Seconds())
	votersHeard.Set(float64(len(s.heard)))
	changed := a.logged != 0 && s.kind != a.kind && took >= a.logged+loggedAbsence
	if now < a.quietUntil || took < max(loggedAbsence, 2*a.logged) && !changed {
		return
	}
	a.logged, a.kind = took, s.kind
	level, msg := log.WarnLevel, "Replica knows no leader."
	if s.kind == standingOutside {
		msg = "Replica waits outside of the control group."
		if took < longWait {
			level = log.InfoLevel
		}
	}
	logger.Log(level, msg, "id", st.ID, "standing", s.kind, "role", roleNames[st.Role], "ms", took.Milliseconds(),
		"heard", s.heard, "silent", s.silent, "quorum", st.Members.Quorum(), "voters", s.voters, "members", s.members,
		"term", st.Term, "last", st.LastIndex, "last_term", st.Contact.LastTerm, "membership_index", st.Contact.MembershipIndex)
}

// end ends the absence, if there is one.
func (a *leaderAbsence) end(logger *log.Logger, st *consensus.Status, now consensus.Time) {
	if !a.lasts {
		return
	}
	a.lasts = false
	noLeaderSeconds.Set(0)
	if took := now - a.since; took >= loggedElection {
		logger.Info("A leader is known again.", "id", st.ID, "leader", st.Leader, "term", st.Term, "ms", took.Milliseconds(),
			"voters", st.Members.Voters(), "members", len(st.Members), "last", st.LastIndex, "membership_index", st.Contact.MembershipIndex)
	}
}
