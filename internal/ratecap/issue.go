package ratecap

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Issue answers a request for a token, as the leader. Another replica names the leader. Error:
// NotLeader, if it knows none.
func (k *Keeper) Issue(q AcquireRequest) (AcquireReply, error) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.leads() {
		if a := k.knownLeader(); a != "" {
			return AcquireReply{Leader: a}, nil
		}
		return AcquireReply{}, result.New(result.NotLeader, "this daemon is not the leader")
	}
	for _, s := range q.Seen {
		if s.valid() && k.recorder.table.Observe(s.received(now)) {
			k.noteChanged(s.ID)
		}
	}
	k.countCaps()
	var r AcquireReply
	if q.All {
		r.Caps = k.allCaps(now)
	}
	if q.Upstream == "" {
		return r, nil
	}
	if c, ok := k.recorder.table.caps[q.Upstream]; ok {
		r.Caps = append(r.Caps, c.toSend(now, q.Upstream))
	}
	c, bounded := k.recorder.table.Get(now, q.Upstream, q.Incarnation)
	if q.ColdRate > 0 && q.ColdRate <= MaxRate {
		c, bounded, r.Cold = c.whileCold(now, q.ColdRate, q.Incarnation, bounded), true, true
	}
	if !bounded {
		r.Granted = true
		return r, nil
	}
	ok, wait := k.issuer.Acquire(now, q.Upstream, c, q.Purpose)
	r.Granted, r.WaitMs = ok, wait.Milliseconds()
	return r, nil
}

// knownLeader returns the peer address of the leader that this daemon's replica knows, or "".
func (k *Keeper) knownLeader() string {
	if k.deployment.LeaderAddress == nil {
		return ""
	}
	return k.deployment.LeaderAddress()
}

// allCaps returns the caps, at most maxCapsInReply. The caller holds k.mu.
func (k *Keeper) allCaps(now time.Time) []SentCap {
	var out []SentCap
	for id, c := range k.recorder.table.caps {
		if out = append(out, c.toSend(now, id)); len(out) == maxCapsInReply {
			break
		}
	}
	return out
}

// leads reports whether this daemon leads, and makes sure that the issuer belongs to the
// current term. If the process is paused after that, its tokens end while it is: their time
// counts from before they were asked for. The caller holds k.mu.
func (k *Keeper) leads() bool {
	if k.deployment.Leads == nil {
		return false
	}
	term, ok := k.deployment.Leads()
	if !ok {
		return false
	}
	if k.issuer == nil || k.term != term {
		k.issuer, k.term = NewIssuer(), term
		k.changed, k.refresh = nil, nil
	}
	return true
}

// Turns returns the number of background requests that this daemon, as the leader, may send
// to an upstream now. It returns false if there is no bound.
func (k *Keeper) Turns(a upstream.Announcement) (n int, bounded bool) {
	now := time.Now()
	if k.unbounded(now, a) {
		return 0, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	c, bounded := k.bound(now, a)
	if !bounded || !k.leads() {
		return 0, bounded
	}
	return k.issuer.Available(now, a.ID, c, ForBackground), true
}

// TakeTurn takes the token of a background request that Turns has counted. It returns until when
// the request must be sent; zero: at any time. The token for a cold upstream may have gone to
// another daemon since: that time has passed then.
func (k *Keeper) TakeTurn(a upstream.Announcement) (sendBy time.Time) {
	now := time.Now()
	if k.unbounded(now, a) {
		return time.Time{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.bound(now, a)
	if !ok {
		return time.Time{}
	}
	granted := false
	if k.leads() {
		granted, _ = k.issuer.Acquire(now, a.ID, c, ForBackground)
	}
	switch {
	case !c.cold:
		return time.Time{}
	case granted:
		coldGranted.Inc()
		return now.Add(ColdTokenTTL)
	}
	coldDenied.Inc()
	return now
}
