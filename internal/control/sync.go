package control

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

// Timing of syncs.
const (
	// syncWait is how long a sync is held while nothing changes.
	syncWait = 900 * time.Millisecond
	// maxSyncAge is the age of a read point from which a follower should ask
	// another replica.
	maxSyncAge = time.Second
)

// Sync implements Source. It costs the leader nothing: how fresh this replica
// is follows from the heartbeats.
func (r *Replica) Sync(ctx context.Context, q SyncRequest) (SyncReply, error) {
	arrived := time.Now()
	r.mu.Lock()
	changed := r.changed
	r.mu.Unlock()
	if !q.Unproven && r.config.Load().Version <= q.After {
		select {
		case <-changed:
		case <-time.After(syncWait):
		case <-ctx.Done():
			return SyncReply{}, ctx.Err()
		}
	}
	var reply SyncReply
	var err error
	ran := r.do(ctx, func() { reply, err = r.syncReply(q, arrived) })
	if ran != nil {
		return SyncReply{}, ran
	}
	return reply, err
}

// syncReply runs in the loop.
func (r *Replica) syncReply(q SyncRequest, arrived time.Time) (SyncReply, error) {
	now := r.now()
	p, ok := r.node.ReadPoint()
	st := r.node.Status()
	if !ok || st.Applied < p.Index || now-p.AsOf > maxSyncAge {
		if q.Unproven && r.state.Config.Version > q.After {
			return SyncReply{Cluster: r.cluster, Config: r.state.Config, Members: st.Members, Unproven: true}, nil
		}
		return SyncReply{}, result.NewRetryAfter(result.NotLeader, time.Second, "this replica has not heard from the leader lately")
	}
	reply := SyncReply{Cluster: r.cluster, Held: time.Since(arrived), Age: now - p.AsOf}
	if groupHash(st.Members) != q.MembershipHash {
		reply.Members = st.Members
	}
	version := r.state.Config.Version
	if version <= q.After {
		return reply, nil
	}
	i := slices.IndexFunc(r.changes, func(c Change) bool { return c.Version == q.After+1 })
	if i < 0 {
		reply.Config = r.state.Config
		return reply, nil
	}
	reply.Changes = slices.Clone(r.changes[i:])
	return reply, nil
}

// groupHash names a membership briefly.
func groupHash(m consensus.Membership) uint64 {
	return xxhash.Sum64(m.Encode())
}
