package control

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/consensus"
)

// snapshotRetryInterval is the time until a snapshot that could not be written is tried
// again.
const snapshotRetryInterval = 5 * time.Second

// trimChanges discards the oldest configuration changes until the rest is within
// maxChangeBytes; it keeps at least one. A follower that needs a discarded change gets
// the whole configuration.
func (r *Replica) trimChanges() {
	r.changeBytes = r.changeBytes[max(0, len(r.changeBytes)-len(r.changes)):]
	sum := 0
	for _, n := range r.changeBytes {
		sum += n
	}
	for len(r.changes) > 1 && sum > maxChangeBytes {
		sum -= r.changeBytes[0]
		r.changes, r.changeBytes = r.changes[1:], r.changeBytes[1:]
	}
}

// preparedSnapshot is the result of writing a snapshot in the background. err is set
// when writing failed.
type preparedSnapshot struct {
	meta consensus.SnapshotMeta
	size int // of its data, in bytes
	// logBytes is the size of the log entries from the last snapshot to this one.
	logBytes int
	err      error
}

// startSnapshot starts to write a snapshot once enough log entries follow the last one.
// It is written in the background so that it does not delay a leader's heartbeats.
func (r *Replica) startSnapshot() error {
	if r.writingSnapshot || r.now() < r.nextSnapshotAt {
		return nil
	}
	st := r.node.Status()
	last, size := r.disk.Snapshot()
	enoughEntries := st.Applied >= last.Index+snapshotEntries && r.bytesSinceSnapshot < largeSnapshotBytes
	enoughBytes := r.bytesSinceSnapshot >= max(r.snapshotBytes(), size/2)
	if !enoughEntries && !enoughBytes {
		return nil
	}
	term, ok := r.node.TermAt(st.Applied)
	if !ok {
		return nil
	}
	frozen, err := r.state.Freeze()
	if err != nil {
		return err
	}
	meta := consensus.SnapshotMeta{Index: st.Applied, Term: term, Members: r.node.MembersAt(st.Applied)}
	logBytes := r.bytesSinceSnapshot
	r.writingSnapshot, r.bytesSinceSnapshot = true, 0
	r.snapshotWriter.Go(func() {
		size, err := r.disk.PrepareSnapshotFrom(meta, frozen.EncodeTo)
		r.preparedSnapshot <- preparedSnapshot{meta: meta, size: size, logBytes: logBytes, err: err}
	})
	return nil
}

// snapshotBytes returns the size of the log entries at which a snapshot is written whatever their
// number: on a small machine less than maxLogBytes, because the entries are in its memory.
func (r *Replica) snapshotBytes() int {
	return int(min(maxLogBytes, r.proposalMemory.budget.Limit()/snapshotShare))
}

// activateSnapshot makes p the current snapshot and discards the log entries that it
// covers. It ignores p if the leader has sent a newer snapshot in the meantime. If writing p
// failed, the log stays, and the snapshot is tried again later.
func (r *Replica) activateSnapshot(p preparedSnapshot) error {
	r.writingSnapshot = false
	if p.err != nil {
		if r.nextSnapshotAt == 0 {
			r.log.Error("Failed to write a snapshot; the log is kept.", "index", p.meta.Index, "bytes", p.size, "err", p.err.Error())
		}
		r.nextSnapshotAt = r.now() + snapshotRetryInterval
		r.bytesSinceSnapshot += p.logBytes
		return nil
	}
	if r.nextSnapshotAt != 0 {
		r.log.Info("Snapshots are written again.", "index", p.meta.Index)
		r.nextSnapshotAt = 0
	}
	if newest, _ := r.disk.Snapshot(); p.meta.Index <= newest.Index {
		return nil
	}
	r.writingSince.Store(int64(clock.Now()))
	defer r.writingSince.Store(0)
	if err := r.disk.ActivateSnapshot(p.meta, p.size, r.node.EntriesAfter(p.meta.Index)); err != nil {
		return err
	}
	r.compactTo = p.meta
	r.compactLog()
	return nil
}

// maxRetainedBytes bounds the data of the log entries that are kept in memory although the
// newest snapshot covers them.
const maxRetainedBytes = 32 << 20

// compactLog discards the log entries that the newest snapshot covers, apart from those
// that a running replica still needs. A replica that receives a snapshot would need
// another one at its end if the entries after it were gone.
func (r *Replica) compactLog() {
	if r.compactTo.Index < r.node.FirstIndex() {
		return // done
	}
	r.node.Compact(compactionEnd(r.node, r.compactTo))
}

// compactionEnd returns the end of the log entries to discard, which is at most that of
// the snapshot.
func compactionEnd(n *consensus.Node, snapshot consensus.SnapshotMeta) consensus.SnapshotMeta {
	needed := n.NeededAfter()
	if needed >= snapshot.Index || n.DataBytes(needed+1, snapshot.Index+1) > maxRetainedBytes {
		return snapshot
	}
	term, ok := n.TermAt(needed)
	if !ok {
		return snapshot
	}
	return consensus.SnapshotMeta{Index: needed, Term: term, Members: n.MembersAt(needed)}
}
