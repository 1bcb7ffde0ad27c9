package control

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Bounds of one read of a batch job.
const (
	// maxBatchWait is the longest time that a read waits for a result. It is below
	// callTimeout and relayTimeout, so that a read that waits does not exceed them.
	maxBatchWait = 400 * time.Millisecond
	// MaxResultBytes bounds the results in one reply, which must stay under the 1 MB
	// that readers accept.
	MaxResultBytes = 900_000
	// resultOverheadBytes is the allowance for the field names and the weight versions
	// of one result.
	resultOverheadBytes = 200
)

// BatchReadRequest asks for results of a batch job, or for the body of one item.
type BatchReadRequest struct {
	Cluster string `json:"cluster,omitempty"` // set by a replica of an earlier version that relays the request
	Relayed bool   `json:"relayed,omitempty"` // the same
	ID      string `json:"id"`
	Account string `json:"account"`
	// AnyOwner reads the job whatever its account. Replicas of older builds ignore it.
	AnyOwner bool          `json:"any_owner,omitempty"`
	After    int           `json:"after,omitempty"` // position of the first result to read, counted from 0
	Wait     time.Duration `json:"wait,omitempty"`  // nanoseconds to wait for the first result
	Item     string        `json:"item,omitempty"`  // if set, read the body of this item instead
}

// BatchReadReply is the reply to a BatchReadRequest.
type BatchReadReply struct {
	Total   int                 `json:"total"`
	Next    int                 `json:"next"`
	Results []state.BatchResult `json:"results,omitempty"`
	Body    []byte              `json:"body,omitempty"`
	Account string              `json:"account,omitempty"` // of the job
	Done    bool                `json:"done,omitempty"`    // the batch job is no longer open; results after Next may remain
}

// OpenBatch is a batch job whose items may still run.
type OpenBatch struct {
	// Batch is a copy without Results and Partial. Its Accepted is a local time with a
	// monotonic reading, so that a step of the wall clock does not change its age.
	Batch  *state.Batch
	Listed map[string]bool // items with a result
	// Partial holds the known partial output by item ID.
	Partial map[string]state.Partial
}

// ReadBatch reads a batch job. The reply reflects everything that was committed before the
// call: the leader only says up to where that is, and this replica reads its own state once
// it has got there. If there is no result to return yet, ReadBatch waits for one for up to
// q.Wait, at most maxBatchWait.
func (r *Replica) ReadBatch(ctx context.Context, q BatchReadRequest) (BatchReadReply, error) {
	if err := r.checkCluster(q.Cluster); err != nil {
		return BatchReadReply{}, err
	}
	deadline := time.Now().Add(min(q.Wait, maxBatchWait))
	for {
		if err := r.catchUp(ctx); err != nil {
			return BatchReadReply{}, err
		}
		var reply BatchReadReply
		var err error
		var changed <-chan struct{} // nil unless there is something to wait for
		remaining := time.Until(deadline)
		loopErr := r.runInLoop(ctx, func() {
			reply, err = r.readBatch(q)
			if err == nil && q.Item == "" && len(reply.Results) == 0 && !reply.Done && remaining > 0 {
				changed = r.batchChangedChan(q.ID)
			}
		})
		if loopErr != nil {
			return BatchReadReply{}, loopErr
		}
		if changed == nil {
			return reply, err
		}
		timer := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// readBatch reads the state. It runs in the loop.
func (r *Replica) readBatch(q BatchReadRequest) (BatchReadReply, error) {
	b := r.state.Ledger.Batches[q.ID]
	if b == nil || b.Account != q.Account && !q.AnyOwner {
		return BatchReadReply{}, r.batchNotFound(q)
	}
	reply := BatchReadReply{Total: len(b.Items), Account: b.Account, Done: !b.Open()}
	if q.Item != "" {
		item, ok := b.Item(q.Item)
		if !ok || b.Ended && b.HasResult(q.Item) {
			return reply, result.New(result.NotFound, "no unfinished item %s", q.Item)
		}
		reply.Body = item.Body
		return reply, nil
	}
	reply.Next = q.After
	size := 0
	for reply.Next < len(b.Results) {
		res := b.Results[reply.Next]
		size += len(res.Text) + len(res.Item) + resultOverheadBytes
		if size > MaxResultBytes && len(reply.Results) > 0 {
			break
		}
		reply.Results = append(reply.Results, res)
		reply.Next++
	}
	return reply, nil
}

// OpenBatches lists the batch jobs whose items may still run. The list reflects everything
// that was committed before the call.
func (r *Replica) OpenBatches(ctx context.Context) ([]OpenBatch, error) {
	if err := r.catchUp(ctx); err != nil {
		return nil, err
	}
	return callInLoop(ctx, r, func() []OpenBatch {
		var out []OpenBatch
		now, groupNow := time.Now(), r.groupClock.now(clock.Now(), r.wallClock())
		for _, b := range r.state.Ledger.Batches {
			if !b.Open() {
				continue
			}
			listed := make(map[string]bool, len(b.Results))
			for i := range b.Results {
				listed[b.Results[i].Item] = true
			}
			partial := make(map[string]state.Partial, len(b.Partial))
			for id, p := range b.Partial {
				partial[id] = *p
			}
			open := *b
			open.Accepted = now.Add(-groupNow.Sub(b.Accepted))
			open.Results, open.Partial = nil, nil
			out = append(out, OpenBatch{Batch: &open, Listed: listed, Partial: partial})
		}
		return out
	})
}

// BatchesChanged returns a channel that is closed when a batch job is accepted or
// ended, or when a snapshot is installed.
func (r *Replica) BatchesChanged() <-chan struct{} {
	r.batchChangedMu.Lock()
	defer r.batchChangedMu.Unlock()
	return r.openBatchesChanged
}

// batchChangedChan returns a channel that is closed when an open batch job changes or is discarded. It is
// called in the loop, which changes them.
func (r *Replica) batchChangedChan(id string) <-chan struct{} {
	r.batchChangedMu.Lock()
	defer r.batchChangedMu.Unlock()
	c := r.batchChanged[id]
	if c == nil {
		c = make(chan struct{})
		r.batchChanged[id] = c
	}
	return c
}

// notifyBatchReaders notifies the readers of the batch jobs that c changed.
func (r *Replica) notifyBatchReaders(c state.Command) {
	r.batchChangedMu.Lock()
	defer r.batchChangedMu.Unlock()
	switch {
	case c.BatchAccept != nil:
		r.notifyBatch(c.BatchAccept.Batch.ID)
		r.notifyOpenBatches()
	case c.BatchEnd != nil:
		r.notifyBatch(c.BatchEnd.ID)
		r.notifyOpenBatches()
	case c.BatchRecord != nil:
		for i := range c.BatchRecord.Results {
			r.notifyBatch(c.BatchRecord.Results[i].Batch)
		}
	}
}

func (r *Replica) notifyBatch(id string) {
	if c := r.batchChanged[id]; c != nil {
		close(c)
		delete(r.batchChanged, id)
	}
}

// discardedBatchChanged notifies the readers of a batch job that was discarded.
func (r *Replica) discardedBatchChanged(id string) {
	r.batchChangedMu.Lock()
	defer r.batchChangedMu.Unlock()
	r.notifyBatch(id)
}

func (r *Replica) notifyOpenBatches() {
	close(r.openBatchesChanged)
	r.openBatchesChanged = make(chan struct{})
}

// notifyAllBatches notifies all readers after a snapshot is installed.
func (r *Replica) notifyAllBatches() {
	r.batchChangedMu.Lock()
	defer r.batchChangedMu.Unlock()
	for id := range r.batchChanged {
		r.notifyBatch(id)
	}
	r.notifyOpenBatches()
}
