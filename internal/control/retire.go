package control

import (
	"context"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// RetireRequest asks that a replica be emptied, or how far that is.
type RetireRequest struct {
	Cluster      string `json:"cluster,omitempty"` // set by a replica that passes it on
	Relayed      bool   `json:"relayed,omitempty"`
	Address      string `json:"address"` // peer address of the replica
	Start        bool   `json:"start,omitempty"`
	MinRemaining int    `json:"keep,omitempty"` // replicas that must remain
}

// RetireReply reports the progress of the emptying.
type RetireReply struct {
	Done bool `json:"done"`
}

// Retire empties a replica: it gives up its vote to another one and leaves the
// group, for good under its identity.
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
	return RetireReply{Done: member == ""}, nil
}

// markRetired publishes the replicas to be emptied; it runs in the loop.
func (r *Replica) markRetired() {
	next := map[consensus.ID]bool{}
	for id := range r.state.Ledger.Retired {
		next[consensus.ID(id)] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retired = next
}

// retiring returns the replicas to be emptied.
func (r *Replica) retiring() map[consensus.ID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retired
}
