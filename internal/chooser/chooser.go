package chooser

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/picker"
	"github.com/apricotstream/apricotstream/internal/ratecap"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/workload"
)

// Directory lists the upstreams of a service.
type Directory interface {
	Service(name string) []upstream.Announcement
}

// Rates keeps the requests of all daemons to an upstream within the rate that it names, see
// ratecap.Keeper.
type Rates interface {
	Wait(now time.Time, a upstream.Announcement) time.Duration
	Acquire(ctx context.Context, a upstream.Announcement, p ratecap.Purpose, request string) (sendBy time.Time, ok bool)
	ReturnDelay(service string, list []upstream.Announcement) (time.Duration, bool)
}

// coldRates is implemented by Rates that bound the requests to cold upstreams. Acquire does not
// wait for a token of such an upstream.
type coldRates interface {
	ColdBound(now time.Time, a upstream.Announcement) bool
	// ColdWait returns how long a cold upstream has no token for a purpose.
	ColdWait(now time.Time, a upstream.Announcement, p ratecap.Purpose) time.Duration
}

const (
	// maxAcquires is the number of upstreams that one choice asks a token for.
	maxAcquires = 4
	// maxColdAcquires is the number of cold upstreams without a token that one choice passes
	// over. It bounds the work of a choice; most deployments have fewer upstreams in a zone.
	maxColdAcquires = 64
	// coldPollInterval is the time after which a request tries a service again whose upstreams
	// are all cold. It is a fraction of the time for which a token may be used; at 2 ms, the
	// polling of 70 daemons took more of the processor than all else.
	coldPollInterval = 20 * time.Millisecond
)

// Choice is the upstream that a request is sent to.
type Choice struct {
	upstream.Announcement
	SendBy time.Time // the request must not be sent after it; zero: at any time
	// Work must be ended when the upstream no longer works on the request. It is nil if the
	// upstreams of the service do not state how slow they are.
	Work *Work
}

// Expired reports whether the request must not be sent to the choice any more.
func (c Choice) Expired(now time.Time) bool { return !c.SendBy.IsZero() && !now.Before(c.SendBy) }

// Chooser picks upstreams. It may be used by many goroutines.
type Chooser struct {
	// Entry identifies this daemon, which in a large deployment keeps to a subset of the
	// upstreams. Empty: it uses all. It must be set before the first call.
	Entry string
	// Rates bounds the requests to upstreams that name a rate. Nil: nothing does. It must be
	// set before the first call.
	Rates Rates
	// Workloads makes services whose upstreams state how slow they are choose by expected
	// completion. Nil: none does. It must be set before the first call.
	Workloads *Workloads

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
// Release is called. If the upstream names a rate, Pick takes a token for the request, for
// which it may ask the leader until ctx ends. It returns false if no upstream can take the
// request.
func (c *Chooser) Pick(ctx context.Context, q picker.Request) (Choice, bool) {
	q.Exclude = slices.Clip(q.Exclude)
	for waited, cold := 0, 0; waited < maxAcquires && cold < maxColdAcquires; {
		u, work, ok := c.pick(q)
		if !ok {
			break
		}
		if sendBy, ok := c.acquire(ctx, u, q); ok {
			metrics.GetOrCreateCounter(`apricotstream_dispatched_total{class="` + u.Class + `"}`).Inc()
			work.recordChoice()
			return Choice{u, sendBy, work}, true
		}
		work.End(Unknown)
		c.uncount(u)
		if c.coldBound(time.Now(), u) {
			cold++
			q.Exclude = append(q.Exclude, u.ID)
		} else {
			waited++
		}
	}
	return Choice{}, false
}

// coldBound reports whether u gets requests by tokens only because it is cold.
func (c *Chooser) coldBound(now time.Time, u upstream.Announcement) bool {
	r, ok := c.Rates.(coldRates)
	return ok && r.ColdBound(now, u)
}

// acquire takes a token for a request to u.
func (c *Chooser) acquire(ctx context.Context, u upstream.Announcement, q picker.Request) (sendBy time.Time, ok bool) {
	if c.Rates == nil {
		return time.Time{}, true
	}
	return c.Rates.Acquire(ctx, u, purposeOf(q), q.ID)
}

func purposeOf(q picker.Request) ratecap.Purpose {
	if q.Background {
		return ratecap.ForBackground
	}
	return ratecap.ForCaller
}

// pick picks an upstream and counts the request as in flight there.
func (c *Chooser) pick(q picker.Request) (upstream.Announcement, *Work, bool) {
	all := c.Within(q.Homes).Upstreams(q.Service)
	q.Entry = c.Entry
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	u, work, ok := c.choose(now, q, c.candidates(now, purposeOf(q), all))
	if ok {
		c.inFlight[u.ID]++
		c.health.BeginProbe(now, u)
	}
	return u, work, ok
}

// choose chooses one of the candidates. The work is nil if none of them states how slow it is.
// The caller holds c.mu.
func (c *Chooser) choose(now time.Time, q picker.Request, cs []picker.Candidate) (upstream.Announcement, *Work, bool) {
	var expected workload.Estimate
	var all []picker.Workload
	if c.Workloads != nil {
		expected, all = c.Workloads.weigh(now, &q, cs)
	}
	u, ok := c.pipeline.Choose(c.rnd, q, cs)
	if !ok || all == nil {
		return u, nil, ok
	}
	at := slices.IndexFunc(cs, func(x picker.Candidate) bool { return x.Upstream.ID == u.ID })
	return u, c.Workloads.begin(now, &q, expected, cs[at], all[at]), true
}

// uncount ends the counting of a request that was not sent.
func (c *Chooser) uncount(u upstream.Announcement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endRequest(u)
}

// endRequest counts a request less as in flight at u. The caller holds c.mu.
func (c *Chooser) endRequest(u upstream.Announcement) {
	c.inFlight[u.ID]--
	if c.inFlight[u.ID] == 0 {
		delete(c.inFlight, u.ID)
	}
}

// candidates returns the upstreams with what this daemon has observed of them. The caller
// holds c.mu.
func (c *Chooser) candidates(now time.Time, p ratecap.Purpose, all []upstream.Announcement) []picker.Candidate {
	ejected := c.health.Ejected(now, all)
	slowness := c.latencies.slowness(now, all)
	cs := make([]picker.Candidate, 0, len(all))
	for i, a := range all {
		atRate := c.Rates != nil && c.Rates.Wait(now, a) > 0
		if cold, ok := c.Rates.(coldRates); ok && !atRate {
			atRate = cold.ColdWait(now, a, p) > 0
		}
		cs = append(cs, picker.Candidate{Upstream: a, InFlight: c.inFlight[a.ID], Ejected: ejected[i], Slowness: slowness[i], AtRate: atRate})
	}
	return cs
}

// Release ends a request at u that Pick counted, and records the outcome err for the
// health of u. If ctx has ended, the outcome is ignored, because it says nothing about u.
func (c *Chooser) Release(ctx context.Context, u upstream.Announcement, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endRequest(u)
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
