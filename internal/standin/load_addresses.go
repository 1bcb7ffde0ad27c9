package standin

import (
	"context"
	"sync"
	"time"
)

// addressTTL is how long a load uses addresses before it requests them again.
const addressTTL = time.Second

// addressList holds the addresses of the entries that callers should use. Requests use them
// in turn, because in production the callers of an account are spread over all entries.
type addressList struct {
	mu        sync.Mutex
	list      []string
	fetchedAt time.Time
	count     int // calls of next
}

// refresh requests the addresses from entries.
func (a *addressList) refresh(ctx context.Context, entries []string) error {
	c := Caller{Entries: entries}
	list, err := c.findEntries(ctx)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = list
	a.fetchedAt = time.Now()
	return nil
}

// refreshIfOld requests the addresses again if they are older than addressTTL. Only one
// caller per addressTTL does so.
func (a *addressList) refreshIfOld(ctx context.Context, entries []string) error {
	a.mu.Lock()
	old := time.Since(a.fetchedAt) > addressTTL
	if old {
		a.fetchedAt = time.Now()
	}
	a.mu.Unlock()
	if !old {
		return nil
	}
	return a.refresh(ctx, entries)
}

// next returns the next address.
func (a *addressList) next() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	return a.list[a.count%len(a.list)]
}
