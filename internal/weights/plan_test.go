package weights

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/testkit"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

var testLimits = Limits{StoreStreams: 2, Fanout: 2, MinServingShare: 0.5, MaxAttempts: 8, Backoff: time.Second, MinTimeout: 10 * time.Second}

// simFleet simulates upstreams that execute load orders in virtual time.
type simFleet struct {
	now      time.Time
	live     []upstream.Announcement
	loadEnds map[string]time.Time // end times of loads, by upstream id
}

func newSimFleet(zones ...int) *simFleet {
	f := &simFleet{now: time.Unix(0, 0), loadEnds: map[string]time.Time{}}
	for z, n := range zones {
		for i := range n {
			id := fmt.Sprintf("z%d-%d", z, i)
			f.live = append(f.live, upstream.Announcement{ID: id, Address: id, Zone: fmt.Sprint(z), Version: 1, Incarnation: 1, SharesWeights: true})
		}
	}
	return f
}

// startLoads starts the given loads, which take the given time, except those for which
// fails returns true.
func (f *simFleet) startLoads(swaps []Swap, took time.Duration, fails func() bool) {
	for _, s := range swaps {
		for i := range f.live {
			if f.live[i].ID == s.Upstream.ID && !fails() {
				f.live[i].Loading, f.live[i].LoadingFrom = s.Version, s.Source
				f.loadEnds[s.Upstream.ID] = f.now.Add(took)
			}
		}
	}
}

func (f *simFleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for i := range f.live {
		u := &f.live[i]
		if u.Loading > 0 && !f.now.Before(f.loadEnds[u.ID]) {
			u.Version, u.Loading = u.Loading, 0
		}
	}
}

// checkConcurrentLoads calls fatal if all upstreams of a zone load at once, or if too
// many load from one source.
func (f *simFleet) checkConcurrentLoads(fatal func(string, ...any)) {
	size, busy, from := map[string]int{}, map[string]int{}, map[string]int{}
	for _, u := range f.live {
		size[u.Zone]++
		if u.Loading > 0 {
			busy[u.Zone]++
			from[u.LoadingFrom]++
		}
	}
	for z, n := range size {
		if n > 1 && busy[z] >= n {
			fatal("all %d upstreams of zone %s are loading at once", n, z)
		}
	}
	for s, n := range from {
		if n > 2 {
			fatal("%d loads from %q at once", n, s)
		}
	}
}

// Loads fail, the leader changes and newer versions are published at random. Enough
// upstreams must keep serving, and in the end all must run the newest version.
func TestWavesReachEveryUpstream(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		f := newSimFleet(rapid.IntRange(1, 6).Draw(rt, "a"), rapid.IntRange(0, 6).Draw(rt, "b"), rapid.IntRange(0, 6).Draw(rt, "c"))
		p := NewPlanner(testLimits)
		want := uint64(2)
		for round := range 400 {
			noFaults := round > 100
			if !noFaults && rapid.IntRange(0, 30).Draw(rt, "publish") == 0 {
				want++
			}
			// A new leader starts with an empty planner but with all announcements.
			if !noFaults && rapid.IntRange(0, 30).Draw(rt, "leader") == 0 {
				p = NewPlanner(testLimits)
			}
			took := time.Duration(rapid.IntRange(1, 5).Draw(rt, "seconds")) * time.Second
			f.startLoads(p.Plan(f.now, f.live, want), took, func() bool { return !noFaults && rapid.IntRange(0, 3).Draw(rt, "fails") == 0 })
			f.checkConcurrentLoads(rt.Fatalf)
			f.advance(500 * time.Millisecond)
		}
		for _, u := range f.live {
			if u.Version != want {
				rt.Fatalf("upstream %s runs version %d, want %d", u.ID, u.Version, want)
			}
		}
	})
}

// An upstream that rejects every order gets a bounded number of orders.
func TestFailedLoadsAreRetriedABoundedNumberOfTimes(t *testing.T) {
	g := NewWithT(t)
	f := newSimFleet(1)
	p := NewPlanner(testLimits)
	orders := 0
	for range 2000 {
		for _, s := range p.Plan(f.now, f.live, 2) {
			orders++
			p.RecordFailure(f.now, s.Upstream.ID)
		}
		f.advance(500 * time.Millisecond)
	}
	g.Expect(orders).To(Equal(testLimits.MaxAttempts))
	g.Expect(p.Plan(f.now, f.live, 3)).To(HaveLen(1))
}

// Upstreams that hold the version serve it to others, so the number of waves (rounds of
// concurrent loads) must grow with the logarithm of the number of upstreams.
func TestNumberOfWavesGrowsLogarithmically(t *testing.T) {
	g := NewWithT(t)
	const n = 3700
	f := newSimFleet(n/2, n/2)
	p := NewPlanner(testLimits)
	waves := 0
	for ; waves < n; waves++ {
		swaps := p.Plan(f.now, f.live, 2)
		if len(swaps) == 0 {
			break
		}
		f.startLoads(swaps, time.Second, func() bool { return false })
		f.advance(time.Second)
	}
	// Every upstream with the version serves two others, and at most half of the
	// upstreams load at once.
	g.Expect(waves).To(BeNumerically("<=", int(math.Ceil(math.Log(n)/math.Log(3)))+2))
}
