package batch

import (
	"slices"
	"time"
)

// Bounds of the output that a carrier retains for the next leader.
const (
	// retainedFor is how long the output of a run is retained after its end. Permits of a leader that
	// is cut off run out after 1.2 s, and another one is elected within about as long.
	retainedFor = 5 * time.Second
	// maxRetainedBytes is several times the output of five seconds on the carrier of a few engines,
	// which is some 100 kB.
	maxRetainedBytes = 4 << 20
	// retainedShare is the part of the memory budget of the process that retained output may take, as
	// a divisor.
	retainedShare = 16
	// retainedRunBytes is the memory of a run without its events and names.
	retainedRunBytes = 512
)

// RetainedLimit returns the bytes of output that a carrier may retain in a process with the given
// memory budget.
func RetainedLimit(budget int64) int { return int(min(maxRetainedBytes, budget/retainedShare)) }

// retention decides which output a carrier retains. It is a state machine without I/O; times are
// readings of the carrier's boot clock.
type retention struct {
	limit   int
	bytes   int
	runs    map[string]*retainedRun
	ended   []string // runs that have ended, in the order of their ends
	evicted int      // runs whose output was dropped for lack of room
}

type retainedRun struct {
	output  RetainedOutput
	bytes   int
	ended   bool
	endedAt time.Duration
}

func newRetention(limit int) *retention {
	return &retention{limit: limit, runs: map[string]*retainedRun{}}
}

// begin starts to retain the output of a run. o has no events yet.
func (r *retention) begin(run string, o RetainedOutput) {
	x := &retainedRun{output: o, bytes: retainedRunBytes + len(run) + o.nameBytes()}
	if r.fit(x.bytes) {
		r.runs[run] = x
		r.bytes += x.bytes
	}
}

// append adds an event of a run. A run for which there is no room is not retained any more.
func (r *retention) append(run string, e Event) {
	x := r.runs[run]
	if x == nil {
		return
	}
	n := eventOverheadBytes + len(e.Data)
	if !r.fit(n) {
		r.evicted++
		r.drop(run)
		return
	}
	x.output.Events = append(x.output.Events, e)
	x.bytes += n
	r.bytes += n
}

// end records that a run has ended. One without any output is not retained.
func (r *retention) end(now time.Duration, run string, complete bool) {
	x := r.runs[run]
	if x == nil {
		return
	}
	if len(x.output.Events) == 0 && !complete {
		r.drop(run)
		return
	}
	x.output.Complete, x.ended, x.endedAt = complete, true, now
	r.ended = append(r.ended, run)
}

// drop discards the output of a run that has not ended.
func (r *retention) drop(run string) {
	if x := r.runs[run]; x != nil {
		r.bytes -= x.bytes
		delete(r.runs, run)
	}
}

// expire discards the output of runs that ended retainedFor ago.
func (r *retention) expire(now time.Duration) {
	for len(r.ended) > 0 && now-r.runs[r.ended[0]].endedAt >= retainedFor {
		r.dropOldest()
	}
}

// fit evicts the oldest ended runs until there is room for n bytes. It returns false if there is none.
func (r *retention) fit(n int) bool {
	for r.bytes+n > r.limit && len(r.ended) > 0 {
		r.evicted++
		r.dropOldest()
	}
	return r.bytes+n <= r.limit
}

func (r *retention) dropOldest() {
	r.drop(r.ended[0])
	r.ended = r.ended[1:]
}

// outputs returns the output of the runs of the given batch jobs, at most maxBytes of it. The output of
// runs in flight comes first, then that of the runs that ended last.
func (r *retention) outputs(jobs []string, maxBytes int) []RetainedOutput {
	var order []string
	for run, x := range r.runs {
		if !x.ended {
			order = append(order, run)
		}
	}
	for _, run := range slices.Backward(r.ended) {
		order = append(order, run)
	}
	var out []RetainedOutput
	for _, run := range order {
		x := r.runs[run]
		if x.bytes > maxBytes || !slices.Contains(jobs, x.output.Job) || len(x.output.Events) == 0 && !x.output.Complete {
			continue
		}
		maxBytes -= x.bytes
		o := x.output
		o.Events = o.Events[:len(o.Events):len(o.Events)]
		out = append(out, o)
	}
	return out
}
