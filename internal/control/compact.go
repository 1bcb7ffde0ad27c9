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

// compact stores a snapshot once enough entries follow the last one.
func (r *Replica) compact() error {
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
	data, err := r.state.Encode()
	if err != nil {
		return err
	}
	meta := consensus.SnapshotMeta{Index: st.Applied, Term: term, Members: r.node.MembersAt(st.Applied)}
	tail := r.node.EntriesAfter(st.Applied)
	if err := r.disk.Save(consensus.Snapshot{Meta: meta, Data: data}, tail); err != nil {
		return err
	}
	r.node.Compact(meta)
	r.logged = 0
	return nil
}
