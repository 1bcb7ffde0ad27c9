package duty

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/result"
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
	// orderTimeout bounds an order or a report with its answer.
	orderTimeout = time.Second
	// usualLoad is when a load may be complete for the first time.
	usualLoad = 930 * time.Millisecond
	loadPoll  = 50 * time.Millisecond
	// maxLoad is when a load is taken for failed.
	maxLoad = 6 * time.Second
)

var loadLimits = weights.Limits{
	StoreStreams: minStreams,
	Keep:         0.67,
	Tries:        1000,
	Backoff:      200 * time.Millisecond,
	MinTimeout:   maxLoad + 2*time.Second,
}

var (
	loadsOrdered = metrics.NewCounter("apricotstream_loads_ordered_total")
	loadSeconds  = metrics.NewHistogram("apricotstream_load_seconds")
)

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
	holdings  *weights.Holdings
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
func NewWeights(t *Term, p Published, upstreams func() []upstream.Announcement, h *weights.Holdings, e Engines, logger *log.Logger) *Weights {
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
	w.assign(goOn, versions)
	// The model that waited longest comes first: all share the store.
	places := slices.SortedFunc(maps.Keys(goOn), func(a, b loadPlace) int {
		return cmp.Or(w.ordered[a].Compare(w.ordered[b]), cmp.Compare(a.model, b.model))
	})
	views := w.observe(places)
	needed := w.published.Needed()
	// Engines whose version no work may use come first, of all models.
	for _, urgent := range []bool{true, false} {
		for _, at := range places {
			t := target{version: versions[at.model], need: versions[at.model], urgent: urgent}
			if n, ok := needed[at.model]; ok {
				t.need = n
			}
			for _, s := range w.plan(at, views[at], t) {
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
func (w *Weights) assign(places map[loadPlace]bool, published map[string]uint64) {
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
		for _, u := range w.upstreams() {
			if u.Service == service && !u.Silent && u.ReclaimAt == 0 {
				engines = append(engines, u)
			}
		}
		if w.homes[service] == nil {
			held := map[string]map[string]uint64{}
			for _, u := range engines {
				held[u.ID] = w.holdings.Versions(u)
			}
			w.homes[service] = weights.Inferred(held, published)
		}
		w.homes[service] = weights.Assign(w.homes[service], engines, models)
	}
}

// observe returns the engines that follow each place, and frees the streams of the
// loads that have ended: otherwise a model with running loads would always be
// the first to find a free stream.
func (w *Weights) observe(places []loadPlace) map[loadPlace][]upstream.Announcement {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	views := map[loadPlace][]upstream.Announcement{}
	for _, at := range places {
		if w.planners[at] == nil {
			w.planners[at] = weights.NewPlanner(loadLimits)
		}
		views[at] = w.followers(at)
		w.planners[at].Observe(now, views[at])
	}
	return views
}

// followers returns the engines that load the new versions of a model, each with
// the version that it holds.
func (w *Weights) followers(at loadPlace) []upstream.Announcement {
	var out []upstream.Announcement
	for _, u := range w.upstreams() {
		if u.Service != at.service || w.homes[at.service][u.ID] != at.model {
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

// plan returns the loads to order now. All models of a service share the streams
// of the store, and an engine carries out one order at a time.
func (w *Weights) plan(at loadPlace, followers []upstream.Announcement, t target) []weights.Swap {
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
		return slices.ContainsFunc(others, func(q *weights.Planner) bool { return q.Busy(u.ID) })
	})
	p := w.planners[at]
	streams := max(minStreams, int(math.Round(engineShare*float64(w.engineCount(at.service)))))
	if t.urgent {
		p.SetStreams(streams - elsewhere)
		return p.PlanUrgent(time.Now(), idle, t.version, t.need)
	}
	p.SetStreams(max(1, streams/spareShare) - elsewhere)
	return p.Plan(time.Now(), idle, t.version)
}

func (w *Weights) engineCount(service string) int {
	n := 0
	for _, u := range w.upstreams() {
		if u.Service == service {
			n++
		}
	}
	return n
}

// load orders one engine and follows the load to its end.
func (w *Weights) load(ctx context.Context, f Fence, at loadPlace, s weights.Swap, goOn bool) {
	began := time.Now()
	u := s.Upstream
	err := w.order(ctx, f, at, s, goOn)
	if err == nil {
		err = w.await(ctx, at, s)
	}
	w.holdings.SetLoading(u, false)
	if err == nil {
		loadSeconds.Update(time.Since(began).Seconds())
		w.log.Info("Weights loaded.", "upstream", u.ID, "model", at.model, "version", s.Version, "fence", f.Token, "ms", time.Since(began).Milliseconds())
		return
	}
	w.log.Warn("Weights not loaded.", "upstream", u.ID, "model", at.model, "version", s.Version, "fence", f.Token, "code", int(result.CodeOf(err)), "err", result.From(err).Message)
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.planners[at]; p != nil {
		p.Failed(time.Now(), u.ID)
	}
}

func (w *Weights) order(ctx context.Context, f Fence, at loadPlace, s weights.Swap, goOn bool) error {
	ctx, cancel := context.WithTimeout(ctx, 2*orderTimeout)
	defer cancel()
	u := s.Upstream
	expected, known := w.holdings.Orders(u)
	if !known {
		r, err := w.report(ctx, u)
		if err != nil {
			return err
		}
		if r.Busy {
			return result.New(result.OrderConflict, "the engine carries out another order")
		}
		expected = r.Orders
	}
	if w.holdings.Versions(u)[at.model] >= s.Version {
		return nil
	}
	if !w.term.valid(f) {
		return result.New(result.Fenced, "the leadership has ended")
	}
	o := Order{Model: at.model, Version: s.Version, Keep: FinishFirst, Expected: expected}
	if goOn {
		o.Keep = GoOn
	}
	loadsOrdered.Inc()
	w.holdings.SetLoading(u, true)
	accepted, err := w.engines.Order(ctx, f, u, o)
	if err != nil {
		w.holdings.Forget(u)
		return err
	}
	if accepted {
		w.holdings.Reported(u, nil, expected+1)
	} else {
		w.holdings.Seen(u.ID, at.model, s.Version)
	}
	return nil
}

// await asks the engine until it holds the version.
func (w *Weights) await(ctx context.Context, at loadPlace, s weights.Swap) error {
	u := s.Upstream
	until := time.Now().Add(maxLoad)
	wait := usualLoad
	for time.Now().Before(until) && ctx.Err() == nil {
		if w.holdings.Versions(u)[at.model] >= s.Version {
			return nil
		}
		time.Sleep(wait)
		wait = loadPoll
		ask, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := w.report(ask, u)
		cancel()
		if code := result.CodeOf(err); code == result.UpstreamUnreached || code == result.UpstreamMoved {
			return err
		}
	}
	w.holdings.Forget(u)
	return result.New(result.UpstreamTimeout, "the engine did not load in time")
}

func (w *Weights) report(ctx context.Context, u upstream.Announcement) (Report, error) {
	r, err := w.engines.Report(ctx, u)
	if err == nil {
		w.holdings.Reported(u, r.Versions, r.Orders)
	}
	return r, err
}
