package state

import (
	"cmp"
	"slices"
	"time"
)

// DiscardReason says why a batch job was discarded.
type DiscardReason string

const (
	// DiscardEnded means that Retention and EndedRetention of an ended job had passed, and that all jobs
	// exceeded a part of their bound.
	DiscardEnded DiscardReason = "ended"
	// DiscardMemory means that the retained jobs exceeded their bound.
	DiscardMemory DiscardReason = "memory"
	// DiscardExpired means that Retention of a job without EndedRetention had passed, and ItemTTL too if
	// it was open.
	DiscardExpired DiscardReason = "expired"
)

// Memory of a job, an item and a result without texts and bodies, with their places in maps.
const (
	batchMemoryBytes  = 1 << 10
	itemMemoryBytes   = 320
	resultMemoryBytes = 240
)

// DiscardedBatch describes a batch job that was discarded.
type DiscardedBatch struct {
	ID, Account string
	Accepted    time.Time // time of the control group
	Discarded   time.Time // time of the control group
	Ended       bool
	Items       int
	Results     int
	Reason      DiscardReason
}

// Complete reports whether all items had a result.
func (d DiscardedBatch) Complete() bool { return d.Results == d.Items }

// Discarded returns the batch jobs that the newest command discarded.
func (s *State) Discarded() []DiscardedBatch { return s.Ledger.discarded }

// discardBatch discards a batch job and records that it did.
func (l *Ledger) discardBatch(b *Batch, at time.Time, reason DiscardReason) {
	delete(l.Batches, b.ID)
	l.discarded = append(l.discarded, DiscardedBatch{
		ID: b.ID, Account: b.Account, Accepted: b.Accepted, Discarded: at, Ended: b.Ended,
		Items: len(b.Items), Results: len(b.Results), Reason: reason,
	})
}

// RetainedBytes returns about the memory of the jobs in the state without partial output.
func (l *Ledger) RetainedBytes() int {
	n := 0
	for _, b := range l.Batches {
		n += b.bytes
	}
	return n
}

// FixedBytes returns the part of RetainedBytes that must not be discarded at a time of the control group.
func (l *Ledger) FixedBytes(at time.Time) int {
	n := 0
	for _, b := range l.Batches {
		if !b.mayDiscard(at) {
			n += b.bytes
		}
	}
	return n
}

// measure computes bytes and hasBodies.
func (b *Batch) measure() {
	b.bytes, b.hasBodies = batchMemoryBytes, false
	for i := range b.Items {
		b.bytes += itemMemoryBytes + b.Items[i].contentBytes()
		b.hasBodies = b.hasBodies || len(b.Items[i].Body) > 0
	}
	for i := range b.Results {
		b.bytes += b.Results[i].retainedBytes()
	}
}

func (r *BatchResult) retainedBytes() int {
	return resultMemoryBytes + len(r.Item) + len(r.Text) + len(r.Score) + 8*len(r.Versions)
}

// mayDiscard reports whether a job may be discarded for lack of memory: its retention has passed, as if it
// were a job without EndedRetention.
func (b *Batch) mayDiscard(at time.Time) bool {
	age := at.Sub(b.Accepted)
	return age > b.Retention && (!b.Open() || age > b.Retention+b.ItemTTL)
}

// endedShare is the part of the limit of all jobs, as a divisor, up to which ended ones are retained longer than
// they have to be.
const endedShare = 4

// pruneBatches discards batch jobs that callers may no longer read while the jobs have more than a part of
// limit bytes and, above limit, those that only the missing end retains. at is the command's time, so that
// every replica discards the same jobs.
func (l *Ledger) pruneBatches(at time.Time, limit int) {
	var candidates []*Batch
	for _, b := range l.Batches {
		switch {
		case !b.mayDiscard(at):
		case b.EndedRetention == 0:
			l.discardBatch(b, at, DiscardExpired)
		default:
			if b.complete() && b.hasBodies {
				b.dropRequests(false)
			}
			candidates = append(candidates, b)
		}
	}
	slices.SortFunc(candidates, func(a, b *Batch) int {
		return cmp.Or(cmp.Compare(a.discardRank(at), b.discardRank(at)), a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	bytes := l.RetainedBytes()
	for _, b := range candidates {
		reason, bound := DiscardMemory, limit
		if b.discardRank(at) == 0 {
			reason, bound = DiscardEnded, limit/endedShare
		}
		if bytes > bound && (limit > 0 || reason == DiscardEnded) {
			bytes -= b.bytes
			l.discardBatch(b, at, reason)
		}
	}
}

// discardRank orders jobs that may be discarded: those that callers may no longer read come first, then those
// that have ended.
func (b *Batch) discardRank(at time.Time) int {
	switch {
	case !b.Ended:
		return 2
	case at.Sub(b.EndedAt) <= b.EndedRetention:
		return 1
	}
	return 0
}
