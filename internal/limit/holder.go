package limit

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// noShareRetryAfter is the retry delay returned while this entry holds no share.
const noShareRetryAfter = time.Second

// Holder consumes one account's share of a limit at one entry. It is a token bucket whose
// rate is set by leases.
type Holder struct {
	number     uint64
	rate       float64
	expiresAt  time.Time // end of the lease, on the holder's clock
	refilledAt time.Time // time up to which tokens were added
	tokens     float64
	burst      float64 // largest number of tokens

	requested      float64 // cost requested since requestedSince
	want           float64
	requestedSince time.Time
}

// UseLease starts to use a lease that was requested at requestedAt. A lease older than the
// current one is ignored.
func (h *Holder) UseLease(now, requestedAt time.Time, l Lease) {
	if l.Number <= h.number {
		return
	}
	h.refill(now)
	h.number = l.Number
	h.rate = l.Rate
	h.expiresAt = requestedAt.Add(shortenForDrift(LeaseDuration))
	h.refilledAt = now
	h.burst = l.Rate * burstDuration.Seconds()
	h.tokens = min(h.tokens, h.burst)
}

// refill adds the tokens for the time since refilledAt, up to the end of the lease. It
// removes all tokens once the lease has ended.
func (h *Holder) refill(now time.Time) {
	end := now
	if end.After(h.expiresAt) {
		end = h.expiresAt
	}
	if d := end.Sub(h.refilledAt); d > 0 {
		h.tokens = min(h.tokens+h.rate*(1-2*maxDrift)*d.Seconds(), h.burst)
		h.refilledAt = end
	}
	if !now.Before(h.expiresAt) {
		h.tokens = 0
		h.rate = 0
	}
}

// Consume takes cost tokens. If there are too few, it takes none and fails with
// LimitReached and a retry delay.
func (h *Holder) Consume(now time.Time, cost float64) error {
	h.requested += cost
	h.refill(now)
	if h.rate <= 0 {
		return result.NewRetryAfter(result.LimitReached, noShareRetryAfter, "this entry holds no share of the account's limit")
	}
	if h.tokens >= cost {
		h.tokens -= cost
		return nil
	}
	// Raise the burst so that tokens for a request larger than it can accumulate.
	h.burst = max(h.burst, cost)
	wait := time.Duration((cost - h.tokens) / h.rate * float64(time.Second))
	return result.NewRetryAfter(result.LimitReached, max(wait, requestInterval/5), "the account's limit is reached")
}

// Refund returns the tokens by which an estimate was too high.
func (h *Holder) Refund(now time.Time, cost float64) {
	h.refill(now)
	if now.Before(h.expiresAt) {
		h.tokens = min(h.tokens+cost, h.burst)
	}
}

// Request returns the next lease request to the grantor. It updates the demand, which is
// a moving average of the cost that was requested per second.
func (h *Holder) Request(now time.Time, k Key) Request {
	if d := now.Sub(h.requestedSince); d >= requestInterval {
		h.want = (h.want + h.requested/d.Seconds()) / 2
		h.requested = 0
		h.requestedSince = now
	}
	return Request{Key: k, Want: h.want, Held: h.number}
}
