package upstream

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
)

// Methods by which daemons compare and acknowledge announcements.
const (
	MethodTable   = "upstream.table"   // call: TableRequest -> TableReply
	MethodConfirm = "upstream.confirm" // call: Announcement -> Confirmed
)

// TableRequest asks for all announcements, unless the receiver holds the same ones as the
// sender.
type TableRequest struct {
	Hash uint64 `json:"hash"`
}

// TableReply contains all announcements, or none if the hashes are equal.
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
			return Confirmed{}, result.New(result.BodyMalformed, "announcement has no id")
		}
		d.mu.Lock()
		a = d.registry.Withdrawal(a)
		d.mu.Unlock()
		d.record(a, true)
		return Confirmed{}, nil
	})
}

// hash returns a hash of the id, models, software, leaving state and incarnation of all
// announcements, but not of their load. The caller holds d.mu.
func (d *Directory) hash() uint64 {
	h := xxhash.New()
	for _, a := range d.registry.All() {
		_, _ = h.WriteString(a.ID + "|" + a.Models + "|" + a.Software + "|")
		if a.Leaving {
			_, _ = h.WriteString("leaving")
		}
		_, _ = h.WriteString(strconv.FormatInt(a.Incarnation, 10))
	}
	return h.Sum64()
}

// Pull fetches the announcements of the daemon at address and records them.
func (d *Directory) Pull(ctx context.Context, c *peer.Client, address string) error {
	d.mu.Lock()
	q := TableRequest{Hash: d.hash()}
	d.mu.Unlock()
	reply, err := peer.Call[TableReply](ctx, c, address, MethodTable, q)
	if err != nil {
		return err
	}
	d.merge(reply.Announcements)
	return nil
}

// merge records the valid ones of the announcements that another daemon holds.
func (d *Directory) merge(list []Announcement) {
	for _, a := range list {
		if a.Leaving || a.Check() == nil { // withdrawals may have an id only
			d.record(a, true)
		}
	}
}

// Withdraw records that an upstream is leaving and waits until the other daemons have
// recorded it too, at most timeout. It returns the number of daemons that it called, and of
// those that did not confirm.
func (d *Directory) Withdraw(ctx context.Context, a Announcement, timeout time.Duration) (called, failed int) {
	a.Leaving = true
	d.record(a, true)
	r, err := d.group.ConfirmAll(ctx, MethodConfirm, a, timeout)
	if err != nil {
		return 1, 1
	}
	return r.Called, r.Called - r.Confirmed
}

// MarkConfirmed records that the withdrawal of an incarnation was acknowledged.
func (d *Directory) MarkConfirmed(id string, incarnation int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.MarkConfirmed(id, incarnation)
}

// Confirmed reports whether this daemon has acknowledged the withdrawal of an incarnation.
func (d *Directory) Confirmed(id string, incarnation int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.Confirmed(id, incarnation)
}

// Get returns the newest announcement of an upstream.
func (d *Directory) Get(id string) (Announcement, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.Get(id)
}

// Known returns the upstreams that are not leaving and not in an evacuated zone. Silent ones are
// included and marked. The slice must not be changed.
func (d *Directory) Known() []Announcement { return d.current().known }

// KnownDirectory is a Directory whose Service method lists the known upstreams, including
// silent ones.
type KnownDirectory struct{ *Directory }

// Service returns the known upstreams of one service.
func (r KnownDirectory) Service(name string) []Announcement {
	var out []Announcement
	for _, a := range r.Known() {
		if a.Service == name {
			out = append(out, a)
		}
	}
	return out
}

// Ended reports whether an incarnation is not listed, or a newer one of the upstream is.
func (d *Directory) Ended(id string, incarnation int64) bool {
	a, ok := d.Get(id)
	return !ok || a.Incarnation > incarnation
}
