package control

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

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
	lastLive map[consensus.ID]time.Time // when each member was last live, as seen by this replica
}

// NewMembershipReconciler returns a reconciler for the control group of replica. live
// returns the replicas that run now, and voters the desired number of voters.
func NewMembershipReconciler(replica *Replica, live func() []consensus.Member, voters func() int, logger *log.Logger) *MembershipReconciler {
	return &MembershipReconciler{replica: replica, live: live, voters: voters, log: logger}
}

// Run reconciles the membership until ctx ends.
func (r *MembershipReconciler) Run(ctx context.Context) {
	periodic.Every(ctx, reconcileInterval, func() { r.reconcile(ctx) })
}

func (r *MembershipReconciler) reconcile(ctx context.Context) {
	l := r.replica.Leadership()
	// The view is needed at a follower too: the time for which a member was silent counts
	// from before this replica became the leader.
	view := r.view(time.Now())
	if !l.Valid() {
		return
	}
	next, reason, ok := view.NextChange()
	if !ok {
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
		r.log.Debug("Failed to change the control group's membership.", "change", reason, "err", err.Error())
		return
	}
	r.log.Info("Control group membership changed.", "change", reason, "term", l.Term, "voters", next.Voters(), "members", len(next))
}

func (r *MembershipReconciler) view(now time.Time) MembershipView {
	st := r.replica.Status()
	v := MembershipView{
		Self: st.ID, Members: st.Members, Match: st.Match, Commit: st.Commit, Live: r.live(),
		SilentFor: map[consensus.ID]time.Duration{}, Retiring: r.replica.retiringReplicas(), Voters: r.voters(),
	}
	lastLive := make(map[consensus.ID]time.Time, len(st.Members))
	for id := range st.Members {
		last, ok := r.lastLive[id]
		if !ok || st.Answering[id] || v.live(id) {
			last = now // a member seen for the first time counts as live
		}
		lastLive[id] = last
		if id != st.ID {
			v.SilentFor[id] = now.Sub(last)
		}
	}
	r.lastLive = lastLive
	return v
}
