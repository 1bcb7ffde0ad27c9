package chooser

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/picker"
	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/workload"
)

// noLoadWeight is the weight of the assumption that other daemons have sent no requests, relative
// to a new load of one upstream. With a mean over loads of 2 s alone, choices were worse than
// with none.
const noLoadWeight = 0.1

// invalidLogInterval is the time between two log lines about loads that cannot be used.
const invalidLogInterval = time.Second

var (
	loadsInvalid  = metrics.NewCounter("apricotstream_upstream_load_invalid_total")
	estimateRatio = metrics.NewHistogram("apricotstream_work_actual_to_expected_ratio")
	loadAge       = metrics.NewHistogram("apricotstream_work_load_age_seconds")
	choicesByWork = metrics.NewCounter("apricotstream_work_choices_total")
)

// Workloads tracks the work of a daemon's requests for the services whose upstreams state how
// slow they are. It may be used by many goroutines.
type Workloads struct {
	log *log.Logger

	mu        sync.Mutex
	estimator *workload.Estimator
	table     *workload.Table
	invalidAt time.Time // last log line about a load that cannot be used
}

// NewWorkloads returns a Workloads that knows nothing.
func NewWorkloads(logger *log.Logger) *Workloads {
	return &Workloads{log: logger, estimator: workload.NewEstimator(), table: workload.NewTable()}
}

// Reported implements workload.Tracker.
func (w *Workloads) Reported(r workload.Report) { w.report(time.Now(), r) }

func (w *Workloads) report(now time.Time, r workload.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Report(now, r.Upstream.ID, r.Upstream.Incarnation, r)
}

// AnyStates reports whether an upstream of a list has stated how slow it is.
func (w *Workloads) AnyStates(list []upstream.Announcement) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(list, func(a upstream.Announcement) bool {
		return w.table.Get(a.ID, a.Incarnation).ReportsSlowness()
	})
}

// Invalid implements workload.Tracker.
func (w *Workloads) Invalid(u upstream.Announcement, request string, err error) {
	loadsInvalid.Inc()
	now := time.Now()
	w.mu.Lock()
	due := now.Sub(w.invalidAt) >= invalidLogInterval
	if due {
		w.invalidAt = now
	}
	w.mu.Unlock()
	if due {
		w.log.Warn("Upstream states an invalid load, which is ignored.", "upstream", u.ID, "service", u.Service, "incarnation", u.Incarnation,
			"answered", request, "err", err.Error())
	}
}

// keyOf returns the key of the work that q needs.
func keyOf(q *picker.Request) workload.Key {
	return workload.Key{Service: q.Service, Route: q.Route, Account: q.Account, Size: workload.SizeClass(q.BodyBytes)}
}

// weigh returns the expected work of q and the workloads of the candidates, or nil if none of
// them states how slow it is. If most of them do, it sets both in q and the candidates. If fewer
// do, which is so for some seconds after a start, the work of requests is only learned.
func (w *Workloads) weigh(now time.Time, q *picker.Request, cs []picker.Candidate) (workload.Estimate, []picker.Workload) {
	w.mu.Lock()
	defer w.mu.Unlock()
	stating := 0
	for _, c := range cs {
		if w.table.Get(c.Upstream.ID, c.Upstream.Incarnation).ReportsSlowness() {
			stating++
		}
	}
	if stating == 0 {
		return workload.Estimate{}, nil
	}
	expected, typical := w.estimator.Expect(keyOf(q)), w.estimator.ExpectOfService(q.Service).Mean()
	all := make([]picker.Workload, len(cs))
	others, weights, logSlowness := 0.0, 0.0, 0.0
	for i := range cs {
		x := &all[i]
		*x = picker.Workload{Slots: cs[i].Upstream.Concurrency, Slowness: 1, Momentary: 1, Typical: typical}
		h := w.table.Get(cs[i].Upstream.ID, cs[i].Upstream.Incarnation)
		if h == nil {
			continue
		}
		load := h.Load()
		if load.Slots > 0 {
			x.Slots = load.Slots
		}
		x.Outstanding, x.Slowness, x.Momentary = h.Outstanding(now), h.LogSlowness(), h.Momentary(now)
		logSlowness += x.Slowness
		x.Slowness = math.Exp(x.Slowness)
		weight := load.Weight(now)
		others += weight * load.Others
		weights += weight
	}
	// The slowness is relative to the mean of the upstreams: the work of requests is learned
	// from times at all of them, so a common factor is part of it. What is not known of the
	// requests of other daemons, or no longer, is taken to be the mean of the upstreams, and
	// nothing once all loads are old. If it were nothing at once, all daemons would choose the
	// upstreams that they have not heard of.
	common, mean := math.Exp(logSlowness/float64(len(cs))), 0.0
	if weights > 0 {
		mean = others / (weights + noLoadWeight)
	}
	for i := range cs {
		all[i].Slowness /= common
		known, weight := mean, 0.0
		if h := w.table.Get(cs[i].Upstream.ID, cs[i].Upstream.Incarnation); h != nil {
			load := h.Load()
			known, weight = load.Others, load.Weight(now)
		}
		all[i].Outstanding += (mean + weight*(known-mean)) * typical
	}
	if 2*stating > len(cs) {
		q.Work = expected.Mean()
		for i := range cs {
			cs[i].Workload = &all[i]
		}
	}
	return expected, all
}

// begin counts a request as outstanding at the chosen candidate, whose workload is x.
func (w *Workloads) begin(now time.Time, q *picker.Request, expected workload.Estimate, c picker.Candidate, x picker.Workload) *Work {
	_, wait := x.Completion(expected.Mean())
	w.mu.Lock()
	defer w.mu.Unlock()
	age := time.Duration(-1)
	if h := w.table.Get(c.Upstream.ID, c.Upstream.Incarnation); h != nil {
		age = h.Load().Age(now)
	}
	task := w.table.Begin(c.Upstream.ID, c.Upstream.Incarnation, expected, workload.Task{
		Key: keyOf(q), Began: now, Wait: wait, Slowness: x.Slowness * x.Momentary, Momentary: x.Momentary,
	})
	return &Work{workloads: w, task: task, loadAge: age, chosenBy: c.Workload != nil}
}

// Outcome says what the end of a request shows of its work.
type Outcome int

// Outcomes of requests.
const (
	Unknown   Outcome = iota // it failed or was cancelled
	Completed                // it has needed the time that it took
	TimedOut                 // it would have needed more time
)

// Work is the work of a request at the upstream that was chosen for it. All methods may be
// called on nil, which is the work of a request to a service whose upstreams do not state how
// slow they are.
type Work struct {
	workloads *Workloads
	task      *workload.Task
	loadAge   time.Duration
	chosenBy  bool // whether the upstream was chosen by work
	once      sync.Once
}

// End ends the work. Only the first call has an effect.
func (k *Work) End(o Outcome) {
	if k != nil {
		k.once.Do(func() { k.end(time.Now(), o) })
	}
}

func (k *Work) end(now time.Time, o Outcome) {
	took := now.Sub(k.task.Began)
	w := k.workloads
	w.mu.Lock()
	k.task.End()
	switch o {
	case Completed:
		k.task.Complete(now, w.estimator, took)
	case TimedOut:
		k.task.TimeOut(w.estimator, took)
	}
	w.mu.Unlock()
	if o == Completed {
		estimateRatio.Update(took.Seconds() / k.task.Expected())
	}
}

// recordChoice counts a choice by work that is used.
func (k *Work) recordChoice() {
	if k == nil || !k.chosenBy {
		return
	}
	choicesByWork.Inc()
	if k.loadAge >= 0 {
		loadAge.Update(k.loadAge.Seconds())
	}
}

// LogFields returns the expected time of the request and the age of the load that was used, -1
// if there was none, as fields of a log line.
func (k *Work) LogFields() []any {
	if k == nil {
		return nil
	}
	return []any{"expected_ms", int64(k.task.Expected() * 1000), "load_age_ms", k.loadAge.Milliseconds()}
}
