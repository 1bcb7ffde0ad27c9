package standin

import (
	"context"
	"sync"
	"time"
)

// addressTTL is how long a load keeps the addresses that it received.
const addressTTL = time.Second

// addressList holds the entries that the system names, in turn: the callers of
// an account are many and spread over all of them.
type addressList struct {
	mu    sync.Mutex
	list  []string
	at    time.Time
	count int
}

func (a *addressList) refresh(ctx context.Context, entries []string) error {
	c := Caller{Entries: entries}
	list, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = list
	a.at = time.Now()
	return nil
}

// renew asks again when the addresses are old; one request at a time does.
func (a *addressList) renew(ctx context.Context, entries []string) error {
	a.mu.Lock()
	old := time.Since(a.at) > addressTTL
	if old {
		a.at = time.Now()
	}
	a.mu.Unlock()
	if !old {
		return nil
	}
	return a.refresh(ctx, entries)
}

func (a *addressList) next() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	return a.list[a.count%len(a.list)]
}
