package workload

import (
	"math"
	"time"
)

const (
	// speedShrink is the number of completed requests at which the learned slowness of an
	// upstream counts half, on a logarithmic scale.
	speedShrink = 4
	// speedRequests is the number of requests that it is averaged over.
	speedRequests = 40
	// maxSpeedRatio bounds what one request says of an upstream.
	maxSpeedRatio = 8
	// leftMaxAge is the age after which the work left of running requests is computed anew.
	// Between, the sum is kept, so that a choice takes constant time for each candidate.
	leftMaxAge = 5 * time.Millisecond
	// upstreamMaxAge is the time after which an upstream without a report or a request is
	// forgotten.
	upstreamMaxAge = 5 * time.Minute
	// pruneInterval is the time between two searches for such upstreams.
	pruneInterval = time.Minute
)

// Table holds what is known of the upstreams: their reported loads, the work of this daemon's
// requests there, and their speeds. A new incarnation begins from nothing.
type Table struct {
	byID     map[string]*Host
	prunedAt time.Time
}

// Host is what is known of one incarnation of an upstream.
type Host struct {
	incarnation int64
	usedAt      time.Time
	load        Load
	usual       average // of the logarithm of the reported slowness
	speed       average // of the logarithm of the time of completed requests relative to the expected one
	tasks       []*Task
	left        float64 // sum of the work left of tasks, as of leftAt
	leftAt      time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{byID: map[string]*Host{}} }

// Get returns the host of an incarnation, or nil if nothing is known of it.
func (t *Table) Get(id string, incarnation int64) *Host {
	if h := t.byID[id]; h != nil && h.incarnation == incarnation {
		return h
	}
	return nil
}

// use returns the host of an incarnation, or nil if a newer one is known.
func (t *Table) use(now time.Time, id string, incarnation int64) *Host {
	h := t.byID[id]
	if h != nil && h.incarnation > incarnation {
		return nil
	}
	if h == nil || h.incarnation < incarnation {
		t.prune(now)
		h = &Host{incarnation: incarnation}
		t.byID[id] = h
	}
	h.usedAt = now
	return h
}

// prune forgets upstreams that have not been used for long.
func (t *Table) prune(now time.Time) {
	if now.Sub(t.prunedAt) < pruneInterval {
		return
	}
	t.prunedAt = now
	for id, h := range t.byID {
		if now.Sub(h.usedAt) > upstreamMaxAge {
			delete(t.byID, id)
		}
	}
}

// Report records a load that an incarnation reports. The requests of this daemon, among them
// the one that is being answered, count as included in it.
func (t *Table) Report(now time.Time, id string, incarnation int64, r Report) {
	h := t.use(now, id, incarnation)
	if h == nil {
		return
	}
	h.load = Load{Others: float64(max(0, r.Running+r.Waiting-len(h.tasks))), Slots: r.Slots, Slowness: r.Slowness, At: now}
	if r.Slowness > 0 {
		h.usual.add(math.Log(r.Slowness), 1, baselineReports)
	}
}

// ReportsSlowness reports whether the newest load states how slow the upstream is.
func (h *Host) ReportsSlowness() bool { return h != nil && h.load.Slowness > 0 }

// Load returns the newest load.
func (h *Host) Load() Load { return h.load }

// Momentary returns how much slower than usual the upstream is for the moment.
func (h *Host) Momentary(now time.Time) float64 { return h.load.momentary(now, h.usual) }

// LogSlowness returns the logarithm of the lasting slowness.
func (h *Host) LogSlowness() float64 { return h.speed.shrunk(speedShrink) }

// Outstanding returns the expected work left of this daemon's requests.
func (h *Host) Outstanding(now time.Time) float64 {
	if now.Sub(h.leftAt) >= leftMaxAge {
		h.left, h.leftAt = 0, now
		for _, x := range h.tasks {
			x.left = x.expected.Left(x.done(now))
			h.left += x.left
		}
	}
	return max(0, h.left)
}

// Task is a request that this daemon has sent to an upstream.
type Task struct {
	Key      Key
	Began    time.Time
	Wait     float64 // expected seconds until the work begins
	Slowness float64 // expected seconds for each second of work
	// Momentary is the part of Slowness that does not last.
	Momentary float64

	expected Estimate
	left     float64
	host     *Host
	index    int // in host.tasks
}

// Expected returns the expected time of the request in seconds.
func (x *Task) Expected() float64 { return x.Wait + x.expected.mean*x.Slowness }

// done returns the work that is expected to be done.
func (x *Task) done(now time.Time) float64 {
	return (now.Sub(x.Began).Seconds() - x.Wait) / x.Slowness
}

// Begin counts a request as outstanding at an incarnation until End is called.
func (t *Table) Begin(id string, incarnation int64, expected Estimate, x Task) *Task {
	x.expected, x.left = expected, expected.mean
	if h := t.use(x.Began, id, incarnation); h != nil {
		x.host, x.index = h, len(h.tasks)
		h.tasks = append(h.tasks, &x)
		h.left += x.left
	}
	return &x
}

// End ends a request. It must be called once.
func (x *Task) End() {
	h := x.host
	if h == nil {
		return
	}
	last := len(h.tasks) - 1
	h.tasks[x.index] = h.tasks[last]
	h.tasks[x.index].index = x.index
	h.tasks[last] = nil
	h.tasks = h.tasks[:last]
	h.left -= x.left
}

// Complete learns from a request that was completed in the given time. The wait for a slot is
// not known: it is taken to be the expected share, and the more of it was expected, the less
// the request says.
func (x *Task) Complete(now time.Time, e *Estimator, took time.Duration) {
	share := x.expected.mean * x.Slowness / x.Expected()
	ran := max(took.Seconds(), minWork) * share
	if x.host != nil {
		ratio := math.Log(ran/x.Momentary) - x.expected.mu
		bound := math.Log(maxSpeedRatio)
		x.host.speed.add(min(max(ratio, -bound), bound), share*x.expected.known, speedRequests)
	}
	e.Observe(now, x.Key, ran/x.Slowness, share)
}

// TimeOut learns from a request that had no answer after the given time: a lower bound of its
// work. If the upstream has answered nothing since, it may have failed, which says nothing of
// the work.
func (x *Task) TimeOut(e *Estimator, took time.Duration) {
	if x.host != nil && x.host.load.At.After(x.Began) {
		e.ObserveAtLeast(x.Key, (took.Seconds()-x.Wait)/x.Slowness)
	}
}
