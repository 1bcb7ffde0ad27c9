// Package quarantine records which requests crashed upstreams. After the first crash a
// request is suspect and must run alone on an upstream. After quarantineThreshold crashes
// it is quarantined and must not run. Crashes after which it had run for long weigh less,
// see LateCrash. The records are not persisted. Daemons share them by
// notices, and they expire.
package quarantine

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

// MethodShare is the method that distributes records and reservations, as a notice and as
// a call.
const MethodShare = "quarantine.share"

const (
	// shareInterval is the time between notices that repeat records, for daemons that missed
	// an earlier notice.
	shareInterval = time.Second
	// lateShareTime is how long a record with only late crashes is repeated by the daemon that
	// recorded the newest one. A failing availability zone leaves one for each of its streams.
	lateShareTime = 5 * time.Second
)

// Share contains records and changes of reservations.
type Share struct {
	Records []Record     `json:"records,omitempty"`
	Reserve *Reservation `json:"reserve_for,omitempty"`
	Free    *Reservation `json:"free_of,omitempty"` // reservation that ends
}

// Ack acknowledges that a Share was applied.
type Ack struct {
	Taken bool `json:"taken,omitempty"` // the upstream to reserve has another reservation
}

// Notifier sends notices to all other daemons that are up.
type Notifier interface {
	// Broadcast sends a notice to all of them without waiting. The notice may be lost.
	Broadcast(method string, params any)
	// Confirm calls a method of all of them, waits until all have replied or a timeout has
	// passed, and returns the replies.
	Confirm(method string, params any) []Ack
}

// Table holds the StateMachine of one daemon, and exchanges records with the other
// daemons. It may be used by many goroutines.
type Table struct {
	clock    func() time.Time
	notifier Notifier
	nonEmpty atomic.Bool // whether there may be any record or reservation

	mu      sync.Mutex
	machine *StateMachine
	late    map[string]time.Time // when this daemon recorded its newest late crash, by fingerprint
}

// NewTable returns an empty Table that reads the time from clock. notifier may be nil;
// then nothing is sent to other daemons.
func NewTable(clock func() time.Time, notifier Notifier) *Table {
	return &Table{clock: clock, notifier: notifier, machine: NewStateMachine(), late: map[string]time.Time{}}
}

// Register adds the handlers of MethodShare to s.
func (t *Table) Register(s *peer.Server) {
	peer.HandleNotice(s, MethodShare, func(q Share) { t.apply(q) })
	peer.Handle(s, MethodShare, func(_ context.Context, q Share) (Ack, error) { return t.apply(q), nil })
}

// Run sends records again every shareInterval until ctx ends.
func (t *Table) Run(ctx context.Context) {
	periodic.Every(ctx, shareInterval, func() {
		if l := t.repeated(); len(l) > 0 {
			t.broadcast(Share{Records: l})
		}
	})
}

// repeated returns the records to send again: all live ones, but those with only late crashes
// that do not block for lateShareTime, and only if this daemon recorded one of them.
func (t *Table) repeated() []Record {
	all := t.List()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	maps.DeleteFunc(t.late, func(_ string, at time.Time) bool { return now.Sub(at) > lateShareTime })
	return slices.DeleteFunc(all, func(r Record) bool {
		_, own := t.late[r.Fingerprint]
		return len(r.Upstreams) == 0 && len(r.Late) > 0 && !r.Blocked() && !own
	})
}

// Record returns the record of the request fp, see StateMachine.Record.
func (t *Table) Record(fp string) Record {
	if !t.nonEmpty.Load() {
		return Record{Fingerprint: fp}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Record(t.clock(), fp)
}

// RecordCrash records that an upstream crashed while it ran the request fp. It returns
// when the other daemons have replied or the notifier has timed out, because the client
// may send the request again at once through any daemon.
func (t *Table) RecordCrash(fp, upstream string, incarnation int64) Record {
	t.mu.Lock()
	t.nonEmpty.Store(true)
	r := t.machine.RecordCrash(t.clock(), fp, fmt.Sprintf("%s#%d", upstream, incarnation))
	t.mu.Unlock()
	if t.notifier != nil {
		t.notifier.Confirm(MethodShare, Share{Records: []Record{r}})
	}
	return r
}

// RecordLateCrash records that an upstream of an availability zone crashed after it had run the
// request fp for long, until the given time. It does not wait for the other daemons.
func (t *Table) RecordLateCrash(fp, upstream string, incarnation int64, zone string, at time.Time) Record {
	t.mu.Lock()
	t.nonEmpty.Store(true)
	now := t.clock()
	t.late[fp] = now
	r := t.machine.RecordLateCrash(now, fp, LateCrash{fmt.Sprintf("%s#%d", upstream, incarnation), zone, at})
	t.mu.Unlock()
	t.broadcast(Share{Records: []Record{r}})
	return r
}

// Release clears fp because an operator releases it or because it ran alone without a
// crash. It returns false if fp is unknown.
func (t *Table) Release(fp string) bool {
	t.mu.Lock()
	r, ok := t.machine.Clear(t.clock(), fp)
	t.mu.Unlock()
	if ok {
		t.broadcast(Share{Records: []Record{r}})
	}
	return ok
}

// Reserve reserves an upstream for a suspect request until the returned function is called.
// It returns false if another request has reserved it. It returns when the other daemons have
// replied or the notifier has timed out, so that two suspect requests never run there
// together and are both blamed for a crash.
func (t *Table) Reserve(upstream string) (free func(), ok bool) {
	r := Reservation{Upstream: upstream, Owner: uuid.NewString()}
	t.mu.Lock()
	t.nonEmpty.Store(true)
	ok = t.machine.Reserve(t.clock(), r)
	t.mu.Unlock()
	if !ok {
		return nil, false
	}
	free = func() {
		t.mu.Lock()
		t.machine.Free(r)
		t.mu.Unlock()
		t.broadcast(Share{Free: &r})
	}
	if t.notifier != nil && !t.confirmReservation(r) {
		free()
		return nil, false
	}
	return free, true
}

// confirmReservation tells the other daemons of r. It returns false if one of them knows of
// another reservation that takes precedence.
func (t *Table) confirmReservation(r Reservation) bool {
	for _, a := range t.notifier.Confirm(MethodShare, Share{Reserve: &r}) {
		if a.Taken {
			return false
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Holds(t.clock(), r)
}

// Reserved returns the upstreams that are reserved for suspect requests.
func (t *Table) Reserved() []string {
	if !t.nonEmpty.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Reserved(t.clock())
}

// List returns the live records, oldest first.
func (t *Table) List() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.machine.List(t.clock())
	t.nonEmpty.Store(len(l) > 0 || len(t.machine.Reserved(t.clock())) > 0)
	return l
}

// apply applies a Share of another daemon.
func (t *Table) apply(s Share) Ack {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nonEmpty.Store(true)
	for _, r := range s.Records {
		t.machine.Merge(t.clock(), r)
	}
	if s.Free != nil {
		t.machine.Free(*s.Free)
	}
	return Ack{Taken: s.Reserve != nil && !t.machine.MergeReservation(t.clock(), *s.Reserve)}
}

// broadcast sends s to the other daemons without waiting.
func (t *Table) broadcast(s Share) {
	if t.notifier != nil {
		t.notifier.Broadcast(MethodShare, s)
	}
}
