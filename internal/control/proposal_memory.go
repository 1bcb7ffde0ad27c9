package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/membudget"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

const (
	// proposalMemoryFactor is the memory that a batch job takes at a replica until it is committed, as
	// a multiple of its encoded command, beside the frame in which it arrived: the decoded items, the log entry,
	// its form on the disk and in the messages to followers, and the items decoded again to apply it.
	proposalMemoryFactor = 5
	// proposalShare is the part of the budget, as a divisor, that several jobs may use together.
	proposalShare = 2
	// proposalRetryAfter is the delay that a caller is told whose job does not fit now. It is about
	// the time in which a large job is committed.
	proposalRetryAfter = 500 * time.Millisecond
	// proposalLogInterval and proposalLogBurst bound the log lines about rejected jobs.
	proposalLogInterval = time.Second
	proposalLogBurst    = 5
)

// Reasons for which a job is rejected, the values of the label of the counter.
const (
	reasonFull     = "full"      // the memory is in use
	reasonTooLarge = "too_large" // it never fits
	reasonRetained = "retained"  // the jobs that must be retained leave no room
)

// jobKey identifies a batch job.
type jobKey struct {
	ID      string `json:"id"`
	Account string `json:"account"`
}

// proposalMemory bounds the memory of the batch jobs of other daemons that wait for their commit.
type proposalMemory struct {
	budget   *membudget.Budget // nil: no bound
	logLimit *rate.Limiter
	kept     int64 // taken from the budget for the log and the state; used by the loop only

	mu      sync.Mutex
	waiting map[jobKey]int // number of holds by job
	held    int64
}

func newProposalMemory() *proposalMemory {
	return &proposalMemory{logLimit: rate.NewLimiter(rate.Every(proposalLogInterval), proposalLogBurst), waiting: map[jobKey]int{}}
}

// holdKept makes the log entries in memory and the state, which have n bytes, count as memory in use, up
// to a part of the budget: much of them must not keep everything else out.
func (m *proposalMemory) holdKept(n int64) {
	if m.budget == nil {
		return
	}
	n = min(n, m.budget.Limit()/keptShare)
	m.budget.Return(m.kept - n)
	m.kept = n
}

// keptBytes returns the size of the log entries in memory and of the state in the newest snapshot.
func (r *Replica) keptBytes(st *consensus.Status) int64 {
	if r.suspended.Load() {
		return 0
	}
	_, size := r.disk.Snapshot()
	return int64(size + r.node.DataBytes(r.node.FirstIndex(), st.LastIndex+1))
}

// neverFits reports whether a job whose encoded command has size bytes, and its frame, do not fit
// beside the log and the state.
func (m *proposalMemory) neverFits(size int) bool {
	limit := m.budget.Limit()
	return (proposalMemoryFactor+1)*int64(size) > limit-limit/keptShare
}

// jobHold is the memory of one batch job. A nil jobHold holds none.
type jobHold struct {
	memory *proposalMemory
	job    jobKey
	bytes  int64
}

// hold takes the memory for a job whose encoded command has size bytes. It returns nil, and whether
// the same job waits for its commit already, if the memory is not free. A single job may use all of
// the budget. Several ones leave a part to other buffers.
func (m *proposalMemory) hold(job jobKey, size int) (h *jobHold, waiting bool) {
	need := proposalMemoryFactor * int64(size)
	m.mu.Lock()
	defer m.mu.Unlock()
	crowded := len(m.waiting) > 0 && m.held+need > m.budget.Limit()/proposalShare
	if crowded || !m.budget.Take(need) {
		return nil, m.waiting[job] > 0
	}
	m.held += need
	m.waiting[job]++
	return &jobHold{memory: m, job: job, bytes: need}, false
}

// waits reports whether memory is held for a job.
func (m *proposalMemory) waits(job jobKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waiting[job] > 0
}

// release gives the memory back. It must be called once.
func (h *jobHold) release() {
	if h == nil {
		return
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Return(h.bytes)
	m.held -= h.bytes
	if m.waiting[h.job]--; m.waiting[h.job] == 0 {
		delete(m.waiting, h.job)
	}
}

// LimitProposals makes the batch jobs that other daemons hand in share budget with the other buffers
// of the process. It must be called before Register. Without it there is no bound.
func (r *Replica) LimitProposals(budget *membudget.Budget) { r.proposalMemory.budget = budget }

// batchAcceptKey is the field of the parameters that a batch job is in.
var batchAcceptKey = []byte(`"batch_accept"`)

// jobOf returns the batch job in the parameters of MethodPropose, and the cluster that they are for,
// without decoding its items.
func jobOf(raw json.RawMessage) (job jobKey, cluster string, ok bool) {
	if !bytes.Contains(raw, batchAcceptKey) {
		return jobKey{}, "", false
	}
	var q struct {
		Cluster string `json:"cluster"`
		Command struct {
			Accept *struct {
				Batch jobKey `json:"batch"`
			} `json:"batch_accept"`
		} `json:"command"`
	}
	if json.Unmarshal(raw, &q) != nil || q.Command.Accept == nil {
		return jobKey{}, "", false // decoding all of it fails in the same way
	}
	return q.Command.Accept.Batch, q.Cluster, true
}

// receiveProposal commits the command of another daemon. The memory for a batch job is taken before
// the job is decoded, and held until it is committed.
func (r *Replica) receiveProposal(ctx context.Context, raw json.RawMessage) (state.Outcome, error) {
	var hold *jobHold
	if job, cluster, ok := jobOf(raw); ok {
		err := r.checkCluster(cluster)
		if err != nil {
			return state.Outcome{}, err
		}
		var accepted bool
		if hold, accepted, err = r.holdJob(ctx, job, len(raw)); err != nil || accepted {
			return state.Outcome{}, err
		}
	}
	var q ProposeRequest
	if err := json.Unmarshal(raw, &q); err != nil {
		hold.release()
		return state.Outcome{}, result.New(result.BodyMalformed, "%s: %v", MethodPropose, err)
	}
	return r.propose(ctx, q, hold)
}

// holdJob takes the memory for a batch job. If it is not free, accepted reports that the job needs
// none, because it has been accepted before. Errors: BodyTooLarge if the job never fits; NotLeader if
// it does not fit now and another replica leads, which the daemon asks next; at the leader Overloaded,
// or CommitUnknown if an earlier submission of the same job may still be committed, because "not
// run" would not be true. Daemons of older builds do not compare such an answer with the outcome of
// their earlier calls.
func (r *Replica) holdJob(ctx context.Context, job jobKey, size int) (hold *jobHold, accepted bool, err error) {
	m := r.proposalMemory
	if m.neverFits(size) {
		r.jobRejected(job, size, reasonTooLarge)
		return nil, false, result.New(result.BodyTooLarge, "the batch job has %d bytes, more than a replica can keep", size)
	}
	if full, err := r.retainedFull(ctx, size); err != nil {
		return nil, false, err
	} else if full {
		accepted, err = r.rejectJob(ctx, job, size, m.waits(job), reasonRetained)
		return nil, accepted, err
	}
	hold, waiting := m.hold(job, size)
	if hold != nil {
		return hold, false, nil
	}
	accepted, err = r.rejectJob(ctx, job, size, waiting, reasonFull)
	return nil, accepted, err
}

// rejectJob returns the error for a job that does not fit now, or that it has been accepted before. waiting
// reports whether this replica holds memory for the same job.
func (r *Replica) rejectJob(ctx context.Context, job jobKey, size int, waiting bool, reason string) (accepted bool, err error) {
	if r.Status().Role != consensus.Leader {
		r.jobRejected(job, size, reason)
		return false, result.NewRetryAfter(result.NotLeader, proposalRetryAfter, "the memory for batch jobs is in use, and this replica does not lead")
	}
	if accepted, err = r.hasAccepted(ctx, job); accepted {
		return true, nil
	}
	r.jobRejected(job, size, reason)
	if waiting || err != nil {
		return false, result.NewRetryAfter(result.CommitUnknown, proposalRetryAfter, "an earlier submission of the batch job may still be committed")
	}
	return false, result.NewRetryAfter(result.Overloaded, proposalRetryAfter, "the memory for batch jobs is in use: a job of %d bytes does not fit now", size)
}

// refuseProposal answers a command of another daemon that was not kept, because the memory for frames
// is in use. head is the beginning of its parameters, in which a batch job is found by its ID, and size that
// of its frame. Any other command gets NotLeader, after which a daemon of any build asks again.
func (r *Replica) refuseProposal(ctx context.Context, head []byte, size int64) (state.Outcome, error) {
	m := r.proposalMemory
	job, cluster, ok := jobInHead(head)
	if err := r.checkCluster(cluster); err != nil {
		return state.Outcome{}, err
	}
	if !ok {
		metrics.GetOrCreateCounter(`apricotstream_large_commands_refused_total`).Inc()
		if m.logLimit.Allow() {
			r.log.Warn("Large command refused to protect the process.", "bytes", size, "buffered", m.budget.Used(), "limit", m.budget.Limit())
		}
		return state.Outcome{}, result.NewRetryAfter(result.NotLeader, proposalRetryAfter, "the memory for commands is in use")
	}
	_, err := r.rejectJob(ctx, job, int(size), m.waits(job), reasonFull)
	return state.Outcome{}, err
}

// jobInHead is jobOf for the beginning of the parameters, as daemons write them.
func jobInHead(head []byte) (job jobKey, cluster string, ok bool) {
	d := json.NewDecoder(bytes.NewReader(head))
	var path []string // names of the objects that are open
	for name := ""; ; {
		t, err := d.Token()
		if err != nil {
			return job, cluster, false
		}
		if t == json.Delim('{') {
			path, name = append(path, name), ""
			continue
		}
		if _, isDelim := t.(json.Delim); isDelim {
			if job.ID != "" {
				return job, cluster, true // what follows is not needed
			}
			if len(path) == 0 {
				return job, cluster, false
			}
			path, name = path[:len(path)-1], ""
			continue
		}
		text, _ := t.(string)
		if name == "" {
			name = text
			continue
		}
		switch strings.Join(append(path, name), ".") {
		case ".cluster":
			cluster = text
		case ".command.batch_accept.batch.id":
			job.ID = text
		case ".command.batch_accept.batch.account":
			job.Account = text
			return job, cluster, job.ID != ""
		}
		name = ""
	}
}

// hasAccepted reports whether a batch job was committed before the call.
func (r *Replica) hasAccepted(ctx context.Context, job jobKey) (bool, error) {
	if err := r.catchUp(ctx); err != nil {
		return false, err
	}
	return callInLoop(ctx, r, func() bool {
		b := r.state.Ledger.Batches[job.ID]
		return b != nil && b.Account == job.Account
	})
}

// jobRejected counts and logs that a batch job is rejected.
func (r *Replica) jobRejected(job jobKey, size int, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`apricotstream_batch_jobs_rejected_total{reason=%q}`, reason)).Inc()
	m := r.proposalMemory
	if m.logLimit.Allow() {
		r.log.Warn("Batch job rejected to protect the process.", "batch", job.ID, "account", job.Account, "reason", reason, "bytes", size, "need", proposalMemoryFactor*int64(size),
			"buffered", m.budget.Used(), "limit", m.budget.Limit(), "leads", r.Status().Role == consensus.Leader)
	}
}
