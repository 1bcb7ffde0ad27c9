package ratecap

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/periodic"
)

// Periodic work of a Keeper. The bounds keep its notices below 3 KB/s for each daemon, also
// when all upstreams of a large deployment name rates at once.
const (
	tickInterval = 100 * time.Millisecond
	// capsPerNotice is the number of caps that the leader tells in one tick.
	capsPerNotice = 3
	// refreshInterval is the time between two rounds in which the leader tells all caps, for
	// those whose notice was lost.
	refreshInterval = 2 * time.Second
	// maxCapsInReply bounds a reply with all caps.
	maxCapsInReply = 1024
	// maxPending bounds the observations that wait for a leader; older ones are dropped.
	maxPending = 64
	// searchDelay is the time between two searches for a leader.
	searchDelay = 300 * time.Millisecond
	// leaderSearchTime is how long a leader is looked for after a request for a cold upstream
	// has found none.
	leaderSearchTime = 2 * time.Second
	// maxAsked is the number of replicas that one search asks. A replica names the leader, and
	// hundreds of daemons search at the same time.
	maxAsked = 3
)

// Run reports to the leader or tells the other daemons, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	periodic.Every(ctx, tickInterval, func() { k.tick(ctx) })
}

func (k *Keeper) tick(ctx context.Context) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recorder.report(now)
	k.recorder.table.Expire(now, k.deployment.Gone)
	k.countCaps()
	k.forget(now)
	k.expireCold(now)
	if k.leads() {
		k.fetched, k.leader, k.pending = true, "", nil
		k.tell(now)
		return
	}
	needsLeader := len(k.recorder.table.caps) > 0 || now.Sub(k.leaderless) < leaderSearchTime
	if now.Before(k.retryAt) || k.fetched && len(k.pending) == 0 && (k.leader != "" || !needsLeader) {
		return
	}
	k.reportToLeader(ctx, now)
}

// forget removes what is kept of upstreams and services without a cap or a hold. The caller
// holds k.mu.
func (k *Keeper) forget(now time.Time) {
	for id, until := range k.holds {
		if !now.Before(until) {
			delete(k.holds, id)
		}
	}
	for service, at := range k.returns {
		if now.After(at) {
			delete(k.returns, service)
		}
	}
	gone := func(id string) bool { _, ok := k.recorder.table.caps[id]; return !ok }
	for id := range k.reported {
		if gone(id) {
			delete(k.reported, id)
		}
	}
	for id := range k.shares.next {
		if gone(id) {
			delete(k.shares.next, id)
		}
	}
	if k.issuer != nil {
		k.issuer.Retain(now, func(id string, _ int64) bool { return !gone(id) })
	}
}

// reportToLeader reports the pending observations and finds the leader, if it is not known.
// The caller holds k.mu, which is released during the calls.
func (k *Keeper) reportToLeader(ctx context.Context, now time.Time) {
	var addresses []string
	if k.leader != "" {
		addresses = []string{k.leader}
	} else if a := k.knownLeader(); a != "" {
		addresses = []string{a}
	} else if all := k.deployment.Replicas(); len(all) > 0 {
		for range min(len(all), maxAsked) {
			addresses = append(addresses, all[k.asked%len(all)])
			k.asked++
		}
	}
	pending := k.pending
	q := AcquireRequest{Seen: k.takePending(now), All: !k.fetched}
	for _, address := range addresses {
		if ctx.Err() != nil {
			break
		}
		reply, ok := k.ask(ctx, address, q)
		if !ok && reply.Leader != "" {
			_, ok = k.ask(ctx, reply.Leader, q)
		}
		if ok {
			k.fetched = true
			return
		}
	}
	k.retryAt = time.Now().Add(searchDelay)
	k.pending = append(pending, k.pending...)
	k.pending = k.pending[max(0, len(k.pending)-maxPending):]
}
