package ratecap

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// askLeader asks the known leader for a token. It returns false if there is none or it does
// not answer. The caller holds k.mu, which is released meanwhile.
func (k *Keeper) askLeader(ctx context.Context, a upstream.Announcement, c Cap, p Purpose) (AcquireReply, bool) {
	if k.leader == "" {
		return AcquireReply{}, false
	}
	now := time.Now()
	q := AcquireRequest{Upstream: a.ID, Incarnation: a.Incarnation, Purpose: p, Seen: k.takePending(now)}
	// A new leader may not know what this daemon has read. What it was told stays out: its time
	// is later with each way between daemons, so that it would never end.
	if c.EndedAt.IsZero() && !c.told {
		q.Seen = append(q.Seen, Observation{ID: a.ID, Incarnation: c.Incarnation, Rate: c.Rate, SentAt: c.NamedAt, At: c.NamedAt}.toSend(now))
	}
	return k.ask(ctx, k.leader, q)
}

// ask sends q to a replica and takes what its reply tells. It returns false if that one does
// not lead or does not answer. The caller holds k.mu, which is released meanwhile.
func (k *Keeper) ask(ctx context.Context, address string, q AcquireRequest) (AcquireReply, bool) {
	k.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	reply, err := k.deployment.Ask(callCtx, address, q)
	cancel()
	k.mu.Lock()
	switch {
	case err == nil && reply.Leader == "":
		if k.leader != address {
			k.leader = address
			clear(k.shares.next)
			k.log.Info("Leader issues the tokens of rates that upstreams name.", "leader", address)
		}
		k.merge(time.Now(), reply.Caps)
		return reply, true
	case err == nil:
		err = result.New(result.NotLeader, "the leader is %s", reply.Leader)
	case ctx.Err() != nil:
		return reply, false // the request has ended, which says nothing about the leader
	}
	if k.leader == address {
		k.leader = ""
		k.log.Warn("Leader issues no tokens; the daemon keeps to its even share of the rates that upstreams name.", "leader", address, "err", err.Error())
	}
	return reply, false
}

// takePending returns the observations to report. The caller holds k.mu.
func (k *Keeper) takePending(now time.Time) []SentObservation {
	var out []SentObservation
	for _, o := range k.pending {
		out = append(out, o.toSend(now))
	}
	k.pending = nil
	return out
}
