package upstream

import (
	"context"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
)

// Methods by which daemons compare and acknowledge announcements.
const (
	MethodTable   = "upstream.table"   // call: TableRequest -> TableReply
	MethodConfirm = "upstream.confirm" // call: Announcement -> Confirmed
)

// TableRequest asks for all announcements unless the asker holds the same ones.
type TableRequest struct {
	Hash uint64 `json:"hash"`
}

// TableReply holds all announcements, or none when the hashes agree.
type TableReply struct {
	Announcements []Announcement `json:"announcements,omitempty"`
}

// Confirmed acknowledges that a daemon has recorded an announcement.
type Confirmed struct{}

func (d *Directory) registerExchange(s *peer.Server) {
	peer.Handle(s, MethodTable, func(_ context.Context, q TableRequest) (TableReply, error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.hash() == q.Hash {
			return TableReply{}, nil
		}
		return TableReply{Announcements: d.registry.All()}, nil
	})
	peer.Handle(s, MethodConfirm, func(_ context.Context, a Announcement) (Confirmed, error) {
		if a.ID == "" {
			return Confirmed{}, result.New(result.BodyMalformed, "an announcement without an id")
		}
		d.take(a, true)
		return Confirmed{}, nil
	})
}

// hash covers what matters of the announcements but the load.
func (d *Directory) hash() uint64 {
	h := xxhash.New()
	for _, a := range d.registry.All() {
		_, _ = h.WriteString(a.ID + "|" + a.Models + "|")
		if a.Leaving {
			_, _ = h.WriteString("leaving")
		}
		_, _ = h.WriteString(strconv.FormatInt(a.Incarnation, 10))
	}
	return h.Sum64()
}

// Pull merges the announcements of the daemon at address.
func (d *Directory) Pull(ctx context.Context, c *peer.Client, address string) error {
	d.mu.Lock()
	q := TableRequest{Hash: d.hash()}
	d.mu.Unlock()
	reply, err := peer.Call[TableReply](ctx, c, address, MethodTable, q)
	if err != nil {
		return err
	}
	for _, a := range reply.Announcements {
		d.take(a, true)
	}
	return nil
}

// Withdraw records that an upstream is leaving and waits until the daemons at
// addresses have recorded it too. It returns how many did not answer.
func (d *Directory) Withdraw(ctx context.Context, c *peer.Client, addresses []string, a Announcement) int {
	a.Leaving = true
	d.take(a, true)
	var wg sync.WaitGroup
	failed := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		wg.Go(func() {
			if _, err := peer.Call[Confirmed](ctx, c, address, MethodConfirm, a); err != nil {
				failed <- struct{}{}
			}
		})
	}
	wg.Wait()
	return len(failed)
}

// Get returns the newest announcement of an upstream.
func (d *Directory) Get(id string) (Announcement, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.Get(id)
}

// Known returns the upstreams that are not leaving, with those that have gone
// silent marked. The slice must not be changed.
func (d *Directory) Known() []Announcement { return *d.known.Load() }

// Reachable lists the known upstreams of a service, silent ones included.
type KnownDirectory struct{ *Directory }

// Service returns the upstreams of one service.
func (r KnownDirectory) Service(name string) []Announcement {
	var out []Announcement
	for _, a := range r.Known() {
		if a.Service == name {
			out = append(out, a)
		}
	}
	return out
}
