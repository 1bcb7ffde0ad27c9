package control

import (
	"context"

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
// than q.MinRemaining other replicas would remain.
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
	member := consensus.ID("")
	remaining := 0
	for id, m := range st.Members {
		if m.Address == q.Address {
			member = id
		} else {
			remaining++
		}
	}
	if q.Start && member != "" {
		if remaining < q.MinRemaining {
			return RetireReply{}, result.New(result.MemberConflict, "too few replicas would remain")
		}
		c := state.Command{RetireMark: &state.RetireMark{Replica: string(member)}}
		if _, err := r.Propose(ctx, ProposeRequest{Relayed: true, Command: c}); err != nil {
			return RetireReply{}, err
		}
	}
	// A removal that is not committed may be lost with the leader's disk.
	return RetireReply{Done: member == "" && !st.ChangePending}, nil
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
