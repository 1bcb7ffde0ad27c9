package control

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

// keeperInterval is the pause between looks at the control group.
const keeperInterval = 100 * time.Millisecond

// Keeper repairs the control group while its replica leads: it takes new
// replicas in, replaces lost ones and empties those that are to be retired.
type MembershipReconciler struct {
	replica *Replica
	live    func() []consensus.Member // replicas that run now
	voters  func() int                // wanted number of voters
	log     *log.Logger
	seen    map[consensus.ID]time.Time // when a member was last live
	term    uint64
}

// NewKeeper returns a keeper of the group that replica belongs to.
func NewMembershipReconciler(replica *Replica, live func() []consensus.Member, voters func() int, logger *log.Logger) *MembershipReconciler {
	return &MembershipReconciler{replica: replica, live: live, voters: voters, log: logger}
}

// Run looks after the group until ctx ends.
func (k *MembershipReconciler) Run(ctx context.Context) {
	periodic.Every(ctx, keeperInterval, func() { k.round(ctx) })
}

func (k *MembershipReconciler) round(ctx context.Context) {
	l := k.replica.Leadership()
	if !l.Valid() {
		return
	}
	if l.Term != k.term {
		k.term, k.seen = l.Term, map[consensus.ID]time.Time{}
	}
	view := k.view(time.Now())
	next, why, ok := view.NextChange()
	if !ok {
		return
	}
	change := func(current consensus.Membership) consensus.Membership {
		if string(current.Encode()) != string(view.Members.Encode()) {
			return current // changed meanwhile: look again
		}
		return next
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := k.replica.decide(ctx, &proposal{change: change}); err != nil {
		k.log.Debug("Group change refused.", "change", why, "err", err.Error())
		return
	}
	k.log.Info("Group changed.", "change", why, "term", l.Term, "voters", next.Voters(), "members", len(next))
}

func (k *MembershipReconciler) view(now time.Time) MembershipView {
	st := k.replica.Status()
	v := MembershipView{
		Self: st.ID, Members: st.Members, Match: st.Match, Commit: st.Commit, Live: k.live(),
		SilentFor: map[consensus.ID]time.Duration{}, Retiring: k.replica.retiring(), Voters: k.voters(),
	}
	for _, m := range v.Live {
		k.seen[m.ID] = now
	}
	for id := range st.Members {
		if _, ok := k.seen[id]; !ok {
			k.seen[id] = now // unknown until now: give it the full time
		}
		if id != st.ID {
			v.SilentFor[id] = now.Sub(k.seen[id])
		}
	}
	return v
}
