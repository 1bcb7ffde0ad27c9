package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// sessionCheckInterval bounds the time until the loss of the freshness lease is noticed.
const sessionCheckInterval = 100 * time.Millisecond

// Sessions tracks the requests in flight with their keys. It cancels the requests whose
// key is withdrawn or can no longer be validated.
type Sessions struct {
	view control.View

	mu       sync.Mutex
	next     uint64 // ID of the newest session
	sessions map[uint64]session
}

// session is one request in flight.
type session struct {
	hash   string // of the key
	cancel context.CancelCauseFunc
}

// NewSessions returns an empty set of sessions. It validates keys against view.
func NewSessions(view control.View) *Sessions {
	return &Sessions{view: view, sessions: map[uint64]session{}}
}

// Begin starts the session of a request with key k. The returned context is canceled when
// the key becomes invalid, with FreshnessLost or KeyWithdrawn as the cause. The caller
// must call the returned function when the request ends.
func (s *Sessions) Begin(ctx context.Context, k state.Key) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	s.next++
	id := s.next
	s.sessions[id] = session{k.Hash, cancel}
	s.mu.Unlock()
	// The key may have been withdrawn since it was checked.
	if err := s.checkKey(k.Hash); err != nil {
		cancel(err)
	}
	return ctx, func() {
		s.mu.Lock()
		delete(s.sessions, id)
		s.mu.Unlock()
		cancel(nil)
	}
}

// Run validates the keys of all sessions until ctx ends, after every change of the
// configuration and at least every sessionCheckInterval.
func (s *Sessions) Run(ctx context.Context) {
	ticker := time.NewTicker(sessionCheckInterval)
	defer ticker.Stop()
	for {
		changed := s.view.Changed()
		s.cancelInvalid()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// cancelInvalid cancels the sessions whose key is no longer valid.
func (s *Sessions) cancelInvalid() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, session := range s.sessions {
		if err := s.checkKey(session.hash); err != nil {
			session.cancel(err)
		}
	}
}

// checkKey returns FreshnessLost if keys can't be validated, and KeyWithdrawn if the key
// is withdrawn or removed.
func (s *Sessions) checkKey(hash string) error {
	if !s.view.Fresh() {
		return result.NewRetryAfter(result.FreshnessLost, notFreshRetryAfter, "the key can no longer be validated")
	}
	if k, ok := s.view.Config().Keys[hash]; !ok || k.Withdrawn {
		return result.New(result.KeyWithdrawn, "the key was withdrawn")
	}
	return nil
}
