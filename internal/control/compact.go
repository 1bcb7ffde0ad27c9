package control

import "github.com/apricotstream/apricotstream/internal/consensus"

// trimChanges drops the oldest changes beyond the bounds; followers that need
// them get the whole configuration.
func (r *Replica) trimChanges() {
	r.changeBytes = r.changeBytes[max(0, len(r.changeBytes)-len(r.changes)):]
	sum := 0
	for _, n := range r.changeBytes {
		sum += n
	}
	for len(r.changes) > 1 && sum > changeHistoryBytes {
		sum -= r.changeBytes[0]
		r.changes, r.changeBytes = r.changes[1:], r.changeBytes[1:]
	}
}

// prepared is a snapshot that has been written, or has failed to be.
type prepared struct {
	meta consensus.SnapshotMeta
	size int // of its data, in bytes
	err  error
}

// compact begins a snapshot once enough entries follow the last one. It is written
// in the background: the heartbeats of a leader must not wait for it.
func (r *Replica) compact() error {
	if r.preparing {
		return nil
	}
	st := r.node.Status()
	last, size := r.disk.Snapshot()
	many := st.Applied >= last.Index+snapshotEntries && r.logged < largeSnapshot
	large := r.logged >= max(snapshotBytes, 2*size)
	if !many && !large {
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
	r.preparing, r.logged = true, 0
	r.background.Go(func() {
		data, err := frozen.Encode(size + size/4)
		if err == nil {
			err = r.disk.PrepareSnapshot(consensus.Snapshot{Meta: meta, Data: data})
		}
		r.prepared <- prepared{meta: meta, size: len(data), err: err}
	})
	return nil
}

// adopt drops what a snapshot replaces, unless a newer one came from the leader.
func (r *Replica) adopt(p prepared) error {
	r.preparing = false
	if newest, _ := r.disk.Snapshot(); p.err != nil || p.meta.Index <= newest.Index {
		return p.err
	}
	if err := r.disk.ActivateSnapshot(p.meta, p.size, r.node.EntriesAfter(p.meta.Index)); err != nil {
		return err
	}
	r.node.Compact(p.meta)
	return nil
}
