package duty

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/weights"
)

// Bounds of loading weights.
const (
	// engineShare is the part of a service's engines that load at once: the
	// store slows down beyond about a fifth of them.
	engineShare = 0.2
	minStreams  = 2
	// spareShare is the part of the streams for engines whose version is still of
	// use: the rest is free when another model's next version comes.
	spareShare = 2
)

var loadLimits = weights.Limits{
	StoreStreams:    minStreams,
	MinServingShare: 0.67,
	MaxAttempts:     1000,
	Backoff:         200 * time.Millisecond,
	MinTimeout:      maxLoad + 2*time.Second,
}

// Published is what the weights duty follows.
type Published interface {
	// ModelVersions returns the newest published version by model.
	ModelVersions() map[string]uint64
	// Services returns the services whose engines hold a model, and whether runs
	// may go on under another version there.
	Services(model string) map[string]bool
	// Demand returns the recent work by model, in tokens.
	Demand() map[string]float64
	// Needed returns by model the oldest version that the next work may use; a model
	// without work so far is missing.
	Needed() map[string]uint64
}

// Weights brings engines to the published versions.
type Weights struct {
	term      *Term
	published Published
	upstreams func() []upstream.Announcement
	holdings  *weights.VersionTable
	engines   Engines
	log       *log.Logger

	mu       sync.Mutex
	planners map[loadPlace]*weights.Planner
	homes    map[string]weights.Assignment // by service
	ordered  map[loadPlace]time.Time       // newest load
}

// loadPlace is what one planner looks after.
type loadPlace struct{ service, model string }

// NewWeights returns the duty; Run must follow.
func NewWeights(t *Term, p Published, upstreams func() []upstream.Announcement, h *weights.VersionTable, e Engines, logger *log.Logger) *Weights {
	return &Weights{
		term: t, published: p, upstreams: upstreams, holdings: h, engines: e, log: logger, planners: map[loadPlace]*weights.Planner{},
		homes: map[string]weights.Assignment{}, ordered: map[loadPlace]time.Time{},
	}
}

// Run works until ctx ends.
func (w *Weights) Run(ctx context.Context) { each(ctx, func() { w.round(ctx) }) }

func (w *Weights) round(ctx context.Context) {
	f, changed, ok := w.term.fence(time.Now())
	if changed {
		w.mu.Lock()
		w.planners = map[loadPlace]*weights.Planner{}
		w.homes = map[string]weights.Assignment{}
		w.mu.Unlock()
	}
	if !ok {
		return
	}
	versions := w.published.ModelVersions()
	goOn := map[loadPlace]bool{}
	for model := range versions {
		for service, ok := range w.published.Services(model) {
			goOn[loadPlace{service, model}] = ok
		}
	}
	byService := map[string][]upstream.Announcement{}
	for _, u := range w.upstreams() {
		byService[u.Service] = append(byService[u.Service], u)
	}
	w.assign(goOn, versions, byService)
	// The model that waited longest comes first: all share the store.
	places := slices.SortedFunc(maps.Keys(goOn), func(a, b loadPlace) int {
		return cmp.Or(w.ordered[a].Compare(w.ordered[b]), cmp.Compare(a.model, b.model))
	})
	views := w.observe(places, byService)
	needed := w.published.Needed()
	// Engines whose version no work may use come first, of all models.
	for _, urgent := range []bool{true, false} {
		for _, at := range places {
			t := target{version: versions[at.model], need: versions[at.model], urgent: urgent}
			if n, ok := needed[at.model]; ok {
				t.need = n
			}
			for _, s := range w.plan(at, views[at], len(byService[at.service]), t) {
				w.ordered[at] = time.Now()
				go w.load(ctx, f, at, s, goOn[at])
			}
		}
	}
}

// target is what engines are to be brought to.
type target struct {
	version uint64
	need    uint64 // oldest version that is of use
	urgent  bool   // only engines with older ones
}

// assign divides the engines of each service among its models.
func (w *Weights) assign(places map[loadPlace]bool, published map[string]uint64, byService map[string][]upstream.Announcement) {
	demand := map[string]map[string]float64{}
	all := w.published.Demand()
	for at := range places {
		if demand[at.service] == nil {
			demand[at.service] = map[string]float64{}
		}
		demand[at.service][at.model] = max(all[at.model], 1)
	}
	for service, models := range demand {
		var engines []upstream.Announcement
		for _, u := range byService[service] {
			if !u.Silent && u.ReclaimAt == 0 {
				engines = append(engines, u)
			}
		}
		if w.homes[service] == nil {
			held := map[string]map[string]uint64{}
			for _, u := range engines {
				held[u.ID] = w.holdings.Versions(u)
			}
			w.homes[service] = weights.InferAssignment(held, published)
		}
		w.homes[service] = weights.Assign(w.homes[service], engines, models)
	}
}

// observe returns the engines that follow each place, and frees the streams of the
// loads that have ended: otherwise a model with running loads would always be
// the first to find a free stream.
func (w *Weights) observe(places []loadPlace, byService map[string][]upstream.Announcement) map[loadPlace][]upstream.Announcement {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	views := map[loadPlace][]upstream.Announcement{}
	for _, at := range places {
		if w.planners[at] == nil {
			w.planners[at] = weights.NewPlanner(loadLimits)
		}
		views[at] = w.followers(at, byService[at.service])
		w.planners[at].Observe(now, views[at])
	}
	return views
}

// followers returns those of a service's engines that load the new versions of a
// model, each with the version that it holds.
func (w *Weights) followers(at loadPlace, engines []upstream.Announcement) []upstream.Announcement {
	var out []upstream.Announcement
	for _, u := range engines {
		if w.homes[at.service][u.ID] != at.model {
			continue
		}
		held, ok := w.holdings.Versions(u)[at.model]
		if !ok {
			continue
		}
		u.Version = held
		out = append(out, u)
	}
	return out
}

// plan returns the loads to order now. All models of a service with so many
// engines share the streams of the store, and an engine carries out one order at a
// time.
func (w *Weights) plan(at loadPlace, followers []upstream.Announcement, engines int, t target) []weights.Swap {
	w.mu.Lock()
	defer w.mu.Unlock()
	elsewhere := 0
	var others []*weights.Planner
	for other, q := range w.planners {
		if other.service == at.service && other != at {
			elsewhere += q.Loads()
			others = append(others, q)
		}
	}
	idle := slices.DeleteFunc(slices.Clone(followers), func(u upstream.Announcement) bool {
		return slices.ContainsFunc(others, func(q *weights.Planner) bool { return q.IsLoading(u.ID) })
	})
	p := w.planners[at]
	streams := max(minStreams, int(math.Round(engineShare*float64(engines))))
	if t.urgent {
		p.SetStreams(streams - elsewhere)
		return p.PlanUrgent(time.Now(), idle, t.version, t.need)
	}
	p.SetStreams(max(1, streams/spareShare) - elsewhere)
	return p.Plan(time.Now(), idle, t.version)
}
