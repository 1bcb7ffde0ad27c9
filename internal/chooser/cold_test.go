package chooser

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/picker"
	"github.com/apricotstream/apricotstream/internal/ratecap"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

const (
	coldRate   = 14.0
	coldTime   = 3 * time.Second
	coldBefore = time.Second // the daemons run this long before the upstreams come back
)

// coldFleet is a set of daemons in virtual time, with a zone of cold upstreams and a warm one.
type coldFleet struct {
	mu       sync.Mutex
	rnd      *rand.Rand
	keepers  map[string]*ratecap.Keeper
	leader   string
	term     uint64
	list     []upstream.Announcement
	arrivals map[string][]time.Time // at cold upstreams, by id
	served   [2]int                 // requests at cold upstreams, by purpose
	waited   time.Duration          // longest choice
	rejected int
}

func (f *coldFleet) Service(string) []upstream.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list
}

func (f *coldFleet) random(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.IntN(n)
}

func (f *coldFleet) elect(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader, f.term = id, f.term+1
}

func (f *coldFleet) leads(id string) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term, f.leader == id
}

// ask calls another daemon. Some replies are lost.
func (f *coldFleet) ask(_ context.Context, to string, q ratecap.AcquireRequest) (ratecap.AcquireReply, error) {
	time.Sleep(time.Duration(1+f.random(3)) * time.Millisecond)
	r, err := f.keepers[to].Issue(q)
	time.Sleep(time.Duration(1+f.random(3)) * time.Millisecond)
	if f.random(50) == 0 {
		return r, errors.New("the reply was lost")
	}
	return r, err
}

// request chooses an upstream as a request does, and sends it unless its token has run out. Some
// daemons are frozen in between.
func (f *coldFleet) request(ctx context.Context, c *Chooser, background bool) {
	began := time.Now()
	q := picker.Request{Service: "s", ID: "r", Background: background}
	choice, ok := c.Pick(ctx, q)
	for !ok && time.Since(began) < 300*time.Millisecond {
		wait, atRate := c.AtRate("s")
		if !atRate {
			break
		}
		time.Sleep(wait)
		choice, ok = c.Pick(ctx, q)
	}
	f.mu.Lock()
	f.waited = max(f.waited, time.Since(began))
	if !ok {
		f.rejected++
	}
	f.mu.Unlock()
	if !ok {
		return
	}
	defer c.Release(ctx, choice.Announcement, nil)
	if f.random(10) == 0 {
		time.Sleep(time.Duration(f.random(1500)) * time.Millisecond)
	}
	if now := time.Now(); !choice.Expired(now) && choice.Cold(now) {
		f.mu.Lock()
		f.arrivals[choice.ID] = append(f.arrivals[choice.ID], now)
		purpose := 0
		if background {
			purpose = 1
		}
		f.served[purpose]++
		f.mu.Unlock()
	}
	time.Sleep(30 * time.Millisecond)
}

// runColdFleet lets 16 upstreams come back cold under the load of daemons, which each have
// the given numbers of requests a second. The leader changes meanwhile.
func runColdFleet(t *testing.T, seed uint64, daemons, warm, callers, background int, rate func(string) float64) *coldFleet {
	f := &coldFleet{rnd: rand.New(rand.NewPCG(seed, 1)), keepers: map[string]*ratecap.Keeper{}, arrivals: map[string][]time.Time{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f.elect("d0")
		until := time.Now().Add(coldBefore + coldTime).UnixMilli()
		for i := range 16 + warm {
			a := upstream.Announcement{ID: fmt.Sprint("u", i), Incarnation: 1, Service: "s", Class: upstream.ClassRegular, Concurrency: 1 << 10}
			if i < 16 {
				a.ColdUntil = until
			}
			f.list = append(f.list, a)
		}
		var wg sync.WaitGroup
		for i := range daemons {
			id := fmt.Sprint("d", i)
			f.keepers[id] = ratecap.NewKeeper(ratecap.Deployment{
				Daemon: id, Leads: func() (uint64, bool) { return f.leads(id) }, Daemons: func() int { return daemons },
				Replicas: func() []string { return []string{"d0", "d1", "d2"} }, Broadcast: func(string, any) {}, Ask: f.ask,
				Gone: func(string, int64) bool { return false }, ColdRate: rate,
			}, log.New(io.Discard))
		}
		for _, k := range f.keepers {
			wg.Go(func() { k.Run(ctx) })
			c := New(f)
			c.Rates = k
			for _, load := range []struct {
				perSecond  int
				background bool
			}{{callers, false}, {background, true}} {
				wg.Go(func() {
					time.Sleep(coldBefore)
					for load.perSecond > 0 && ctx.Err() == nil {
						wg.Go(func() { f.request(ctx, c, load.background) })
						time.Sleep(time.Duration(f.random(int(2*time.Second/time.Millisecond)/load.perSecond)) * time.Millisecond)
					}
				})
			}
		}
		time.Sleep(coldBefore + 2*time.Second)
		f.elect("d1")
		time.Sleep(coldTime - 2*time.Second)
		cancel()
		wg.Wait()
	})
	return f
}

// mostInASecond returns the largest number of requests that a cold upstream got within a second.
func (f *coldFleet) mostInASecond() int {
	most := 0
	for _, times := range f.arrivals {
		for i, first := range times {
			n := 0
			for _, at := range times[i:] {
				if at.Sub(first) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

func coldBound(string) float64 { return coldRate }

// Guards against a zone of upstreams that come back cold and crash under the sum of what all
// daemons send them, also what a frozen daemon sends with an old token; and against requests
// that wait for a cold upstream although another has room.
func TestColdUpstreamsGetNoMoreThanTheirBound(t *testing.T) {
	for seed := range uint64(2) {
		g := NewWithT(t)
		f := runColdFleet(t, seed, 70, 16, 11, 4, coldBound)
		g.Expect(f.mostInASecond()).To(BeNumerically("<=", 1.5*coldRate+5))
		g.Expect(f.waited).To(BeZero())
		g.Expect(f.rejected).To(BeZero())
		g.Expect(f.served[0]).To(BeNumerically(">", 0), "the bound is used")
	}
	f := runColdFleet(t, 1, 70, 16, 11, 4, nil)
	NewWithT(t).Expect(f.mostInASecond()).To(BeNumerically(">", 1.5*coldRate+5), "the load exceeds the bound if nothing keeps it")
}

// Guards against background work that takes the few tokens of cold upstreams when callers need
// them, against tokens that nobody uses when all upstreams are cold, and against a deployment of
// few daemons that asks too rarely.
func TestCallersComeFirstAtColdUpstreams(t *testing.T) {
	for _, c := range []struct{ daemons, callers, background int }{{70, 6, 6}, {4, 60, 60}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			g := NewWithT(t)
			f := runColdFleet(t, 1, c.daemons, 0, c.callers, c.background, coldBound)
			t.Log("callers", f.served[0], "background", f.served[1], "rejected", f.rejected, "most", f.mostInASecond())
			capacity := 16 * coldRate * coldTime.Seconds()
			wanted := float64(c.daemons*c.callers) * coldTime.Seconds()
			g.Expect(f.mostInASecond()).To(BeNumerically("<=", 1.5*coldRate+5))
			g.Expect(float64(f.served[0])).To(BeNumerically(">=", 0.6*min(capacity, wanted)))
			if wanted > capacity {
				g.Expect(f.served[1]).To(BeNumerically("<=", f.served[0]/10))
			}
		})
	}
}
