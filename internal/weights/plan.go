package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Swap orders one upstream to load a version.
type Swap struct {
	Upstream upstream.Announcement
	Version  uint64
	Source   string // address of the upstream to load from; empty: the weight store
}

// Limits bound the waves of one service.
type Limits struct {
	StoreStreams    int     // loads from the store at once; more only make each slower
	Fanout          int     // loads from one upstream at once
	MinServingShare float64 // share of upstreams that must not be loading
	MaxAttempts     int     // orders of one version to one upstream
	Backoff         time.Duration
	MinTimeout      time.Duration // after which a load that does not show has failed
}

// Bounds that follow from the limits.
const (
	// timeoutFactor times the usual duration of a load is its timeout.
	timeoutFactor = 4
	maxBackoff    = 30 * time.Second
	// learnShare is the weight of the newest duration in the usual one.
	learnShare = 0.2
)

// load is a swap under way.
type load struct {
	incarnation int64
	version     uint64
	source      string
	since       time.Time
	until       time.Time
}

// failure counts the failed loads of one version at one upstream.
type failure struct {
	version uint64
	count   int
	source  string // of the last one
	until   time.Time
}

// Planner decides which upstreams of one service load a new version when, and
// from where. Upstreams that hold the version pass it on, so that the store's
// rate does not bound the time by the number of upstreams. It is a plain state
// machine.
type Planner struct {
	limits   Limits
	loads    map[string]load    // by upstream
	failures map[string]failure // by upstream
	usual    time.Duration      // of a load
}

// NewPlanner returns a planner that has ordered nothing.
func NewPlanner(l Limits) *Planner {
	return &Planner{limits: l, loads: map[string]load{}, failures: map[string]failure{}}
}

// SetStreams changes how many loads from the store may run at once.
func (p *Planner) SetStreams(n int) { p.limits.StoreStreams = n }

// Loads counts the loads under way.
func (p *Planner) Loads() int { return len(p.loads) }

// Busy reports whether an upstream loads a version that this planner ordered.
func (p *Planner) IsLoading(id string) bool {
	_, ok := p.loads[id]
	return ok
}

// Plan returns the swaps to order now, so that every upstream comes to run want.
func (p *Planner) Plan(now time.Time, live []upstream.Announcement, want uint64) []Swap {
	p.Observe(now, live)
	r := newRoom(live, p.loads, p.limits.MinServingShare)
	return p.plan(now, live, want, func(u upstream.Announcement) bool { return r.left(u.Zone) }, func(u upstream.Announcement) { r.take(u.Zone) })
}

// PlanUrgent is Plan for the upstreams whose version is older than need. New work
// cannot use them, so that any number of them may load at once.
func (p *Planner) PlanUrgent(now time.Time, live []upstream.Announcement, want, need uint64) []Swap {
	p.Observe(now, live)
	return p.plan(now, live, want, func(u upstream.Announcement) bool { return u.Version < need }, func(upstream.Announcement) {})
}

// plan orders the candidates that may load, and reports each to ordered.
func (p *Planner) plan(now time.Time, live []upstream.Announcement, want uint64, may func(upstream.Announcement) bool, ordered func(upstream.Announcement)) []Swap {
	s := p.sources(live, want)
	var out []Swap
	for _, u := range p.candidates(now, live, want) {
		if !may(u) {
			continue
		}
		source, ok := s.pick(u.Zone, p.failures[u.ID].source)
		if !ok {
			continue
		}
		ordered(u)
		p.begin(now, u, want, source)
		out = append(out, Swap{Upstream: u, Version: want, Source: source})
	}
	return out
}

func (p *Planner) begin(now time.Time, u upstream.Announcement, version uint64, source string) {
	timeout := max(p.limits.MinTimeout, timeoutFactor*p.usual)
	p.loads[u.ID] = load{u.Incarnation, version, source, now, now.Add(timeout)}
}

// Observe ends the loads that the announcements show as done, that have run out
// of time, or whose upstream is gone. Loads ordered by an earlier leader are
// taken over.
func (p *Planner) Observe(now time.Time, live []upstream.Announcement) {
	seen := map[string]upstream.Announcement{}
	for _, u := range live {
		seen[u.ID] = u
		if _, ok := p.loads[u.ID]; !ok && u.Loading > u.Version {
			p.begin(now, u, u.Loading, u.LoadingFrom)
		}
	}
	for id, l := range p.loads {
		u, ok := seen[id]
		switch {
		case !ok || u.Incarnation != l.incarnation:
			delete(p.loads, id)
		case u.Version >= l.version:
			p.learn(now.Sub(l.since))
			delete(p.loads, id)
			delete(p.failures, id)
		case now.After(l.until):
			p.RecordFailure(now, id)
		}
	}
}

// Failed records that an upstream refused its order or did not load in time.
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
	f.until = now.Add(pause)
	p.failures[id] = f
}

func (p *Planner) learn(d time.Duration) {
	if p.usual == 0 {
		p.usual = d
		return
	}
	p.usual += time.Duration(learnShare * float64(d-p.usual))
}

// candidates lists the upstreams that may be ordered now, the oldest first.
func (p *Planner) candidates(now time.Time, live []upstream.Announcement, want uint64) []upstream.Announcement {
	var out []upstream.Announcement
	for _, u := range live {
		_, busy := p.loads[u.ID]
		f := p.failures[u.ID]
		blocked := f.version == want && (now.Before(f.until) || f.count >= p.limits.MaxAttempts)
		if u.Version < want && !busy && !blocked {
			out = append(out, u)
		}
	}
	slices.SortStableFunc(out, func(a, b upstream.Announcement) int { return cmp.Compare(a.Version, b.Version) })
	return out
}
