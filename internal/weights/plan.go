package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Swap tells one upstream to load a weight version.
type Swap struct {
	Upstream upstream.Announcement
	Version  uint64
	Source   string // address of the upstream to load from; empty for the weight store
}

// Limits bounds the loads of weights at the upstreams of one service.
type Limits struct {
	StoreStreams    int           // concurrent loads from the store; more would only make each slower
	Fanout          int           // concurrent loads from one upstream
	MinServingShare float64       // share of the upstreams that must not be loading
	MaxAttempts     int           // largest number of orders of one version to one upstream
	Backoff         time.Duration // delay after the first failed load; doubles up to maxBackoff
	MinTimeout      time.Duration // shortest time after which an unfinished load has failed
}

// Constants of load timeouts and backoff.
const (
	// loadTimeoutFactor is the timeout of a load as a multiple of the average duration.
	loadTimeoutFactor = 4
	maxBackoff        = 30 * time.Second
	// loadTimeWeight is the weight of the newest duration in the average.
	loadTimeWeight = 0.2
)

// load is a load of weights in progress.
type load struct {
	incarnation int64
	version     uint64
	source      string
	startedAt   time.Time
	deadline    time.Time
}

// failure counts the failed loads of one version at one upstream.
type failure struct {
	version uint64
	count   int
	source  string // source of the last failed load
	retryAt time.Time
}

// Planner decides when and from which source each upstream of one service loads a new
// version. Upstreams that hold the version serve it to others, so that the time until all
// have it does not grow in proportion to their number, as it would if all loaded it from
// the weight store. Planner is a pure state machine.
type Planner struct {
	limits          Limits
	loads           map[string]load    // by upstream
	failures        map[string]failure // by upstream
	averageLoadTime time.Duration      // moving average; 0 before the first load has ended
}

// NewPlanner returns a Planner without loads in progress.
func NewPlanner(l Limits) *Planner {
	return &Planner{limits: l, loads: map[string]load{}, failures: map[string]failure{}}
}

// SetStreams sets how many loads from the store may run at once.
func (p *Planner) SetStreams(n int) { p.limits.StoreStreams = n }

// Loads returns the number of loads in progress.
func (p *Planner) Loads() int { return len(p.loads) }

// IsLoading reports whether an upstream loads a version that this planner ordered.
func (p *Planner) IsLoading(id string) bool {
	_, ok := p.loads[id]
	return ok
}

// Plan returns the loads to start now, so that in the end every upstream runs version
// want.
func (p *Planner) Plan(now time.Time, live []upstream.Announcement, want uint64) []Swap {
	p.Observe(now, live)
	quota := newLoadQuota(live, p.loads, p.limits.MinServingShare)
	return p.plan(now, live, want, func(u upstream.Announcement) bool { return quota.available(u.Zone) }, func(u upstream.Announcement) { quota.reserve(u.Zone) })
}

// PlanUrgent is like Plan but covers only the upstreams whose version is older than need.
// New requests cannot use these, so any number of them may load at once.
func (p *Planner) PlanUrgent(now time.Time, live []upstream.Announcement, want, need uint64) []Swap {
	p.Observe(now, live)
	return p.plan(now, live, want, func(u upstream.Announcement) bool { return u.Version < need }, func(upstream.Announcement) {})
}

// plan starts loads at the candidates for which allowed returns true, and calls onStart
// for each of them.
func (p *Planner) plan(now time.Time, live []upstream.Announcement, want uint64, allowed func(upstream.Announcement) bool, onStart func(upstream.Announcement)) []Swap {
	s := p.sources(live, want)
	var out []Swap
	for _, u := range p.loadCandidates(now, live, want) {
		if !allowed(u) {
			continue
		}
		source, ok := s.pick(u.Zone, p.failures[u.ID].source)
		if !ok {
			continue
		}
		onStart(u)
		p.startLoad(now, u, want, source)
		out = append(out, Swap{Upstream: u, Version: want, Source: source})
	}
	return out
}

// startLoad records that a load begins now.
func (p *Planner) startLoad(now time.Time, u upstream.Announcement, version uint64, source string) {
	timeout := max(p.limits.MinTimeout, loadTimeoutFactor*p.averageLoadTime)
	p.loads[u.ID] = load{u.Incarnation, version, source, now, now.Add(timeout)}
}

// Observe updates the loads in progress from the announcements. A load ends when the
// upstream runs the version, when the load times out, or when the upstream is gone or has
// a new incarnation. Loads that an earlier leader ordered are added.
func (p *Planner) Observe(now time.Time, live []upstream.Announcement) {
	liveByID := map[string]upstream.Announcement{}
	for _, u := range live {
		liveByID[u.ID] = u
		if _, ok := p.loads[u.ID]; !ok && u.Loading > u.Version {
			p.startLoad(now, u, u.Loading, u.LoadingFrom)
		}
	}
	for id, l := range p.loads {
		u, ok := liveByID[id]
		switch {
		case !ok || u.Incarnation != l.incarnation:
			delete(p.loads, id)
		case u.Version >= l.version:
			p.recordLoadTime(now.Sub(l.startedAt))
			delete(p.loads, id)
			delete(p.failures, id)
		case now.After(l.deadline):
			p.RecordFailure(now, id)
		}
	}
}

// RecordFailure records that an upstream rejected its order or did not load the version
// in time.
func (p *Planner) RecordFailure(now time.Time, id string) {
	l, ok := p.loads[id]
	if !ok {
		return
	}
	delete(p.loads, id)
	f := p.failures[id]
	if f.version != l.version {
		f = failure{version: l.version}
	}
	pause := min(p.limits.Backoff<<min(f.count, 10), maxBackoff)
	f.count++
	f.source = l.source
	f.retryAt = now.Add(pause)
	p.failures[id] = f
}

// recordLoadTime adds a duration to the average duration of a load.
func (p *Planner) recordLoadTime(d time.Duration) {
	if p.averageLoadTime == 0 {
		p.averageLoadTime = d
		return
	}
	p.averageLoadTime += time.Duration(loadTimeWeight * float64(d-p.averageLoadTime))
}

// loadCandidates returns the upstreams that may start a load now, those with the oldest
// version first.
func (p *Planner) loadCandidates(now time.Time, live []upstream.Announcement, want uint64) []upstream.Announcement {
	var out []upstream.Announcement
	for _, u := range live {
		_, busy := p.loads[u.ID]
		f := p.failures[u.ID]
		blocked := f.version == want && (now.Before(f.retryAt) || f.count >= p.limits.MaxAttempts)
		if u.Version < want && !busy && !blocked {
			out = append(out, u)
		}
	}
	slices.SortStableFunc(out, func(a, b upstream.Announcement) int { return cmp.Compare(a.Version, b.Version) })
	return out
}
