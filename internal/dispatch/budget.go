package dispatch

// Retry budget: what it may add to the load of a failing service.
const (
	// retryShare is the part of a retry that every request earns.
	retryShare = 0.2
	// retryReserve bounds the saved-up budget, in retries; it is available at the
	// start, so that a service with little traffic can retry too.
	retryReserve = 10
)

// Budget bounds the retries of requests that may have run: over any stretch
// they are at most retryShare of the requests, plus retryReserve. A request that
// did not run puts no load on an upstream, so its retry is free.
type Budget struct {
	spent float64 // of the reserve, in retries
}

// Request earns a part of a retry.
func (b *Budget) Request() {
	b.spent = max(0, b.spent-retryShare)
}

// Retry reports whether one more retry is allowed, and takes it.
func (b *Budget) Retry() bool {
	if b.spent+1 > retryReserve {
		return false
	}
	b.spent++
	return true
}
