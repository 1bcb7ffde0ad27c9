package control

import (
	"context"
	"maps"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

// membersPerVoter times the desired number of voters bounds the members of the group. Each
// voter has a caught-up learner to take its place; a leader's work grows with each further
// member, which would add nothing.
const membersPerVoter = 2

// reconcileInterval is the time between two checks of the control group's membership.
const reconcileInterval = 100 * time.Millisecond

// MembershipReconciler changes the membership of the control group while its replica is
// the leader. It adds new replicas, replaces lost ones and removes those that are being
// retired.
type MembershipReconciler struct {
	replica  *Replica
	live     func() []consensus.Member // replicas that run now
	voters   func() int                // desired number of voters
	log      *log.Logger
	lastLive map[consensus.ID]time.Time // when each member was last live, as seen by this process
	viewedAt time.Time                  // the last call of view
	behind   map[consensus.ID]time.Time // since when each learner lacks committed entries, as seen in term
	delays   membershipDelays
	term     uint64
	awaiting time.Time // since when answers are awaited again, see awaitAnswers
	leasedAt time.Time // the last check with a valid lease
}

// NewMembershipReconciler returns a reconciler for the control group of replica. live
// returns the replicas that run now, and voters the desired number of voters.
func NewMembershipReconciler(replica *Replica, live func() []consensus.Member, voters func() int, logger *log.Logger) *MembershipReconciler {
	return &MembershipReconciler{replica: replica, live: live, voters: voters, log: logger, lastLive: map[consensus.ID]time.Time{}}
}

// Run reconciles the membership until ctx ends.
func (r *MembershipReconciler) Run(ctx context.Context) {
	periodic.Every(ctx, reconcileInterval, func() { r.reconcile(ctx) })
}

func (r *MembershipReconciler) reconcile(ctx context.Context) {
	now := time.Now()
	l := r.replica.Leadership()
	r.observeLease(now, l.Valid(), l.Term)
	view := r.view(now)
	r.delays.logWaits(now, l.Valid(), view, r.log)
	if !l.Valid() {
		return
	}
	if now.Sub(r.awaiting) > newLeaderGrace {
		r.replica.publishSilence(l.Term, view.silentMembers())
	}
	r.logCatchUp(now, view)
	r.delays.logLostVotes(now, view, r.log)
	next, reason, ok := view.NextChange()
	if !ok {
		r.delays.refused = nil
		return
	}
	change := func(current consensus.Membership) consensus.Membership {
		if string(current.Encode()) != string(view.Members.Encode()) {
			return current // the membership changed in the meantime; check again next time
		}
		return next
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := r.replica.submit(ctx, &proposal{change: change}); err != nil {
		r.delays.logRefusal(time.Now(), reason, err, r.log)
		return
	}
	r.delays.refused = nil
	r.log.Info("Control group membership changed.", "change", reason, "term", l.Term, "voters", next.Voters(), "members", len(next))
}

// newLeaderGrace is the time for which a new leader takes no member for dead. Members that
// it has not heard of while it was cut off answer its heartbeats meanwhile.
const newLeaderGrace = 500 * time.Millisecond

// A shorter time in which nothing was heard cannot make a running member silent for voterDeadAfter.
const (
	// maxUnnoticedGap is the longest time between two views after which answers are not awaited again.
	maxUnnoticedGap = voterDeadAfter - newLeaderGrace
	// maxUnnoticedLapse is the same for a lapse of the lease.
	maxUnnoticedLapse = voterDeadAfter - consensus.DefaultLeaseDuration
)

// observeLease prepares the reconciler for a term in which its replica leads, or for the time
// after a lapse of its lease.
func (r *MembershipReconciler) observeLease(now time.Time, valid bool, term uint64) {
	switch {
	case !valid:
		return
	case term != r.term:
		r.term, r.behind, r.delays = term, map[consensus.ID]time.Time{}, membershipDelays{}
		r.awaitAnswers(now)
	case now.Sub(r.leasedAt) > maxUnnoticedLapse:
		r.awaitAnswers(now)
	}
	r.leasedAt = now
}

// awaitAnswers takes no member for silent for newLeaderGrace from now on: nothing could be heard
// before.
func (r *MembershipReconciler) awaitAnswers(now time.Time) {
	r.awaiting = now
	for id, t := range r.lastLive {
		if earliest := now.Add(newLeaderGrace - voterDeadAfter); t.Before(earliest) {
			r.lastLive[id] = earliest
		}
	}
}

// loggedCatchUp is the shortest time for which a learner must have lacked entries for a log
// line. Under load a learner lacks the newest entry at nearly any moment.
const loggedCatchUp = 500 * time.Millisecond

// logCatchUp logs when a learner that lacked committed entries holds them all but the newest.
func (r *MembershipReconciler) logCatchUp(now time.Time, view MembershipView) {
	for id, m := range view.Members {
		since, behind := r.behind[id]
		switch caughtUp := m.Voter || view.Match[id] >= view.RecentCommit; {
		case !caughtUp && !behind:
			r.behind[id] = now
		case caughtUp && behind:
			delete(r.behind, id)
			if took := now.Sub(since); took >= loggedCatchUp {
				r.log.Info("Learner has caught up.", "id", id, "voter", m.Voter, "commit", view.Commit, "ms", took.Milliseconds())
			}
		}
	}
}

// view records which members are live, and returns the input for the next change. It also
// runs while the replica is not the leader, so that a new leader knows for how long a
// member has been silent: otherwise a lost voter would stay as long as leaders change.
func (r *MembershipReconciler) view(now time.Time) MembershipView {
	st := r.replica.Status()
	v := MembershipView{
		Self: st.ID, Members: st.Members, Match: map[consensus.ID]uint64{}, Commit: st.Commit, RecentCommit: st.RecentCommit,
		TakeoverIndex: st.TakeoverIndex, Live: r.live(),
		SilentFor: map[consensus.ID]time.Duration{}, Retiring: r.replica.retiringReplicas(), Voters: r.voters(),
	}
	v.MaxMembers = membersPerVoter * v.Voters
	if now.Sub(r.viewedAt) > maxUnnoticedGap {
		r.awaitAnswers(now) // this process did not run
	}
	r.viewedAt = now
	leads := st.Role == consensus.Leader
	for _, m := range v.Live {
		if _, known := r.lastLive[m.ID]; !leads || !known {
			r.lastLive[m.ID] = now
		}
	}
	for _, id := range st.Active {
		v.Match[id] = st.Match[id]
	}
	for id, silence := range st.Silence {
		if answered := now.Add(-silence); answered.After(r.lastLive[id]) {
			r.lastLive[id] = answered
		}
	}
	for id, m := range st.Members {
		if _, ok := r.lastLive[id]; !ok {
			r.lastLive[id] = now // not seen before: wait the full timeout from now
			if !m.Voter {
				r.lastLive[id] = now.Add(newLeaderGrace - voterDeadAfter)
			}
		}
		if id != st.ID {
			v.SilentFor[id] = now.Sub(r.lastLive[id])
		}
	}
	maps.DeleteFunc(r.lastLive, func(id consensus.ID, _ time.Time) bool {
		_, ok := st.Members[id]
		return !ok
	})
	return v
}
