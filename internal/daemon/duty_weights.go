package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/weights"
)

// waveLimits bound the waves of each service.
var waveLimits = weights.Limits{
	StoreStreams:    2,
	Fanout:          2,
	MinServingShare: 0.5,
	MaxAttempts:     8,
	Backoff:         time.Second,
	MinTimeout:      10 * time.Second,
}

// waves are the planners of one leader's term.
type waves struct {
	mu       sync.Mutex
	planners map[string]*weights.Planner // by service
}

func newWaves() *waves { return &waves{planners: map[string]*weights.Planner{}} }

// with runs f on the planner of a service.
func (w *waves) with(service string, f func(*weights.Planner)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.planners[service]
	if p == nil {
		p = weights.NewPlanner(waveLimits)
		w.planners[service] = p
	}
	f(p)
}

// swapWeights orders upstreams to load the newest published versions.
func (x *duties) swapWeights() {
	for _, w := range x.d.follower.Config().Weights {
		live := x.d.directory.Service(w.Service)
		x.waves.with(w.Service, func(p *weights.Planner) {
			for _, s := range p.Plan(time.Now(), live, w.Version) {
				go x.orderSwap(x.waves, s)
			}
		})
	}
}

func (x *duties) orderSwap(w *waves, s weights.Swap) {
	ctx, cancel := context.WithTimeout(context.Background(), dutyTimeout)
	defer cancel()
	o := weights.Order{Fence: x.term, Service: s.Upstream.Service, Version: s.Version, Source: s.Source}
	err := x.sender.Post(ctx, "http://"+s.Upstream.Address+weights.OrderPath, o, nil)
	if err == nil {
		return
	}
	x.log.Warn("Swap not taken.", "upstream", s.Upstream.ID, "version", s.Version, "err", err.Error())
	w.with(s.Upstream.Service, func(p *weights.Planner) { p.RecordFailure(time.Now(), s.Upstream.ID) })
}
