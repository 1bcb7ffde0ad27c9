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

// Chooser picks upstreams. It may be used by many goroutines.
type Chooser struct {
	// Entry identifies this daemon, which in a large deployment keeps to a subset of the
	// upstreams. Empty: it uses all. It must be set before the first call.
	Entry string

	directory Directory
	pipeline  picker.Pipeline

	mu        sync.Mutex
	rnd       *rand.Rand
	health    *upstream.Health
	latencies latencies
	inFlight  map[string]int // requests by upstream id
}

// New returns a Chooser that picks among the upstreams of dir.
func New(dir Directory) *Chooser {
	return &Chooser{
		directory: dir, pipeline: picker.Default(), rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		health: upstream.NewHealth(), inFlight: map[string]int{},
	}
}

// Pick picks an upstream for a request and counts the request as in flight there until
// Release is called. It returns false if no upstream can take the request.
func (c *Chooser) Pick(q picker.Request) (upstream.Announcement, bool) {
	all := c.directory.Service(q.Service)
	q.Entry = c.Entry
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

// candidates returns the upstreams with what this daemon has observed of them. The caller
// holds c.mu.
func (c *Chooser) candidates(now time.Time, all []upstream.Announcement) []picker.Candidate {
	ejected := c.health.Ejected(now, all)
	slowness := c.latencies.slowness(now, all)
	cs := make([]picker.Candidate, 0, len(all))
	for i, a := range all {
		cs = append(cs, picker.Candidate{Upstream: a, InFlight: c.inFlight[a.ID], Ejected: ejected[i], Slowness: slowness[i]})
	}
	return cs
}

// Release ends a request at u that Pick counted, and records the outcome err for the
// health of u. If ctx has ended, the outcome is ignored, because it says nothing about u.
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

// InUse returns the ids of the upstreams that have requests of this daemon in flight.
func (c *Chooser) InUse() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id := range c.inFlight {
		out = append(out, id)
	}
	return out
}

// RecordLatency records that u took the given time for a response.
func (c *Chooser) RecordLatency(u upstream.Announcement, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latencies.record(time.Now(), u, took)
}

// Ejected reports for each upstream in list whether it should be avoided, see
// upstream.Health.
func (c *Chooser) Ejected(list []upstream.Announcement) []bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.health.Ejected(time.Now(), list)
}

// Upstreams returns all upstreams of a service that the directory lists, ejected ones
// included.
func (c *Chooser) Upstreams(service string) []upstream.Announcement {
	return c.directory.Service(service)
}
