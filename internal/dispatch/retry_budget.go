package dispatch

// Limits of the load that retries may add to a failing service.
const (
	// retryRatio is the number of retries that each request adds to the budget.
	retryRatio = 0.2
	// retryReserveCount is the largest budget, in retries. The budget starts full, so
	// that a service with little traffic can retry too.
	retryReserveCount = 10
)

// RetryBudget limits the retries of requests that may have run. Over any period there
// are at most retryRatio times as many retries as requests, plus retryReserveCount. A
// request that did not run put no load on an upstream, so its retry is not counted.
type RetryBudget struct {
	spent float64 // part of the reserve in use, in retries
}

// Deposit adds retryRatio retries to the budget. Call it once for each request.
func (b *RetryBudget) Deposit() {
	b.spent = max(0, b.spent-retryRatio)
}

// TryWithdraw reports whether one more retry is allowed and, if so, removes it from the
// budget.
func (b *RetryBudget) TryWithdraw() bool {
	if b.spent+1 > retryReserveCount {
		return false
	}
	b.spent++
	return true
}
