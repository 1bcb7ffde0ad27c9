package chooser

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/picker"
	"github.com/apricotstream/apricotstream/internal/ratecap"
	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/workload"
)

// The simulated deployment, in virtual time.
const (
	simEntries, simUpstreams, simSlots = 60, 7, 6
	simWarmup, simEnd                  = 5 * time.Second, 20 * time.Second
	simPhase                           = 600 * time.Millisecond
	simSlowShare, simPhaseSlowness     = 0.15, 2.5
	simTarget                          = 800 * time.Millisecond
	simUtilization                     = 0.75
)

var simStart = time.Unix(1_000_000, 0)

type simVariant struct {
	byWork       bool
	noLoads      bool          // the loads state no requests and no slowness
	loadDelay    time.Duration // until a load reaches the entry
	lastingInRaw bool          // the stated slowness includes the lasting one
}

// simHost is an upstream that serves in order of arrival on its slots.
type simHost struct {
	lasting float64
	slow    []bool // by phase
	offset  time.Duration
	free    [simSlots]time.Duration
	jobs    [][2]time.Duration // start and end of those that have not ended
}

func (h *simHost) phase(t time.Duration) (factor float64, until time.Duration) {
	i := int((t + h.offset) / simPhase)
	factor = 1
	if h.slow[i] {
		factor = simPhaseSlowness
	}
	return factor, time.Duration(i+1)*simPhase - h.offset
}

// run returns when work that begins at t ends.
func (h *simHost) run(t time.Duration, work float64) time.Duration {
	for {
		factor, until := h.phase(t)
		pace := factor * h.lasting
		if end := t + time.Duration(work*pace*1e9); end <= until {
			return end
		}
		work -= (until - t).Seconds() / pace
		t = until
	}
}

func (h *simHost) counts(t time.Duration) (running, waiting int) {
	h.jobs = slices.DeleteFunc(h.jobs, func(j [2]time.Duration) bool { return j[1] <= t })
	for _, j := range h.jobs {
		if j[0] <= t {
			running++
		} else {
			waiting++
		}
	}
	return running, waiting
}

type simEvent struct {
	at time.Duration
	do func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simResult struct{ p50, p99, within, herding float64 }

// simulate serves requests of three routes and eight accounts whose work differs and has a heavy
// tail.
func simulate(seed uint64, v simVariant) simResult {
	rnd := rand.New(rand.NewPCG(seed, 7))
	hosts, list := make([]simHost, simUpstreams), make([]upstream.Announcement, simUpstreams)
	capacity := 0.0
	for i := range hosts {
		h := &hosts[i]
		h.lasting = 0.7
		if i%3 == 0 && i < 6 {
			h.lasting = 1.7
		}
		h.offset = time.Duration(rnd.Float64() * float64(simPhase))
		for range 2 * simEnd / simPhase {
			h.slow = append(h.slow, rnd.Float64() < simSlowShare)
		}
		list[i] = upstream.Announcement{ID: fmt.Sprint("u", i), Incarnation: 1, Concurrency: simSlots, Zone: "z", Class: upstream.ClassRegular}
		capacity += simSlots / (h.lasting * (1 + simSlowShare*(simPhaseSlowness-1)))
	}
	entries := make([]*Chooser, simEntries)
	for e := range entries {
		entries[e] = New(nil)
		entries[e].rnd = rand.New(rand.NewPCG(seed, uint64(e)))
		if v.byWork {
			entries[e].Workloads = NewWorkloads(log.New(io.Discard))
		}
	}
	const sigma, meanWork = 0.8, 0.2
	routes, accounts := [3]float64{0.3, 0.8, 1.9}, [8]float64{0.4, 0.5, 0.7, 0.8, 1, 1.2, 1.4, 2}
	var queue simQueue
	var latencies []float64
	busiest, mean := 0.0, 0.0
	at := func(t time.Duration, do func()) { heap.Push(&queue, simEvent{t, do}) }
	for t := time.Duration(0); t < simEnd; t += time.Second { // heartbeats of one second reach the entries after half a second
		at(t, func() {
			for i := range hosts {
				running, waiting := hosts[i].counts(t)
				at(t+time.Second/2, func() { list[i].Running, list[i].Waiting = running, waiting })
			}
		})
	}
	for t := time.Duration(0); t < simEnd; t += time.Duration(rnd.ExpFloat64() * meanWork / (simUtilization * capacity) * 1e9) {
		at(t, func() {
			c, r, a := entries[rnd.IntN(simEntries)], rnd.IntN(3), rnd.IntN(8)
			work := meanWork * routes[r] * accounts[a] * math.Exp(sigma*rnd.NormFloat64()-sigma*sigma/2)
			now := simStart.Add(t)
			u, k, _ := c.choose(now, picker.Request{Service: "s", Route: fmt.Sprint(r), Account: fmt.Sprint(a), Repeatable: true, Zone: "z"}, c.candidates(now, ratecap.ForCaller, list))
			c.inFlight[u.ID]++
			i := slices.IndexFunc(list, func(x upstream.Announcement) bool { return x.ID == u.ID })
			h := &hosts[i]
			slot := 0
			for s := range h.free {
				if h.free[s] < h.free[slot] {
					slot = s
				}
			}
			begin := max(t, h.free[slot])
			end := h.run(begin, work)
			h.free[slot] = end
			h.jobs = append(h.jobs, [2]time.Duration{begin, end})
			most, all := 0, 0
			for j := range hosts {
				running, waiting := hosts[j].counts(t)
				most, all = max(most, running+waiting), all+running+waiting
			}
			if t > simWarmup {
				busiest, mean = busiest+float64(most), mean+float64(all)/simUpstreams
				latencies = append(latencies, (end - t).Seconds())
			}
			at(end-1, func() {
				running, waiting := h.counts(end - 1)
				factor, _ := h.phase(end)
				if v.lastingInRaw {
					factor *= h.lasting
				}
				if v.noLoads {
					running, waiting, factor = 0, 0, 1
				}
				if v.byWork {
					at(end-1+v.loadDelay, func() {
						c.Workloads.report(simStart.Add(end-1), workload.Report{Upstream: u, Running: running, Waiting: waiting, Slots: simSlots, Slowness: factor})
					})
				}
			})
			at(end, func() {
				c.uncount(u)
				c.latencies.record(simStart.Add(end), u, end-t)
				if k != nil {
					k.end(simStart.Add(end), Completed)
				}
			})
		})
	}
	for len(queue) > 0 {
		heap.Pop(&queue).(simEvent).do()
	}
	slices.Sort(latencies)
	within, _ := slices.BinarySearch(latencies, simTarget.Seconds())
	n := len(latencies)
	return simResult{latencies[n/2] * 1000, latencies[n*99/100] * 1000, float64(within) / float64(n), busiest / mean}
}

// simulateSeeds returns the means of 20 simulations, and prints them.
func simulateSeeds(t *testing.T, name string, v simVariant) simResult {
	defer debug.SetGCPercent(debug.SetGCPercent(800)) // garbage is made fast, and little is kept
	const seeds = 20
	var sum simResult
	results := make([]simResult, seeds)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = simulate(uint64(i+1), v) })
	}
	wg.Wait()
	for _, r := range results {
		sum.p50, sum.p99, sum.within, sum.herding = sum.p50+r.p50/seeds, sum.p99+r.p99/seeds, sum.within+r.within/seeds, sum.herding+r.herding/seeds
	}
	t.Logf("| %-28s | p50 %5.0f ms | p99 %6.0f ms | within %v: %.4f | busiest/mean %.2f |", name, sum.p50, sum.p99, simTarget, sum.within, sum.herding)
	return sum
}

// Guards against a choice by work that is slower than the choice by load.
func TestChoiceByWorkIsFasterThanByLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	before := simulateSeeds(t, "by load", simVariant{})
	for _, lasting := range []bool{false, true} {
		after := simulateSeeds(t, fmt.Sprintf("by work, stated lasting %v", lasting), simVariant{byWork: true, lastingInRaw: lasting})
		g.Expect(after.p99).To(gomega.BeNumerically("<", before.p99))
		g.Expect(after.p50).To(gomega.BeNumerically("<=", before.p50))
		g.Expect(after.within).To(gomega.BeNumerically(">", before.within))
	}
}

// Guards against trust in loads that have aged: those of 2 s must have no effect at all.
func TestOldLoadsAreNotWorseThanNone(t *testing.T) {
	g := gomega.NewWithT(t)
	none := simulateSeeds(t, "by work, no loads", simVariant{byWork: true, noLoads: true, loadDelay: 2 * time.Second})
	old := simulateSeeds(t, "by work, loads 2 s old", simVariant{byWork: true, loadDelay: 2 * time.Second})
	g.Expect(old).To(gomega.Equal(none))
	recent := simulateSeeds(t, "by work, loads 0.2 s old", simVariant{byWork: true, loadDelay: 200 * time.Millisecond})
	g.Expect(recent.p50).To(gomega.BeNumerically("<=", none.p50))
}
