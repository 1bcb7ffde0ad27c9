package control

import "time"

const (
	minReopenDelay = 100 * time.Millisecond
	// maxReopenDelay bounds the time for which a replica stays away after its disk works
	// again.
	maxReopenDelay = time.Second
	// maxRelapseDelay bounds the delay for a folder that fails again and again, for example
	// because only large writes fail.
	maxRelapseDelay = 10 * time.Second
	// stableAfter is how long a folder must work before its next failure is a new one.
	stableAfter = 30 * time.Second
)

// reopenPolicy decides when a failed data folder is tried again.
type reopenPolicy struct {
	relapses    int
	recoveredAt time.Duration // 0: never
}

// failed returns the delay before the first attempt after a failure at time now.
func (p *reopenPolicy) failed(now time.Duration) time.Duration {
	if p.recoveredAt == 0 || now-p.recoveredAt >= stableAfter {
		p.relapses = 0
		return minReopenDelay
	}
	p.relapses++
	delay := minReopenDelay
	for range p.relapses {
		delay = min(2*delay, maxRelapseDelay)
	}
	return delay
}

// next returns the delay after an attempt that followed a delay.
func (p *reopenPolicy) next(delay time.Duration) time.Duration {
	return min(2*delay, max(delay, maxReopenDelay))
}

// recovered records that the folder works again since now.
func (p *reopenPolicy) recovered(now time.Duration) { p.recoveredAt = now }
