package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// checkInterval bounds how long a lost freshness lease goes unnoticed.
const checkInterval = 100 * time.Millisecond

// Sessions ends the running requests of keys that are withdrawn, or that can no
// longer be checked.
type Sessions struct {
	view control.View

	mu   sync.Mutex
	next uint64
	open map[uint64]session
}

type session struct {
	hash   string
	cancel context.CancelCauseFunc
}

// NewSessions returns an empty set.
func NewSessions(view control.View) *Sessions {
	return &Sessions{view: view, open: map[uint64]session{}}
}

// Begin ties a request to its key. The returned context ends, with the coded
// reason as its cause, when the key stops working.
func (s *Sessions) Begin(ctx context.Context, k state.Key) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	s.next++
	id := s.next
	s.open[id] = session{k.Hash, cancel}
	s.mu.Unlock()
	// The key may have been withdrawn since it was checked.
	if err := s.verdict(k.Hash); err != nil {
		cancel(err)
	}
	return ctx, func() {
		s.mu.Lock()
		delete(s.open, id)
		s.mu.Unlock()
		cancel(nil)
	}
}

// Run watches the configuration until ctx ends.
func (s *Sessions) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		changed := s.view.Changed()
		s.sweep()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
		}
	}
}

func (s *Sessions) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.open {
		if err := s.verdict(x.hash); err != nil {
			x.cancel(err)
		}
	}
}

func (s *Sessions) verdict(hash string) error {
	if !s.view.Fresh() {
		return result.NewRetryAfter(result.FreshnessLost, freshRetry, "the key can no longer be checked")
	}
	if k, ok := s.view.Config().Keys[hash]; !ok || k.Withdrawn {
		return result.New(result.KeyWithdrawn, "the key was withdrawn")
	}
	return nil
}
