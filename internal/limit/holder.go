package limit

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// noShareRetry is advised while this entry holds no share.
const noShareRetry = time.Second

// Holder spends one account's share at one entry.
type Holder struct {
	number uint64
	rate   float64
	until  time.Time // end of the lease, on the holder's clock
	at     time.Time // up to which tokens were added
	tokens float64
	burst  float64 // most tokens saved up

	came  float64 // cost that came since wantAt
	want  float64
	since time.Time
}

// Take starts using a lease that was asked for at the given time. An older lease
// than the one in use is ignored.
func (h *Holder) Take(now, asked time.Time, l Lease) {
	if l.Number <= h.number {
		return
	}
	h.earn(now)
	h.number = l.Number
	h.rate = l.Rate
	h.until = asked.Add(shorter(LeaseTime))
	h.at = now
	h.burst = l.Rate * burstTime.Seconds()
	h.tokens = min(h.tokens, h.burst)
}

// earn adds the tokens of the time since at, as far as the lease ran.
func (h *Holder) earn(now time.Time) {
	end := now
	if end.After(h.until) {
		end = h.until
	}
	if d := end.Sub(h.at); d > 0 {
		h.tokens = min(h.tokens+h.rate*(1-2*maxDrift)*d.Seconds(), h.burst)
		h.at = end
	}
	if !now.Before(h.until) {
		h.tokens = 0
		h.rate = 0
	}
}

// Spend takes cost, or fails with LimitReached and the time after which to come
// back. Nothing is ever spent in advance.
func (h *Holder) Consume(now time.Time, cost float64) error {
	h.came += cost
	h.earn(now)
	if h.rate <= 0 {
		return result.NewRetryAfter(result.LimitReached, noShareRetry, "this entry holds no share of the account's limit")
	}
	if h.tokens >= cost {
		h.tokens -= cost
		return nil
	}
	// A request larger than the burst may save up for itself.
	h.burst = max(h.burst, cost)
	wait := time.Duration((cost - h.tokens) / h.rate * float64(time.Second))
	return result.NewRetryAfter(result.LimitReached, max(wait, askInterval/5), "the account's limit is reached")
}

// Refund gives back what an estimate was too high by.
func (h *Holder) Refund(now time.Time, cost float64) {
	h.earn(now)
	if now.Before(h.until) {
		h.tokens = min(h.tokens+cost, h.burst)
	}
}

// Ask is what to ask the grantor for now.
func (h *Holder) Ask(now time.Time, k Key) Ask {
	if d := now.Sub(h.since); d >= askInterval {
		h.want = (h.want + h.came/d.Seconds()) / 2
		h.came = 0
		h.since = now
	}
	return Ask{Key: k, Want: h.want, Held: h.number}
}
