package control

import "context"

// Size is what a replica holds in memory.
type Size struct {
	LogEntries    int // after the newest snapshot, or kept for other replicas
	LogBytes      int // of their data
	SnapshotBytes int // of the newest snapshot, which is on the disk only
	Batches       int // batch jobs
	TextBytes     int // of their results
	RetainedBytes int // of the batch jobs with their results, see state.Ledger.RetainedBytes
}

// Size returns the size of the log and of the state.
func (r *Replica) Size(ctx context.Context) (Size, error) {
	return callInLoop(ctx, r, func() Size {
		st := r.node.Status()
		s := Size{LogEntries: int(st.LastIndex + 1 - r.node.FirstIndex()), LogBytes: r.node.DataBytes(r.node.FirstIndex(), st.LastIndex+1), Batches: len(r.state.Ledger.Batches), RetainedBytes: r.state.Ledger.RetainedBytes()}
		if !r.suspended.Load() {
			_, s.SnapshotBytes = r.disk.Snapshot()
		}
		for _, b := range r.state.Ledger.Batches {
			for i := range b.Results {
				s.TextBytes += len(b.Results[i].Text)
			}
		}
		return s
	})
}
