package control

import (
	"context"
	"maps"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

// RetireRequest asks that a replica be emptied, or how far that is.
type RetireRequest struct {
	Cluster string `json:"cluster,omitempty"` // set by a replica that passes it on
	Relayed bool   `json:"relayed,omitempty"`
	Address string `json:"address"` // peer address of the replica
	Start   bool   `json:"start,omitempty"`
	Keep    int    `json:"keep,omitempty"` // replicas that must remain
}

// RetireReply tells how far the emptying is.
type RetireReply struct {
	Done bool `json:"done"`
}

// Retire empties a replica: it gives up its vote to another one and leaves the
// group. Until that is done the leader refuses to take it back.
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
	member := false
	remaining := 0
	for _, m := range st.Members {
		if m.Address == q.Address {
			member = true
		} else {
			remaining++
		}
	}
	if q.Start {
		if remaining < q.Keep {
			return RetireReply{}, result.New(result.MemberConflict, "too few replicas would remain")
		}
		r.retire(q.Address)
	}
	return RetireReply{Done: !member}, nil
}

func (r *Replica) retire(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := maps.Clone(r.retired)
	if next == nil {
		next = map[string]bool{}
	}
	next[address] = true
	r.retired = next
}

// retiring returns the peer addresses of the replicas to be emptied.
func (r *Replica) retiring() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retired
}
