// Package quarantine finds requests that crash upstreams and keeps them from
// running again. What it knows is soft: shared between the daemons by notices
// and forgotten after a time.
package quarantine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

// MethodShare is the notice that spreads records and reservations.
const MethodShare = "quarantine.share"

// shareInterval is the time between notices that repeat all live records, for
// daemons that missed the first one.
const shareInterval = time.Second

// Share is the content of a notice.
type Share struct {
	Records []Record `json:"records,omitempty"`
	Reserve string   `json:"reserve,omitempty"` // upstream to keep for a suspect
	Free    string   `json:"free,omitempty"`    // upstream that is kept no more
}

// Ack says that a Share was taken in.
type Ack struct{}

// Spreader reaches every other daemon that is up.
type Spreader interface {
	// Broadcast sends a notice without waiting; it may be lost.
	Broadcast(method string, params any)
	// Confirm calls a method and waits until all have answered, for a bounded
	// time.
	Confirm(method string, params any)
}

// Table is the Machine of one daemon, shared by its goroutines and with the
// other daemons.
type Table struct {
	clock  func() time.Time
	spread Spreader
	busy   atomic.Bool // there is any record or reservation

	mu sync.Mutex
	m  *Machine
}

// NewTable returns an empty table that reads the time from clock. spread may be
// nil.
func NewTable(clock func() time.Time, spread Spreader) *Table {
	return &Table{clock: clock, spread: spread, m: NewMachine()}
}

// Register adds the notice handler to s.
func (t *Table) Register(s *peer.Server) {
	peer.HandleNotice(s, MethodShare, t.take)
	peer.Handle(s, MethodShare, func(_ context.Context, q Share) (Ack, error) {
		t.take(q)
		return Ack{}, nil
	})
}

// Run repeats what is known until ctx ends.
func (t *Table) Run(ctx context.Context) {
	periodic.Every(ctx, shareInterval, func() {
		if l := t.List(); len(l) > 0 {
			t.share(Share{Records: l})
		}
	})
}

// Record returns what is known of a request.
func (t *Table) Record(fp string) Record {
	if !t.busy.Load() {
		return Record{Fingerprint: fp}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.m.Record(t.clock(), fp)
}

// Died records that an upstream died while it ran fp. It returns when the other
// daemons know: the caller may send the request again at once, through any.
func (t *Table) RecordCrash(fp, upstream string, incarnation int64) {
	t.mu.Lock()
	t.busy.Store(true)
	r := t.m.RecordCrash(t.clock(), fp, fmt.Sprintf("%s#%d", upstream, incarnation))
	t.mu.Unlock()
	if t.spread != nil {
		t.spread.Confirm(MethodShare, Share{Records: []Record{r}})
	}
}

// Release clears fp, for an operator or because it ran alone and did no harm;
// false when it is not known.
func (t *Table) Release(fp string) bool {
	t.mu.Lock()
	r, ok := t.m.Cleared(t.clock(), fp)
	t.mu.Unlock()
	if ok {
		t.share(Share{Records: []Record{r}})
	}
	return ok
}

// Reserve keeps an upstream for a suspect until the returned function is called.
func (t *Table) Reserve(upstream string) func() {
	t.mu.Lock()
	t.busy.Store(true)
	t.m.Reserve(t.clock(), upstream)
	t.mu.Unlock()
	t.share(Share{Reserve: upstream})
	return func() {
		t.mu.Lock()
		t.m.Free(upstream)
		t.mu.Unlock()
		t.share(Share{Free: upstream})
	}
}

// Reserved returns the upstreams that are kept for suspects.
func (t *Table) Reserved() []string {
	if !t.busy.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.m.Reserved(t.clock())
}

// List returns the live records, oldest first.
func (t *Table) List() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.m.List(t.clock())
	t.busy.Store(len(l) > 0 || len(t.m.Reserved(t.clock())) > 0)
	return l
}

func (t *Table) take(s Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy.Store(true)
	for _, r := range s.Records {
		t.m.Merge(t.clock(), r)
	}
	if s.Reserve != "" {
		t.m.Reserve(t.clock(), s.Reserve)
	}
	if s.Free != "" {
		t.m.Free(s.Free)
	}
}

func (t *Table) share(s Share) {
	if t.spread != nil {
		t.spread.Broadcast(MethodShare, s)
	}
}
