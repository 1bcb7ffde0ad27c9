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
	gained := rate * max(now.Sub(b.filledAt).Seconds(), 0)
	b.filledAt = now
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
func (b *bucket) missing(now time.Time, p Purpose) float64 {
	if b.competes(now, other(p)) {
		// Credit grows at half of the rate.
		return max(1-b.tokens, 2*(1-b.credit[p]), 0)
	}
	return max(1-b.tokens, 0)
}

// Acquire takes a token for a request to an upstream. If there is none, it returns the time
// after which there may be one.
func (s *Issuer) Acquire(now time.Time, id string, c Cap, p Purpose) (ok bool, wait time.Duration) {
	b := s.bucket(now, id, c)
	if missing := b.missing(now, p); missing > 0 {
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
	b := s.bucket(now, id, c)
	if b.missing(now, p) > 0 {
		b.rejectedAt[p] = now
		return 0
	}
	if b.competes(now, other(p)) {
		return int(min(b.tokens, b.credit[p]))
	}
	return int(b.tokens)
}

// Retain removes the buckets of upstreams for which keep returns false.
func (s *Issuer) Retain(keep func(id string, incarnation int64) bool) {
	for id, b := range s.buckets {
		if !keep(id, b.incarnation) {
			delete(s.buckets, id)
		}
	}
}
