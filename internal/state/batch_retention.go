package state

import "time"

// DiscardReason says why a batch job was discarded.
type DiscardReason string

// DiscardExpired means that the job was not open and its Retention had passed, or that the
// ItemTTL of an open one had passed too.
const DiscardExpired DiscardReason = "expired"

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

// pruneBatches discards batch jobs that callers may no longer read. at is the command's
// time, so that every replica discards the same jobs.
func (l *Ledger) pruneBatches(at time.Time) {
	for _, b := range l.Batches {
		if at.Sub(b.Accepted) > b.Retention && (!b.Open() || at.Sub(b.Accepted) > b.Retention+b.ItemTTL) {
			l.discardBatch(b, at, DiscardExpired)
		}
	}
}
