package upstream

import "sync"

// PendingChecks keeps, for each address of an upstream that is to be checked for a crash, what to do
// if it has crashed. It may be used by many goroutines.
type PendingChecks struct {
	mu        sync.Mutex
	byAddress map[string][]func()
}

// NewPendingChecks returns PendingChecks without any check.
func NewPendingChecks() *PendingChecks { return &PendingChecks{byAddress: map[string][]func(){}} }

// Add adds what to do if the upstream at address has crashed. If it is the first, the caller must
// check the upstream and Take.
func (p *PendingChecks) Add(address string, ifCrashed func()) (first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byAddress[address] = append(p.byAddress[address], ifCrashed)
	return len(p.byAddress[address]) == 1
}

// Take returns and removes what was added for address.
func (p *PendingChecks) Take(address string) []func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.byAddress[address]
	delete(p.byAddress, address)
	return out
}
