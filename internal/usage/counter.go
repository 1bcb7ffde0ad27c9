// Package usage counts what client accounts use. Entries send numbered deltas
// into the control log; the leader closes windows there and reports each with
// figures that never change.
package usage

import (
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/state"
)

type item struct{ account, service string }

// Counter counts at one entry. A delta is kept until it is committed.
type Counter struct {
	source string

	mu      sync.Mutex
	counts  map[item]state.Usage
	seq     uint64
	pending *state.UsageDelta
}

// NewCounter returns a counter; source must never be used by another process.
func NewCounter(source string) *Counter {
	return &Counter{source: source, counts: map[item]state.Usage{}}
}

// Add counts requests and tokens.
func (c *Counter) Add(account, service string, requests, tokens int64) {
	if account == "" {
		return // open routes belong to no account
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k := item{account, service}
	u := c.counts[k]
	u.Account, u.Service = account, service
	u.Requests += requests
	u.Tokens += tokens
	c.counts[k] = u
}

// Delta returns what must be committed next: the same delta until Committed is
// called; nil when there is nothing. now is the wall clock.
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
	c.counts = map[item]state.Usage{}
	c.pending = d
	return d
}

// Committed reports that the delta last returned is in the log.
func (c *Counter) Committed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = nil
}
