package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/peer"
)

// Group lists the other daemons that are up.
type Group interface {
	// Broadcast sends a notice to all of them without waiting.
	Broadcast(method string, params any)
	// Others returns their peer addresses.
	Others() []string
}

// GroupNotifier sends notices to the daemons of a Group. It implements Notifier.
type GroupNotifier struct {
	Group
	Client  *peer.Client
	Timeout time.Duration // of Confirm, for daemons that are down or paused
}

// Confirm implements Notifier. It returns after Timeout at the latest.
func (n GroupNotifier) Confirm(method string, params any) []Ack {
	ctx, cancel := context.WithTimeout(context.Background(), n.Timeout)
	defer cancel()
	others := n.Others()
	acks := make([]Ack, len(others))
	var wg sync.WaitGroup
	for i, a := range others {
		wg.Go(func() { acks[i], _ = peer.Call[Ack](ctx, n.Client, a, method, params) })
	}
	wg.Wait()
	return acks
}
