package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/peer"
)

// Group finds the other daemons that are up.
type Group interface {
	// Broadcast sends a notice to all of them without waiting.
	Broadcast(method string, params any)
	// Others returns their peer addresses.
	Others() []string
}

// GroupSpreader reaches the daemons of a group. It implements Spreader.
type GroupNotifier struct {
	Group
	Client  *peer.Client
	Timeout time.Duration // of Confirm: a daemon that is down or frozen does not answer
}

// Confirm implements Spreader.
func (s GroupNotifier) Confirm(method string, params any) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range s.Others() {
		wg.Go(func() { _, _ = peer.Call[Ack](ctx, s.Client, a, method, params) })
	}
	wg.Wait()
}
