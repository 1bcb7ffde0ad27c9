package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// A replica whose data folder fails is suspended: it drops what it has in memory beyond
// the applied entries, neither votes nor accepts entries, and reads the folder again, as a
// new process would, once the disk stores a file. Its process goes on serving callers.

// stalledAfter is how long a write may last until the replica counts as unavailable. By
// then the others have elected another leader.
const stalledAfter = 2 * time.Second

var (
	folderFailures = metrics.NewCounter("apricotstream_data_folder_failures_total")
	foldersFailed  = metrics.NewGauge("apricotstream_data_folders_failed", nil)
)

// Available reports whether the replica takes part in the control group: its data folder
// is open, and no write hangs.
func (r *Replica) Available() bool { return !r.suspended.Load() && !r.stalled() }

// stalled reports whether a write of the loop hangs.
func (r *Replica) stalled() bool {
	since := r.writingSince.Load()
	return since != 0 && clock.Now()-time.Duration(since) >= stalledAfter
}

func errUnavailable() error {
	return result.NewRetryAfter(result.NotLeader, time.Second, "the data folder of this replica does not take writes")
}

// suspend replaces the consensus core by one that only knows the membership and what is
// applied. It is never stepped. It runs in the loop or before it.
func (r *Replica) suspend(id consensus.ID, applied consensus.SnapshotMeta, err error) {
	r.log.Error("Data folder failed; the replica is suspended until it takes writes again.", "id", id, "err", err.Error())
	folderFailures.Inc()
	foldersFailed.Inc()
	r.suspended.Store(true)
	r.failPendingProposals()
	r.node = consensus.New(consensus.Config{
		ID: id, Hard: consensus.HardState{Term: applied.Term, Commit: applied.Index}, Snapshot: applied,
		Now: r.now(), Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

// reopenedFolder is the result of opening the folder again.
type reopenedFolder struct {
	disk   dataFolder
	loaded storage.LoadedState
	err    error
}

// recoverFolder runs in place of the loop until the folder is open again and its committed
// entries are applied. It returns an error if the folder is damaged or lacks something
// that was stored.
func (r *Replica) recoverFolder(ctx context.Context) error {
	failedAt, delay := r.now(), r.reopenPolicy.failed(r.now())
	reopened := make(chan reopenedFolder, 1)
	go func() { reopened <- r.reopen(ctx, delay) }()
	for {
		select {
		case f := <-reopened:
			if f.err != nil || ctx.Err() != nil {
				if f.disk != nil {
					f.disk.Close()
				}
				return f.err
			}
			return r.resume(f, failedAt)
		case <-r.inbox:
		case p := <-r.proposals:
			p.end(state.Outcome{}, errUnavailable())
		case task := <-r.tasks:
			task()
		}
	}
}

// reopen opens the folder again once it takes writes. It returns an error if ctx ends or
// the folder can't heal.
func (r *Replica) reopen(ctx context.Context, delay time.Duration) reopenedFolder {
	r.snapshotWriter.Wait() // it uses the same folder
	reported := ""
	for periodic.Pause(ctx, delay) {
		delay = r.reopenPolicy.next(delay)
		if r.folders.checkWritable(r.dir) != nil {
			continue // reported when it failed
		}
		disk, l, err := r.folders.open(r.dir)
		if err == nil || !mayHeal(err) {
			logOpening(r.log, r.dir, l.Findings, err)
			return reopenedFolder{disk, l, err}
		}
		if text := err.Error(); text != reported {
			reported = text
			r.log.Error("Data folder takes writes again but cannot be opened; trying on.", "err", text)
		}
	}
	return reopenedFolder{err: ctx.Err()}
}

// resume takes part in the control group again, with what the folder holds.
func (r *Replica) resume(f reopenedFolder, failedAt consensus.Time) error {
	if err := r.checkReopened(f.loaded); err != nil {
		f.disk.Close()
		return err
	}
	select {
	case <-r.preparedSnapshot: // if it was completed, opening the folder has activated it
	default:
	}
	r.writingSnapshot, r.nextSnapshotAt, r.compactTo = false, 0, consensus.SnapshotMeta{}
	r.changes, r.changeBytes, r.bytesSinceSnapshot = nil, nil, 0
	if err := r.load(f.disk, f.loaded, false); err != nil {
		f.disk.Close()
		return err
	}
	r.suspended.Store(false)
	foldersFailed.Dec()
	r.reopenPolicy.recovered(r.now())
	r.log.Info("Data folder takes writes again; the replica takes part again.", "ms", (r.now() - failedAt).Milliseconds())
	r.phases = phaseTimer{last: clock.Now()}
	err := r.processReady()
	r.notifyAllBatches()
	r.publishRetiring()
	return err
}

// checkReopened returns DataCorrupt if the folder is another one, or lacks a term, a vote
// or entries that were stored: the leader may count on them. Entries of a later term, whose
// write failed halfway, may have replaced some of them.
func (r *Replica) checkReopened(l storage.LoadedState) error {
	old, now := r.stored, l.Hard
	if l.Identity.Cluster != r.cluster || l.Identity.ID != r.Status().ID {
		return result.New(result.DataCorrupt, "%s: holds replica %s after a failure", r.dir, l.Identity.ID)
	}
	if last := lastStored(l); last.Term < r.storedLast.Term || last.Term == r.storedLast.Term && last.Index < r.storedLast.Index {
		return result.New(result.DataCorrupt, "%s: was stored up to entry %d of term %d, and ends with entry %d of term %d after a failure", r.dir, r.storedLast.Index, r.storedLast.Term, last.Index, last.Term)
	}
	if now.Term < old.Term || now.Term == old.Term && old.Vote != "" && now.Vote != old.Vote || now.Commit < old.Commit {
		return result.New(result.DataCorrupt, "%s: was stored up to term %d and entry %d, and holds term %d and entry %d after a failure", r.dir, old.Term, old.Commit, now.Term, now.Commit)
	}
	return nil
}

// lastStored returns index and term of the last entry of a folder.
func lastStored(l storage.LoadedState) consensus.Entry {
	if n := len(l.Entries); n > 0 {
		return consensus.Entry{Index: l.Entries[n-1].Index, Term: l.Entries[n-1].Term}
	}
	return consensus.Entry{Index: l.Snapshot.Meta.Index, Term: l.Snapshot.Meta.Term}
}
