package chooser

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/picker"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Directory lists the upstreams of a service.
type Directory interface {
	Service(name string) []upstream.Announcement
}

// Chooser picks upstreams; it may be used by many goroutines.
type Chooser struct {
	directory Directory
	pipeline  picker.Pipeline

	mu       sync.Mutex
	rnd      *rand.Rand
	health   *upstream.Health
	paces    paces
	inFlight map[string]int // by upstream
}

// New returns a chooser among the upstreams of dir.
func New(dir Directory) *Chooser {
	return &Chooser{
		directory: dir, pipeline: picker.Default(), rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		health: upstream.NewHealth(), inFlight: map[string]int{},
	}
}

// Pick chooses an upstream and counts the request there.
func (c *Chooser) Pick(q picker.Request) (upstream.Announcement, bool) {
	all := c.directory.Service(q.Service)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	u, ok := c.pipeline.Choose(c.rnd, q, c.candidates(now, all))
	if ok {
		c.inFlight[u.ID]++
		c.health.BeginProbe(now, u)
		metrics.GetOrCreateCounter(`apricotstream_dispatched_total{class="` + u.Class + `"}`).Inc()
	}
	return u, ok
}

func (c *Chooser) candidates(now time.Time, all []upstream.Announcement) []picker.Candidate {
	ejected := c.health.Ejected(now, all)
	slowness := c.paces.slowness(now, all)
	cs := make([]picker.Candidate, 0, len(all))
	for i, a := range all {
		cs = append(cs, picker.Candidate{Upstream: a, InFlight: c.inFlight[a.ID], Ejected: ejected[i], Slowness: slowness[i]})
	}
	return cs
}

// Release ends a request at u. What became of a request that its caller ended
// says nothing about u.
func (c *Chooser) Release(ctx context.Context, u upstream.Announcement, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[u.ID]--
	if c.inFlight[u.ID] == 0 {
		delete(c.inFlight, u.ID)
	}
	if ctx.Err() != nil {
		return
	}
	switch result.CodeOf(err) {
	case result.UpstreamUnreached, result.UpstreamMoved:
		c.health.RecordFailure(time.Now(), u)
	case result.OK, result.AnswerCrossed:
		c.health.RecordSuccess(u)
	}
}

// Occupied returns the upstreams on which requests of this entry run.
func (c *Chooser) InUse() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id := range c.inFlight {
		out = append(out, id)
	}
	return out
}

// Took records how long u needed for an answer.
func (c *Chooser) RecordLatency(u upstream.Announcement, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paces.record(time.Now(), u, took)
}

// Ejected reports for each upstream of the list whether it should be avoided.
func (c *Chooser) Ejected(list []upstream.Announcement) []bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.health.Ejected(time.Now(), list)
}

// Listed returns the upstreams of a service, whatever their condition.
func (c *Chooser) Upstreams(service string) []upstream.Announcement {
	return c.directory.Service(service)
}
