package batch

import (
	"context"
	"errors"
	"time"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Score implements Scorer.
func (c *Carriers) Score(ctx context.Context, q *state.Reward, limits ScoreLimits) (string, error) {
	address := c.place.ScorerFor(q.ID, limits.Homes)
	if address == "" {
		return c.scorer.Score(ctx, q, limits)
	}
	left := min(time.Until(limits.Deadline), max(minCarriedScore, permitDuration+c.scorer.Timeout(q)))
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	var reply ScoreReply
	err := c.greet(ctx, address)
	if err == nil {
		reply, err = peer.Call[ScoreReply](ctx, c.client, address, MethodScore, ScoreRequest{Reward: q, Left: left, Homes: limits.Homes, StartUntil: c.startUntil(address)})
	}
	if errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrConnectionLost) || errors.Is(err, context.DeadlineExceeded) {
		c.place.Unresponsive(address)
		return "", result.New(result.UpstreamFailed, "the carrier of the reward request does not answer: %v", err)
	}
	return reply.Score, err
}

// startUntil returns the time on the boot clock of a carrier until which what is sent to it now may
// begin; 0 if that clock is not known.
func (c *Carriers) startUntil(address string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.carriers[address]
	if v == nil || !v.offset.known {
		return 0
	}
	return clock.Now() + v.offset.offset + permitDuration
}

// minCarriedScore is the least time of a reward request through a carrier. One whose route allows
// more has that much from its last moment to begin on, see Carrier. The request may be repeated
// through another carrier.
const minCarriedScore = 4 * time.Second

// MaxFailures implements Scorer.
func (c *Carriers) MaxFailures(q *state.Reward) int { return c.scorer.MaxFailures(q) }

// Timeout implements Scorer.
func (c *Carriers) Timeout(q *state.Reward) time.Duration { return c.scorer.Timeout(q) }
