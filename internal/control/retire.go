package control

import (
	"context"
	"slices"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// RetireRequest starts to retire a replica if Start is set, and asks for the progress.
type RetireRequest struct {
	Cluster      string `json:"cluster,omitempty"` // set by a replica that relays the request
	Relayed      bool   `json:"relayed,omitempty"`
	Address      string `json:"address"` // peer address of the replica
	Start        bool   `json:"start,omitempty"`
	MinRemaining int    `json:"keep,omitempty"` // number of replicas that must remain
}

// RetireReply reports whether the replica has left the control group.
type RetireReply struct {
	Done bool `json:"done"`
}

// Retire starts to retire the replica at q.Address, if q.Start is set, and reports
// whether it has left the control group. A retired replica is replaced as a voter and
// removed, and never rejoins under the same ID. Retire fails with MemberConflict if fewer
// than q.MinRemaining other replicas would remain, and with NotLeader while the leader is too
// new to tell which replicas run.
func (r *Replica) Retire(ctx context.Context, q RetireRequest) (RetireReply, error) {
	if err := r.checkCluster(q.Cluster); err != nil {
		return RetireReply{}, err
	}
	st := r.Status()
	if st.Role != consensus.Leader {
		relayed := q
		relayed.Cluster, relayed.Relayed = r.cluster, true
		return relay[RetireReply](ctx, r, q.Relayed, MethodRetire, relayed)
	}
	members := membersAt(st.Members, q.Address)
	if q.Start && len(members) > 0 {
		silent, ok := r.silentMembers()
		if !ok {
			return RetireReply{}, result.NewRetryAfter(result.NotLeader, newLeaderGrace, "this leader does not know yet which replicas run")
		}
		if remaining := remainingReplicas(st.Members, q.Address, silent, r.retiringReplicas()); remaining < q.MinRemaining {
			return RetireReply{}, result.New(result.MemberConflict, "only %d running replicas would remain, fewer than %d", remaining, q.MinRemaining)
		}
		for _, id := range members {
			c := state.Command{RetireMark: &state.RetireMark{Replica: string(id)}}
			if _, err := r.Propose(ctx, ProposeRequest{Relayed: true, Command: c}); err != nil {
				return RetireReply{}, err
			}
		}
	}
	return callInLoop(ctx, r, func() RetireReply { return RetireReply{Done: hasLeft(r.node, r.now(), q.Address)} })
}

// membersAt returns the members at address: a replica that has lost its disk stays one beside its
// successor for a while.
func membersAt(members consensus.Membership, address string) []consensus.ID {
	return slices.DeleteFunc(members.IDs(), func(id consensus.ID) bool { return members[id].Address != address })
}

// remainingReplicas returns the number of members apart from those at address that run and
// are not being retired. A member that is gone for good stays one for a while.
func remainingReplicas(members consensus.Membership, address string, silent, retiring map[consensus.ID]bool) int {
	n := 0
	for id, m := range members {
		if m.Address != address && !silent[id] && !retiring[id] {
			n++
		}
	}
	return n
}

// memberSilence is what a leader knows of members that do not run.
type memberSilence struct {
	term   uint64 // of the leader
	silent map[consensus.ID]bool
}

// publishSilence records the members that have been silent for voterDeadAfter, as seen by the
// leader of term.
func (r *Replica) publishSilence(term uint64, silent map[consensus.ID]bool) {
	r.silence.Store(&memberSilence{term: term, silent: silent})
}

// silentMembers returns the members that do not run. It returns false unless this replica
// holds the leader lease and has led for long enough to know them.
func (r *Replica) silentMembers() (map[consensus.ID]bool, bool) {
	s := r.silence.Load()
	if s == nil || !r.Leadership().ValidInTerm(s.term) {
		return nil, false
	}
	return s.silent, true
}

// hasLeft reports whether n proves that no replica at address is a member: it holds the
// leader lease, and neither the committed membership nor the newest one contains such a
// replica. A removal that isn't committed yet may be lost with the leader.
func hasLeft(n *consensus.Node, now consensus.Time, address string) bool {
	commit, ok := n.ReadIndex(now)
	if !ok {
		return false
	}
	for _, members := range []consensus.Membership{n.MembersAt(commit), n.Status().Members} {
		for _, m := range members {
			if m.Address == address {
				return false
			}
		}
	}
	return true
}

// publishRetiring makes the set of retiring replicas readable outside the loop. It runs
// in the loop.
func (r *Replica) publishRetiring() {
	next := map[consensus.ID]bool{}
	for id := range r.state.Ledger.Retired {
		next[consensus.ID(id)] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retiring = next
}

// retiringReplicas returns the replicas that are being retired.
func (r *Replica) retiringReplicas() map[consensus.ID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retiring
}
