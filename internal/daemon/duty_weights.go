package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/weights"
)

// loadLimits are the limits of the planner of each service.
var loadLimits = weights.Limits{
	StoreStreams:    2,
	Fanout:          2,
	MinServingShare: 0.5,
	MaxAttempts:     8,
	Backoff:         time.Second,
	MinTimeout:      10 * time.Second,
}

// loadPlanners holds the planners of one leader's term.
type loadPlanners struct {
	mu       sync.Mutex
	planners map[string]*weights.Planner // by service
}

func newLoadPlanners() *loadPlanners { return &loadPlanners{planners: map[string]*weights.Planner{}} }

// withPlanner calls f with the planner of a service while it holds the lock. It creates the
// planner if there is none.
func (l *loadPlanners) withPlanner(service string, f func(*weights.Planner)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	planner := l.planners[service]
	if planner == nil {
		planner = weights.NewPlanner(loadLimits)
		l.planners[service] = planner
	}
	f(planner)
}

// loadWeights orders upstreams to load the newest published weight versions, as many at a
// time as loadLimits allows.
func (r *dutyRunner) loadWeights() {
	if !r.daemon.evacuations.Proven() {
		return // a zone may be evacuated that this replica does not know of
	}
	for _, w := range r.daemon.follower.Config().Weights {
		live := r.daemon.directory.Service(w.Service)
		r.loadPlanners.withPlanner(w.Service, func(p *weights.Planner) {
			for _, s := range p.Plan(time.Now(), live, w.Version) {
				go r.sendLoadOrder(r.loadPlanners, s)
			}
		})
	}
}

// sendLoadOrder orders one upstream to load weights. It records a failure in the
// planner of the service.
func (r *dutyRunner) sendLoadOrder(planners *loadPlanners, s weights.Swap) {
	ctx, cancel := context.WithTimeout(context.Background(), dutyTimeout)
	defer cancel()
	o := weights.Order{Fence: r.term, Service: s.Upstream.Service, Version: s.Version, Source: s.Source}
	err := r.sender.PostToUpstream(ctx, "http://"+s.Upstream.Address+weights.OrderPath, o, func(resp *http.Response) {
		if forward.SaysLeaving(resp) {
			r.daemon.departures().Observe(upstream.Sighting{Upstream: s.Upstream, Status: resp.StatusCode})
		}
	})
	if err == nil {
		return
	}
	r.log.Warn("Failed to order an upstream to load weights.", "upstream", s.Upstream.ID, "version", s.Version, "err", err.Error())
	planners.withPlanner(s.Upstream.Service, func(p *weights.Planner) { p.RecordFailure(time.Now(), s.Upstream.ID) })
}
