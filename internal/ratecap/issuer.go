package ratecap

import "time"

// Parameters of the buckets.
const (
	// burstTime is the time for which an idle bucket collects tokens. Batch work comes in
	// waves a few seconds apart.
	burstTime = 1500 * time.Millisecond
	// minBurst is the smallest number of tokens that a bucket collects. Requests of callers
	// come a few at a time.
	minBurst = 4
	// contentionTime is how long after its last rejected request a purpose counts as
	// competing for tokens.
	contentionTime = time.Second
)

// Issuer hands out tokens for requests to upstreams that name a rate. Only the leader has
// one, a new one for each term.
type Issuer struct {
	buckets map[string]*bucket
}

// bucket holds the tokens of one incarnation of an upstream. While callers and background
// work compete, each is entitled to half of the rate, its credit.
type bucket struct {
	incarnation int64
	filledAt    time.Time
	tokens      float64
	credit      [ForControl]float64
	rejectedAt  [ForControl]time.Time
	coldAt      time.Time // when it was last used for a cold upstream
}

// NewIssuer returns an Issuer without buckets.
func NewIssuer() *Issuer { return &Issuer{buckets: map[string]*bucket{}} }

// bucket returns the bucket of an upstream, filled up to now at the rate of its cap.
func (s *Issuer) bucket(now time.Time, id string, c Cap) *bucket {
	b := s.buckets[id]
	if b == nil || b.incarnation != c.Incarnation {
		b = &bucket{incarnation: c.Incarnation, filledAt: now, tokens: 1, credit: [ForControl]float64{1, 1}}
		s.buckets[id] = b
	}
	rate := c.RateAt(now)
	burst := max(rate*burstTime.Seconds(), minBurst)
	if c.cold {
		burst, b.coldAt = minBurst, now
	}
	gained := 0.0
	if now.After(b.filledAt) { // a call may have waited for the lock since its time was read
		gained, b.filledAt = rate*now.Sub(b.filledAt).Seconds(), now
	}
	b.tokens = min(b.tokens+gained, burst)
	for p := range b.credit {
		b.credit[p] = min(b.credit[p]+gained/2, burst/2)
	}
	return b
}

// competes reports whether requests for p were rejected recently.
func (b *bucket) competes(now time.Time, p Purpose) bool {
	return !b.rejectedAt[p].IsZero() && now.Sub(b.rejectedAt[p]) < contentionTime
}

// other returns the purpose that competes with p.
func other(p Purpose) Purpose {
	if p == ForCaller {
		return ForBackground
	}
	return ForCaller
}

// missing returns how many tokens must still be collected before a request for p may be
// sent, or 0 if it may be sent now.
func (b *bucket) missing(now time.Time, c Cap, p Purpose) float64 {
	if c.cold {
		return b.missingCold(now, p)
	}
	if b.competes(now, other(p)) {
		// Credit grows at half of the rate.
		return max(1-b.tokens, 2*(1-b.credit[p]), 0)
	}
	return max(1-b.tokens, 0)
}

// missingCold is missing for a cold upstream. It has few tokens for a short time, so callers go
// first: background work leaves them one, and gets none while they lack some.
func (b *bucket) missingCold(now time.Time, p Purpose) float64 {
	switch {
	case p == ForCaller:
		return max(1-b.tokens, 0)
	case b.competes(now, ForCaller):
		return max(2-b.tokens, 1)
	}
	return max(2-b.tokens, 0)
}

// replaced reports whether c is the cap of an earlier start of an upstream that is cold. Its
// bucket must not be filled anew for requests of daemons that do not know the later start.
func (s *Issuer) replaced(id string, c Cap) bool {
	b := s.buckets[id]
	return b != nil && !b.coldAt.IsZero() && c.Incarnation < b.incarnation
}

// Acquire takes a token for a request to an upstream. If there is none, it returns the time
// after which there may be one.
func (s *Issuer) Acquire(now time.Time, id string, c Cap, p Purpose) (ok bool, wait time.Duration) {
	if s.replaced(id, c) {
		return false, maxHold
	}
	b := s.bucket(now, id, c)
	if missing := b.missing(now, c, p); missing > 0 {
		b.rejectedAt[p] = now
		return false, time.Duration(missing / c.RateAt(now) * float64(time.Second))
	}
	b.tokens--
	b.credit[p] = max(b.credit[p]-1, 0)
	return true, 0
}

// Available returns the number of requests for p that would get a token now. If it is 0, p
// counts as rejected.
func (s *Issuer) Available(now time.Time, id string, c Cap, p Purpose) int {
	if s.replaced(id, c) {
		return 0
	}
	b := s.bucket(now, id, c)
	if b.missing(now, c, p) > 0 {
		b.rejectedAt[p] = now
		return 0
	}
	if c.cold && p == ForBackground {
		return int(b.tokens - 1)
	}
	if b.competes(now, other(p)) {
		return int(min(b.tokens, b.credit[p]))
	}
	return int(b.tokens)
}

// Retain removes the buckets of upstreams for which keep returns false and that were not cold
// recently.
func (s *Issuer) Retain(now time.Time, keep func(id string, incarnation int64) bool) {
	for id, b := range s.buckets {
		if !keep(id, b.incarnation) && now.Sub(b.coldAt) > coldRetention {
			delete(s.buckets, id)
		}
	}
}
