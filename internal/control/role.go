package control

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/consensus"
)

// String values of a replica's role in log lines.
var roleNames = map[consensus.Role]string{
	consensus.Follower: "follower", consensus.PreCandidate: "pre-candidate",
	consensus.Candidate: "candidate", consensus.Leader: "leader",
}

// logRoleChange logs a change of role, term or leader, each election that failed, and what may
// delay the next one. old is nil on the first call.
func (r *Replica) logRoleChange(old, now *consensus.Status) {
	if old == nil || old.Role != now.Role || old.Term != now.Term || old.Leader != now.Leader {
		r.log.Info("Role in the control group.", "id", now.ID, "role", roleNames[now.Role], "term", now.Term, "leader", now.Leader,
			"commit", now.Commit, "last", now.LastIndex, "voters", now.Members.Voters(), "members", len(now.Members), "elected_early", now.ElectedEarly, "up_ms", r.upMs())
	}
	if old == nil || old.Role != now.Role || old.Term != now.Term {
		r.logAbsentVoters(now)
	}
	if old != nil && old.Election.Failed != now.Election.Failed {
		e := now.Election
		r.log.Warn("Election failed.", "failed", e.Failed, "pre_vote", e.PreVote, "term", now.Term, "last", now.LastIndex, "quorum", now.Members.Quorum(),
			"granted", e.Granted, "rejected", e.Rejected, "silent", silentVoters(now), "up_ms", r.upMs())
	}
	r.logElectionObstacles(now)
	r.logLeaderAbsence(now)
}

var votersCountedAbsent = metrics.NewCounter("apricotstream_voters_counted_absent_total")

// logAbsentVoters logs on a new leader which voters its early election has counted as absent.
func (r *Replica) logAbsentVoters(st *consensus.Status) {
	if len(st.AbsentVoters) == 0 {
		return
	}
	votersCountedAbsent.Add(len(st.AbsentVoters))
	r.log.Info("Early election counted voters as absent: they have lost their disks.", "id", st.ID, "term", st.Term, "absent", st.AbsentVoters,
		"quorum", st.Members.Quorum(), "voters", st.Members.Voters(), "last", st.LastIndex, "up_ms", r.upMs())
}

var leasesLapsed = metrics.NewCounter("apricotstream_leader_leases_lapsed_total")

// logLease logs when the replica acquires the leader lease, from where on it may serve reads,
// and when it has lost it. A lease that lapses without a change of the leader is acquired
// again in the same term.
func (r *Replica) logLease(old, now Leadership, st *consensus.Status) {
	if old.Term != 0 && old.Term != now.Term {
		leasesLapsed.Inc()
		r.log.Warn("Leader lease lost.", "id", st.ID, "term", old.Term, "role", roleNames[st.Role], "ended_ms", (clock.Now() - old.BootUntil).Milliseconds(),
			"commit", st.Commit, "last", st.LastIndex, "up_ms", r.upMs())
	}
	if now.Term != 0 && old.Term != now.Term {
		r.log.Info("Leader lease acquired.", "id", st.ID, "term", now.Term, "commit", st.Commit, "voters", st.Members.Voters(), "predecessor_led_ms", now.PredecessorLed.Milliseconds(), "up_ms", r.upMs())
	}
}

// silentVoters returns the voters that did not answer in the last failed election.
func silentVoters(st *consensus.Status) []consensus.ID {
	return slices.DeleteFunc(st.Members.IDs(), func(id consensus.ID) bool {
		return !st.Members.IsVoter(id) || slices.Contains(st.Election.Granted, id) || slices.Contains(st.Election.Rejected, id)
	})
}

// upMs returns the milliseconds since the replica began to read its data folder.
func (r *Replica) upMs() int64 { return (clock.Now() - r.openedAt).Milliseconds() }
