package duty

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/weights"
)

// Limits of loading weights.
const (
	// loadingShare is the largest share of a service's engines that load at the same
	// time. The weight store slows down beyond about a fifth of them.
	loadingShare = 0.2
	// minStoreStreams is the smallest number of store streams (concurrent loads from the
	// weight store) of a service.
	minStoreStreams = 2
	// nonUrgentDivisor divides the number of store streams for loads that are not urgent:
	// those of engines whose version batch jobs may still use. The remaining streams stay
	// free for the next version of another model.
	nonUrgentDivisor = 2
)

// loadLimits are the limits of each planner.
var loadLimits = weights.Limits{
	StoreStreams:    minStoreStreams,
	MinServingShare: 0.67,
	MaxAttempts:     1000,
	Backoff:         200 * time.Millisecond,
	MinTimeout:      loadTimeout + 2*time.Second,
}

// PublishedModels provides the published weight versions and the demand for them.
type PublishedModels interface {
	// ModelVersions returns the newest published version by model.
	ModelVersions() map[string]uint64
	// Services returns the services whose engines hold a model, and whether requests may
	// continue under another version there.
	Services(model string) map[string]bool
	// Demand returns the recent demand by model, in tokens.
	Demand() map[string]float64
	// MinVersions returns the oldest version that the next batch job may use, by model. A
	// model without batch jobs so far is missing.
	MinVersions() map[string]uint64
}

// Weights orders engines to load the published weight versions.
type Weights struct {
	term         *Term
	published    PublishedModels
	upstreams    func() []upstream.Announcement
	versionTable *weights.VersionTable
	engines      Engines
	log          *log.Logger

	mu          sync.Mutex
	planners    map[plannerKey]*weights.Planner
	assignments map[string]weights.Assignment // by service: the model of each engine
	lastLoads   map[plannerKey]time.Time      // when the newest load was planned
}

// plannerKey identifies a planner: one plans the loads of one model in one service.
type plannerKey struct{ service, model string }

// NewWeights returns the duty. The caller must call Run.
func NewWeights(t *Term, p PublishedModels, upstreams func() []upstream.Announcement, v *weights.VersionTable, e Engines, logger *log.Logger) *Weights {
	return &Weights{
		term: t, published: p, upstreams: upstreams, versionTable: v, engines: e, log: logger, planners: map[plannerKey]*weights.Planner{},
		assignments: map[string]weights.Assignment{}, lastLoads: map[plannerKey]time.Time{},
	}
}

// Run orders loads until ctx ends.
func (w *Weights) Run(ctx context.Context) { runPeriodically(ctx, func() { w.round(ctx) }) }

// round plans and starts the loads that are due. It does nothing unless this process leads
// and its delay after a takeover has passed.
func (w *Weights) round(ctx context.Context) {
	f, changed, ok := w.term.fence(time.Now())
	if changed {
		w.logTakeover(f)
		w.mu.Lock()
		w.planners = map[plannerKey]*weights.Planner{}
		w.assignments = map[string]weights.Assignment{}
		w.mu.Unlock()
	}
	if !ok {
		return
	}
	versions := w.published.ModelVersions()
	continueRequests := map[plannerKey]bool{}
	for model := range versions {
		for service, ok := range w.published.Services(model) {
			continueRequests[plannerKey{service, model}] = ok
		}
	}
	byService := map[string][]upstream.Announcement{}
	for _, u := range w.upstreams() {
		byService[u.Service] = append(byService[u.Service], u)
	}
	w.assign(continueRequests, versions, byService)
	// All models share the weight store, so the one that waited longest comes first.
	keys := slices.SortedFunc(maps.Keys(continueRequests), func(a, b plannerKey) int {
		return cmp.Or(w.lastLoads[a].Compare(w.lastLoads[b]), cmp.Compare(a.model, b.model))
	})
	assigned := w.observe(keys, byService)
	minVersions := w.published.MinVersions()
	// Engines whose version is too old for batch jobs come first, whichever model they serve.
	for _, urgent := range []bool{true, false} {
		for _, key := range keys {
			t := loadTarget{version: versions[key.model], minVersion: versions[key.model], urgent: urgent}
			if n, ok := minVersions[key.model]; ok {
				t.minVersion = n
			}
			for _, s := range w.plan(key, assigned[key], len(byService[key.service]), t) {
				w.lastLoads[key] = time.Now()
				go w.loadEngine(ctx, f, key, s, continueRequests[key])
			}
		}
	}
}

// logTakeover logs how long this process waits in a new term before it orders loads.
func (w *Weights) logTakeover(f Fence) {
	wait := w.term.wait
	metrics.GetOrCreateCounter(`apricotstream_load_takeovers_total{early="` + strconv.FormatBool(wait.delay < w.term.takeoverDelay) + `"}`).Inc()
	w.log.Info("Weight loads wait after the takeover.", "fence", f.Token, "predecessor_led_ms", wait.predecessorLed.Milliseconds(),
		"voters_restarted", wait.votersRestarted, "takeover_delay_ms", w.term.takeoverDelay.Milliseconds(), "delay_ms", wait.delay.Milliseconds())
}

// loadTarget determines which version to load and which engines load it.
type loadTarget struct {
	version    uint64
	minVersion uint64 // oldest version that batch jobs may use
	urgent     bool   // load only engines whose version is below minVersion
}

// assign divides the engines of each service among its models by demand. After a change of
// the leader it starts from the versions that the engines hold.
func (w *Weights) assign(keys map[plannerKey]bool, published map[string]uint64, byService map[string][]upstream.Announcement) {
	demand := map[string]map[string]float64{}
	all := w.published.Demand()
	for key := range keys {
		if demand[key.service] == nil {
			demand[key.service] = map[string]float64{}
		}
		demand[key.service][key.model] = max(all[key.model], 1)
	}
	for service, models := range demand {
		var engines []upstream.Announcement
		for _, u := range byService[service] {
			if !u.Silent && u.ReclaimAt == 0 {
				engines = append(engines, u)
			}
		}
		if w.assignments[service] == nil {
			held := map[string]map[string]uint64{}
			for _, u := range engines {
				held[u.ID] = w.versionTable.Versions(u)
			}
			w.assignments[service] = weights.InferAssignment(held, published)
		}
		w.assignments[service] = weights.Assign(w.assignments[service], engines, models)
	}
}

// observe returns the engines that are assigned to each key, and updates all planners
// before any of them plans, which frees the store streams of the loads that have ended. If
// each planner were updated only when it plans, a model would always take over the streams
// of its own ended loads.
func (w *Weights) observe(keys []plannerKey, byService map[string][]upstream.Announcement) map[plannerKey][]upstream.Announcement {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	assigned := map[plannerKey][]upstream.Announcement{}
	for _, key := range keys {
		if w.planners[key] == nil {
			w.planners[key] = weights.NewPlanner(loadLimits)
		}
		assigned[key] = w.assignedEngines(key, byService[key.service])
		w.planners[key].Observe(now, assigned[key])
	}
	return assigned
}

// assignedEngines returns those of a service's engines that are assigned to a model and
// hold a version of it, each with that version.
func (w *Weights) assignedEngines(key plannerKey, engines []upstream.Announcement) []upstream.Announcement {
	var out []upstream.Announcement
	for _, u := range engines {
		if w.assignments[key.service][u.ID] != key.model {
			continue
		}
		held, ok := w.versionTable.Versions(u)[key.model]
		if !ok {
			continue
		}
		u.Version = held
		out = append(out, u)
	}
	return out
}

// plan returns the loads to order now. engines is the number of engines of the service. All
// models of a service share the streams of the weight store, and an engine carries out one
// order at a time.
func (w *Weights) plan(key plannerKey, assigned []upstream.Announcement, engines int, t loadTarget) []weights.Swap {
	w.mu.Lock()
	defer w.mu.Unlock()
	otherLoads := 0
	var others []*weights.Planner
	for other, planner := range w.planners {
		if other.service == key.service && other != key {
			otherLoads += planner.Loads()
			others = append(others, planner)
		}
	}
	idle := slices.DeleteFunc(slices.Clone(assigned), func(u upstream.Announcement) bool {
		return slices.ContainsFunc(others, func(planner *weights.Planner) bool { return planner.IsLoading(u.ID) })
	})
	p := w.planners[key]
	streams := max(minStoreStreams, int(math.Round(loadingShare*float64(engines))))
	if t.urgent {
		p.SetStreams(streams - otherLoads)
		return p.PlanUrgent(time.Now(), idle, t.version, t.minVersion)
	}
	p.SetStreams(max(1, streams/nonUrgentDivisor) - otherLoads)
	return p.Plan(time.Now(), idle, t.version)
}
