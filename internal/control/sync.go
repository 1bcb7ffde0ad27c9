package control

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

// Timing of sync requests at a replica.
const (
	// syncWait is how long a sync request is held while the configuration does not change.
	syncWait = 900 * time.Millisecond
	// maxSyncAge is the greatest age of the read point of a proven reply. Beyond it a
	// follower should ask another replica.
	maxSyncAge = time.Second
)

// Sync implements Source. It needs no call to the leader, because the replica knows from
// the heartbeats how fresh its configuration is.
func (r *Replica) Sync(ctx context.Context, q SyncRequest) (SyncReply, error) {
	arrivedAt := time.Now()
	r.mu.Lock()
	configChanged := r.configChanged
	r.mu.Unlock()
	if !q.Unproven && !r.Available() {
		return SyncReply{}, errUnavailable()
	}
	if !q.Unproven && !q.NoHold && r.config.Load().Version <= q.After {
		select {
		case <-configChanged:
		case <-time.After(syncWait):
		case <-ctx.Done():
			return SyncReply{}, ctx.Err()
		}
	}
	var reply SyncReply
	var err error
	loopErr := r.runInLoop(ctx, func() { reply, err = r.syncReply(q, arrivedAt) })
	if loopErr != nil {
		return SyncReply{}, loopErr
	}
	return reply, err
}

// syncReply returns the reply to q, which arrived at arrivedAt. It runs in the loop. If
// the read point is too old, it returns an unproven reply when the requester accepts one,
// else NotLeader.
func (r *Replica) syncReply(q SyncRequest, arrivedAt time.Time) (SyncReply, error) {
	now := r.now()
	p, ok := r.node.ReadPoint()
	st := r.node.Status()
	if !ok || st.Applied < p.Index || now-p.AsOf > maxSyncAge {
		if q.Unproven && r.state.Config.Version > q.After {
			return SyncReply{Cluster: r.cluster, Config: r.state.Config, configJSON: r.configEncoding.of(r.state.Config), Members: st.Members, Unproven: true}, nil
		}
		return SyncReply{}, result.NewRetryAfter(result.NotLeader, time.Second, "this replica has not heard from the leader recently")
	}
	reply := SyncReply{Cluster: r.cluster, Held: time.Since(arrivedAt), Age: now - p.AsOf}
	if membershipHash(st.Members) != q.MembershipHash {
		reply.Members = st.Members
	}
	version := r.state.Config.Version
	if version <= q.After {
		return reply, nil
	}
	i := slices.IndexFunc(r.changes, func(c Change) bool { return c.Version == q.After+1 })
	if i < 0 {
		reply.Config, reply.configJSON = r.state.Config, r.configEncoding.of(r.state.Config)
		return reply, nil
	}
	reply.Changes = slices.Clone(r.changes[i:])
	return reply, nil
}

// membershipHash returns a hash that identifies a membership.
func membershipHash(m consensus.Membership) uint64 {
	return xxhash.Sum64(m.Encode())
}
