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

// fleet is upstreams in virtual time that load what they are ordered.
type fleet struct {
	now  time.Time
	live []upstream.Announcement
	ends map[string]time.Time // of loads, by upstream
}

func newFleet(zones ...int) *fleet {
	f := &fleet{now: time.Unix(0, 0), ends: map[string]time.Time{}}
	for z, n := range zones {
		for i := range n {
			id := fmt.Sprintf("z%d-%d", z, i)
			f.live = append(f.live, upstream.Announcement{ID: id, Address: id, Zone: fmt.Sprint(z), Version: 1, Incarnation: 1, SharesWeights: true})
		}
	}
	return f
}

// order lets the swaps begin; fails says whose load never ends well.
func (f *fleet) order(swaps []Swap, took time.Duration, fails func() bool) {
	for _, s := range swaps {
		for i := range f.live {
			if f.live[i].ID == s.Upstream.ID && !fails() {
				f.live[i].Loading, f.live[i].LoadingFrom = s.Version, s.Source
				f.ends[s.Upstream.ID] = f.now.Add(took)
			}
		}
	}
}

func (f *fleet) tick(d time.Duration) {
	f.now = f.now.Add(d)
	for i := range f.live {
		u := &f.live[i]
		if u.Loading > 0 && !f.now.Before(f.ends[u.ID]) {
			u.Version, u.Loading = u.Loading, 0
		}
	}
}

// check fails when too many load at once, in all or in one zone, or from one
// source.
func (f *fleet) check(fatal func(string, ...any)) {
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
			fatal("all %d upstreams of zone %s load at once", n, z)
		}
	}
	for s, n := range from {
		if n > 2 {
			fatal("%d loads from %q at once", n, s)
		}
	}
}

// Whatever fails, and whenever the leader changes or a newer version comes,
// enough upstreams go on serving and in the end all run the newest version.
func TestWavesReachEveryUpstream(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(rt, "a"), rapid.IntRange(0, 6).Draw(rt, "b"), rapid.IntRange(0, 6).Draw(rt, "c"))
		p := NewPlanner(testLimits)
		want := uint64(2)
		for round := range 400 {
			calm := round > 100
			if !calm && rapid.IntRange(0, 30).Draw(rt, "publish") == 0 {
				want++
			}
			// A leader that was just elected has waited for announcements.
			if !calm && rapid.IntRange(0, 30).Draw(rt, "leader") == 0 {
				p = NewPlanner(testLimits)
			}
			took := time.Duration(rapid.IntRange(1, 5).Draw(rt, "seconds")) * time.Second
			f.order(p.Plan(f.now, f.live, want), took, func() bool { return !calm && rapid.IntRange(0, 3).Draw(rt, "fails") == 0 })
			f.check(rt.Fatalf)
			f.tick(500 * time.Millisecond)
		}
		for _, u := range f.live {
			if u.Version != want {
				rt.Fatalf("%s runs %d, wanted %d", u.ID, u.Version, want)
			}
		}
	})
}

// An upstream that refuses every order is asked a bounded number of times.
func TestFailedSwapsKeepTheirBudget(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	p := NewPlanner(testLimits)
	orders := 0
	for range 2000 {
		for _, s := range p.Plan(f.now, f.live, 2) {
			orders++
			p.RecordFailure(f.now, s.Upstream.ID)
		}
		f.tick(500 * time.Millisecond)
	}
	g.Expect(orders).To(Equal(testLimits.MaxAttempts))
	g.Expect(p.Plan(f.now, f.live, 3)).To(HaveLen(1))
}

// With a tree of sources the number of waves grows with the logarithm of the
// number of upstreams.
func TestHoldersPassTheVersionOn(t *testing.T) {
	g := NewWithT(t)
	const n = 3700
	f := newFleet(n/2, n/2)
	p := NewPlanner(testLimits)
	waves := 0
	for ; waves < n; waves++ {
		swaps := p.Plan(f.now, f.live, 2)
		if len(swaps) == 0 {
			break
		}
		f.order(swaps, time.Second, func() bool { return false })
		f.tick(time.Second)
	}
	// Every holder feeds two, and at most half of the upstreams load at once.
	g.Expect(waves).To(BeNumerically("<=", int(math.Ceil(math.Log(n)/math.Log(3)))+2))
}
