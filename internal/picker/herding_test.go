package picker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// simCluster simulates six entries that send requests to nine upstreams whose load
// reports lag. Time is in milliseconds.
type simCluster struct {
	rnd      *rand.Rand
	inFlight [6][9]int // requests by entry and upstream
	history  [9][]int  // running requests by upstream and millisecond
}

const (
	reportLagMS, reportIntervalMS, slotsPerUpstream = 1000, 500, 8
	meanServiceMS                                   = 200
	durationMS                                      = 60_000
)

// chooseFunc returns the index of the upstream for a request that arrives at an entry.
type chooseFunc func(s *simCluster, entry int, cs []Candidate) int

func choosePipeline(s *simCluster, _ int, cs []Candidate) int {
	u, _ := Default().Choose(s.rnd, Request{Repeatable: true}, cs)
	return slices.IndexFunc(cs, func(c Candidate) bool { return c.Upstream.ID == u.ID })
}

func chooseLeastReported(_ *simCluster, _ int, cs []Candidate) int {
	best := 0
	for i, c := range cs {
		if c.Upstream.Running < cs[best].Upstream.Running {
			best = i
		}
	}
	return best
}

// run simulates durationMS at rate requests a second. It returns the 99th percentile of
// the response time in milliseconds, and the mean over time of the largest load of an
// upstream divided by the mean load of all upstreams.
func (s *simCluster) run(choose chooseFunc, rate float64) (p99, herding float64) {
	type job struct{ entry, end int }
	var jobs [9][]job
	var latencies []float64
	var reports [9]int
	peak, mean := 0.0, 0.0
	for now := range durationMS {
		for u := range jobs {
			jobs[u] = slices.DeleteFunc(jobs[u], func(j job) bool {
				if j.end <= now {
					s.inFlight[j.entry][u]--
				}
				return j.end <= now
			})
			s.history[u] = append(s.history[u], len(jobs[u]))
			if now%reportIntervalMS == u*reportIntervalMS/9 {
				reports[u] = s.history[u][max(0, now-reportLagMS)]
			}
		}
		for range poisson(s.rnd, rate/1000) {
			e := s.rnd.IntN(6)
			cs := make([]Candidate, 9)
			for u := range cs {
				cs[u] = Candidate{Upstream: upstream.Announcement{ID: fmt.Sprint(u), Running: reports[u], Concurrency: slotsPerUpstream}, InFlight: s.inFlight[e][u]}
			}
			u := choose(s, e, cs)
			ends := make([]int, 0, len(jobs[u]))
			for _, j := range jobs[u] {
				ends = append(ends, j.end)
			}
			slices.Sort(ends)
			start := now
			if n := len(ends); n >= slotsPerUpstream {
				start = ends[n-slotsPerUpstream]
			}
			end := start + 1 + int(s.rnd.ExpFloat64()*meanServiceMS)
			jobs[u] = append(jobs[u], job{e, end})
			s.inFlight[e][u]++
			latencies = append(latencies, float64(end-now))
		}
		most, all := 0, 0
		for u := range jobs {
			most = max(most, len(jobs[u]))
			all += len(jobs[u])
		}
		peak += float64(most)
		mean += float64(all) / 9
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100], peak / mean
}

// poisson draws from a Poisson distribution with the given mean.
func poisson(rnd *rand.Rand, mean float64) int {
	n := 0
	for t := rnd.ExpFloat64(); t < mean; t += rnd.ExpFloat64() {
		n++
	}
	return n
}

// BenchmarkHerding compares ways to choose an upstream when load reports lag by a second
// and 80% of the slots are in use.
func BenchmarkHerding(b *testing.B) {
	next := 0
	for name, choose := range map[string]chooseFunc{
		"round-robin":    func(*simCluster, int, []Candidate) int { next++; return next % 9 },
		"random":         func(s *simCluster, _ int, _ []Candidate) int { return s.rnd.IntN(9) },
		"least-reported": chooseLeastReported,
		"pipeline":       choosePipeline,
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				s := &simCluster{rnd: rand.New(rand.NewPCG(1, 1))}
				p99, herding := s.run(choose, 0.8*9*slotsPerUpstream*1000/meanServiceMS)
				b.ReportMetric(p99, "p99-ms")
				b.ReportMetric(herding, "peak/mean")
			}
		})
	}
}
