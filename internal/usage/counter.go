// Package usage counts the requests and tokens of client accounts. Entries, the daemons
// that take requests from callers, commit numbered deltas to the control log. The leader
// closes usage intervals there and reports each one with values that never change
// afterwards.
package usage

import (
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/state"
)

type counterKey struct{ account, service string }

// Counter counts the usage at one entry. It retains a delta until the delta is committed.
type Counter struct {
	source string

	mu      sync.Mutex
	counts  map[counterKey]state.Usage
	seq     uint64
	pending *state.UsageDelta
}

// NewCounter returns an empty Counter. source identifies the process and must never be
// reused by another one.
func NewCounter(source string) *Counter {
	return &Counter{source: source, counts: map[counterKey]state.Usage{}}
}

// Add adds requests and tokens to the count of an account at a service.
func (c *Counter) Add(account, service string, requests, tokens int64) {
	if account == "" {
		return // requests on open routes have no account
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k := counterKey{account, service}
	u := c.counts[k]
	u.Account, u.Service = account, service
	u.Requests += requests
	u.Tokens += tokens
	c.counts[k] = u
}

// Delta returns the delta to commit next, or nil if there is nothing to commit. It
// returns the same delta until Committed is called. now is the wall clock time.
func (c *Counter) Delta(now time.Time) *state.UsageDelta {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil || len(c.counts) == 0 {
		return c.pending
	}
	c.seq++
	d := &state.UsageDelta{Source: c.source, Seq: c.seq, Created: now}
	for _, u := range c.counts {
		d.Items = append(d.Items, u)
	}
	c.counts = map[counterKey]state.Usage{}
	c.pending = d
	return d
}

// Committed records that the delta that Delta returned last is in the control log.
func (c *Counter) Committed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = nil
}
