package daemon

import "time"

// maxBackoffDelay is the longest delay between two requests to a receiver that fails.
const maxBackoffDelay = 2 * time.Second

// backoff delays requests to a receiver. The delay starts at dutyInterval and doubles
// with every failure, up to maxBackoffDelay.
type backoff struct {
	delay time.Duration
	until time.Time // when the next request may be sent
}

// ready reports whether a request may be sent now.
func (b *backoff) ready() bool { return !time.Now().Before(b.until) }

// increase starts the next delay after a failed request.
func (b *backoff) increase() {
	b.delay = min(max(2*b.delay, dutyInterval), maxBackoffDelay)
	b.until = time.Now().Add(b.delay)
}

// reset returns to the shortest delay after a successful request.
func (b *backoff) reset() { b.delay = 0 }
