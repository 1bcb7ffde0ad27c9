package control

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Bounds of one read of a batch job.
const (
	// maxBatchWait keeps a waiting read below callTimeout and relayTimeout.
	maxBatchWait = 400 * time.Millisecond
	// maxResultBytes keeps an answer under the 1 MB that readers accept.
	maxResultBytes = 900_000
	// resultFrame is room for the field names of a result and its versions, in bytes.
	resultFrame = 200
)

// BatchReadRequest reads results, or the body of one item, of a batch job.
type BatchReadRequest struct {
	Cluster string        `json:"cluster,omitempty"` // set by a replica that passes it on
	Relayed bool          `json:"relayed,omitempty"`
	ID      string        `json:"id"`
	Account string        `json:"account"`
	After   int           `json:"after,omitempty"` // position to read from, from 0
	Wait    time.Duration `json:"wait,omitempty"`  // nanoseconds to wait for the first result
	Item    string        `json:"item,omitempty"`  // read this item's body instead
}

// BatchReadReply holds what was read.
type BatchReadReply struct {
	Total   int                 `json:"total"`
	Next    int                 `json:"next"`
	Results []state.BatchResult `json:"results,omitempty"`
	Body    []byte              `json:"body,omitempty"`
	Done    bool                `json:"done,omitempty"` // no result will follow
}

// OpenBatch is a batch job whose items may still run. Batch's results belong to
// the replica's loop; the rest never changes.
type OpenBatch struct {
	Batch  *state.Batch
	Listed map[string]bool // items with a result
	// Partial is the known beginning of texts, by item.
	Partial map[string]state.Partial
}

// ReadBatch reads at the leader, after everything committed before the call.
func (r *Replica) ReadBatch(ctx context.Context, q BatchReadRequest) (BatchReadReply, error) {
	if err := r.checkCluster(q.Cluster); err != nil {
		return BatchReadReply{}, err
	}
	if r.Status().Role != consensus.Leader {
		relayed := q
		relayed.Cluster, relayed.Relayed = r.cluster, true
		return relay[BatchReadReply](ctx, r, q.Relayed, MethodReadBatch, relayed)
	}
	until := time.Now().Add(min(q.Wait, maxBatchWait))
	for {
		if err := r.catchUp(ctx); err != nil {
			return BatchReadReply{}, err
		}
		changed := r.batchChange(q.ID)
		var reply BatchReadReply
		var err error
		if ran := r.do(ctx, func() { reply, err = readBatch(r.state.Ledger, q) }); ran != nil {
			return BatchReadReply{}, ran
		}
		left := time.Until(until)
		if err != nil || q.Item != "" || len(reply.Results) > 0 || reply.Done || left <= 0 {
			return reply, err
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func readBatch(l *state.Ledger, q BatchReadRequest) (BatchReadReply, error) {
	b := l.Batches[q.ID]
	if b == nil || b.Account != q.Account {
		return BatchReadReply{}, result.New(result.NotFound, "no batch job %s", q.ID)
	}
	reply := BatchReadReply{Total: len(b.Items), Done: !b.Open()}
	if q.Item != "" {
		item, ok := b.Item(q.Item)
		if !ok {
			return reply, result.New(result.NotFound, "no item %s", q.Item)
		}
		reply.Body = item.Body
		return reply, nil
	}
	reply.Next = q.After
	size := 0
	for reply.Next < len(b.Results) {
		res := b.Results[reply.Next]
		size += len(res.Text) + len(res.Item) + resultFrame
		if size > maxResultBytes && len(reply.Results) > 0 {
			break
		}
		reply.Results = append(reply.Results, res)
		reply.Next++
	}
	return reply, nil
}

// OpenBatches lists the batch jobs whose items may still run. It is only
// complete at a leader that has caught up.
func (r *Replica) OpenBatches(ctx context.Context) ([]OpenBatch, error) {
	if err := r.catchUp(ctx); err != nil {
		return nil, err
	}
	return ask(ctx, r, func() []OpenBatch {
		var out []OpenBatch
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
			out = append(out, OpenBatch{Batch: b, Listed: listed, Partial: partial})
		}
		return out
	})
}

// BatchesChanged is closed when a batch job was accepted or ended.
func (r *Replica) BatchesChanged() <-chan struct{} {
	r.batchWaitsMu.Lock()
	defer r.batchWaitsMu.Unlock()
	return r.openBatches
}

func (r *Replica) batchChange(id string) <-chan struct{} {
	r.batchWaitsMu.Lock()
	defer r.batchWaitsMu.Unlock()
	c := r.batchWaits[id]
	if c == nil {
		c = make(chan struct{})
		r.batchWaits[id] = c
	}
	return c
}

// batchApplied wakes those who wait for a batch job that c has changed.
func (r *Replica) batchApplied(c state.Command) {
	r.batchWaitsMu.Lock()
	defer r.batchWaitsMu.Unlock()
	switch {
	case c.BatchAccept != nil:
		r.wakeBatch(c.BatchAccept.Batch.ID)
		r.wakeOpenBatches()
	case c.BatchEnd != nil:
		r.wakeBatch(c.BatchEnd.ID)
		r.wakeOpenBatches()
	case c.BatchRecord != nil:
		for i := range c.BatchRecord.Results {
			r.wakeBatch(c.BatchRecord.Results[i].Batch)
		}
	}
}

func (r *Replica) wakeBatch(id string) {
	if c := r.batchWaits[id]; c != nil {
		close(c)
		delete(r.batchWaits, id)
	}
}

func (r *Replica) wakeOpenBatches() {
	close(r.openBatches)
	r.openBatches = make(chan struct{})
}

// wakeAllBatches follows the installation of a snapshot.
func (r *Replica) wakeAllBatches() {
	r.batchWaitsMu.Lock()
	defer r.batchWaitsMu.Unlock()
	for id := range r.batchWaits {
		r.wakeBatch(id)
	}
	r.wakeOpenBatches()
}
