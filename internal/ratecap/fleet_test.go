package ratecap

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// fleet is a set of daemons in virtual time, and one upstream that names a rate. All daemons
// have more requests for it than it takes.
type fleet struct {
	t       *testing.T
	ctx     context.Context
	started time.Time

	wg       sync.WaitGroup
	mu       sync.Mutex
	rnd      *rand.Rand
	keepers  map[string]*Keeper // by peer address, which is also the daemon's ID
	daemons  atomic.Int64       // number of keepers
	cancel   map[string]context.CancelFunc
	leader   string
	term     uint64
	cut      map[string]bool // daemons that reach no other daemon
	named    string          // what the upstream names now; empty: nothing
	arrivals []arrival
}

type arrival struct {
	at     time.Time
	daemon string
}

var named = upstream.Announcement{ID: "u", Incarnation: 1, Service: "s"}

func newFleet(t *testing.T, ctx context.Context, seed uint64, daemons int) *fleet {
	f := &fleet{t: t, ctx: ctx, started: time.Now(), rnd: rand.New(rand.NewPCG(seed, 1)), keepers: map[string]*Keeper{}, cancel: map[string]context.CancelFunc{}, cut: map[string]bool{}}
	f.elect("d0")
	for i := range daemons {
		f.start(fmt.Sprint("d", i))
	}
	return f
}

// start starts a daemon, or a new process of it, with callers that try each 20 to 60 ms.
func (f *fleet) start(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if stop := f.cancel[id]; stop != nil {
		stop()
	}
	ctx, cancel := context.WithCancel(f.ctx)
	k := NewKeeper(Deployment{
		Daemon: id, Leads: func() (uint64, bool) { return f.leads(id) }, Daemons: func() int { return int(f.daemons.Load()) },
		Replicas:      func() []string { return []string{"d0", "d1", "d2", "d5", "d6"} },
		LeaderAddress: func() string { return f.knownLeader(id) },
		Broadcast:     func(_ string, params any) { f.broadcast(id, params.([]SentCap)) },
		Ask: func(ctx context.Context, address string, q AcquireRequest) (AcquireReply, error) {
			return f.call(ctx, id, address, q)
		},
		Gone: func(string, int64) bool { return false },
	}, log.New(io.Discard))
	f.keepers[id], f.cancel[id] = k, cancel
	f.daemons.Store(int64(len(f.keepers)))
	f.wg.Go(func() { k.Run(ctx) })
	purpose := Purpose(f.rnd.IntN(2))
	f.wg.Go(func() {
		for ctx.Err() == nil {
			f.try(ctx, id, k, purpose)
			time.Sleep(time.Duration(20+f.random(40)) * time.Millisecond)
		}
	})
}

func (f *fleet) random(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.IntN(n)
}

// try sends a request to the upstream if the keeper allows it. The answer comes 5 ms later.
func (f *fleet) try(ctx context.Context, id string, k *Keeper, p Purpose) {
	if _, ok := k.Acquire(ctx, named, p, "r"); !ok || ctx.Err() != nil {
		return
	}
	sentAt := time.Now()
	f.mu.Lock()
	a := Answer{Upstream: named, SentAt: sentAt}
	if f.named != "" {
		a.Named = []string{f.named}
	}
	f.arrivals = append(f.arrivals, arrival{sentAt, id})
	f.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	k.Answered(a)
}

func (f *fleet) leads(id string) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term, f.leader == id && !f.cut[id]
}

// knownLeader returns the leader if the daemon is a replica that knows one.
func (f *fleet) knownLeader(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id != "d0" && id != "d1" || f.cut[id] || f.leader == id {
		return ""
	}
	return f.leader
}

// elect makes a daemon the leader of a new term; "" leaves the group without one.
func (f *fleet) elect(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = id
	f.term++
}

func (f *fleet) isolate(id string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[id] = cut
}

func (f *fleet) name(rate string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.named = rate
}

func (f *fleet) reachable(from, to string) *Keeper {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[from] || f.cut[to] {
		return nil
	}
	return f.keepers[to]
}

func (f *fleet) call(ctx context.Context, from, to string, q AcquireRequest) (AcquireReply, error) {
	time.Sleep(time.Duration(1+f.random(3)) * time.Millisecond)
	k := f.reachable(from, to)
	if k == nil {
		<-ctx.Done()
		return AcquireReply{}, ctx.Err()
	}
	r, err := k.Issue(q)
	if f.random(50) == 0 {
		return AcquireReply{}, errors.New("the reply was lost")
	}
	time.Sleep(time.Duration(1+f.random(3)) * time.Millisecond)
	return r, err
}

func (f *fleet) broadcast(from string, caps []SentCap) {
	f.mu.Lock()
	var ids []string
	for id := range f.keepers {
		if id != from && f.rnd.IntN(10) > 0 { // some are lost
			ids = append(ids, id)
		}
	}
	f.mu.Unlock()
	for _, id := range ids {
		if k := f.reachable(from, id); k != nil {
			f.wg.Go(func() { k.Told(caps) })
		}
	}
}

// between returns the number of arrivals in a part of the test, without those of some
// daemons.
func (f *fleet) between(from, to time.Duration, without ...string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
next:
	for _, a := range f.arrivals {
		for _, id := range without {
			if a.daemon == id {
				continue next
			}
		}
		if at := a.at.Sub(f.started); at >= from && at < to {
			n++
		}
	}
	return n
}

// expectWithin fails if within any 4 s of a part of the test more arrived than the rate
// allows: one and a half times as many, plus 5.
func (f *fleet) expectWithin(rate float64, from, to time.Duration, without ...string) {
	const span = 4 * time.Second
	for at := from; at+span <= to; at += 100 * time.Millisecond {
		if n := f.between(at, at+span, without...); float64(n) > 1.5*rate*span.Seconds()+5 {
			f.t.Errorf("%d requests in 4 s from %v, at a rate of %g", n, at, rate)
			return
		}
	}
}

// run plays a day with seeds and lets steps happen at their times, in seconds.
func runFleet(t *testing.T, seeds uint64, daemons int, until float64, steps func(f *fleet) map[float64]func(), check func(f *fleet)) {
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := newFleet(t, ctx, seed, daemons)
			todo := steps(f)
			for tenth := 0; float64(tenth) <= until*10; tenth++ {
				if step := todo[float64(tenth)/10]; step != nil {
					step()
				}
				time.Sleep(100 * time.Millisecond)
			}
			cancel()
			f.wg.Wait()
			check(f)
			if t.Failed() {
				t.Log("seed", seed)
			}
		})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against an upstream that gets more than the rate that it names when entries come,
// restart or are cut off, when the leader changes or there is none for some seconds, and when
// notices and replies are lost; and against a rate that is not used meanwhile.
func TestFleetKeepsToTheRateThroughTroubles(t *testing.T) {
	for _, c := range []struct {
		daemons int
		rate    float64
	}{{7, 3}, {7, 0.5}, {60, 3}, {60, 40}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			runFleet(t, 4, c.daemons, 40, func(f *fleet) map[float64]func() {
				return map[float64]func(){
					1:  func() { f.name(fmt.Sprint(c.rate)) },
					10: func() { f.elect("d1") },
					14: func() { f.elect("") },
					18: func() { f.elect("d2") },
					22: func() { f.start("d4"); f.start("new") },
					26: func() { f.isolate("d3", true) },
					33: func() { f.isolate("d3", false) },
					34: func() { f.start("d2") },
				}
			}, func(f *fleet) {
				// A restarted or isolated daemon is excused; what it does is not the others' business.
				f.expectWithin(c.rate, seconds(4), seconds(22))
				f.expectWithin(c.rate, seconds(22), seconds(40), "d4", "new", "d3", "d2")
				g := NewWithT(f.t)
				used := func(from, to float64) float64 { return float64(f.between(seconds(from), seconds(to))) / (to - from) }
				g.Expect(used(4, 14)).To(BeNumerically(">=", 0.8*c.rate-0.2))
				g.Expect(used(14, 18)).To(BeNumerically(">=", 0.4*c.rate-0.5), "without a leader each daemon uses its share")
				g.Expect(used(19, 40)).To(BeNumerically(">=", 0.8*c.rate-0.2))
			})
		})
	}
}

// Guards against a rate that only ever sinks, and against all daemons returning at once to an
// upstream that has just withdrawn its rate.
func TestFleetFollowsARateThatRisesAndGoes(t *testing.T) {
	runFleet(t, 4, 10, 50, func(f *fleet) map[float64]func() {
		return map[float64]func(){
			1:  func() { f.name("8") },
			12: func() { f.name("2") },
			25: func() { f.name("12") },
			37: func() { f.name("") },
		}
	}, func(f *fleet) {
		f.expectWithin(8, seconds(4), seconds(12))
		f.expectWithin(2, seconds(14), seconds(25))
		f.expectWithin(12, seconds(26), seconds(37))
		g := NewWithT(f.t)
		g.Expect(f.between(seconds(28), seconds(36))).To(BeNumerically(">=", 0.8*12*8), "a higher rate is used")
		g.Expect(f.between(seconds(37), seconds(38))).To(BeNumerically("<=", 40), "the bound grows with time")
		g.Expect(f.between(seconds(45), seconds(50))).To(BeNumerically(">=", 10*5*15), "the bound has gone")
	})
}

// Guards against daemons that go on as before because they have not heard the upstream
// themselves: a daemon learns of a rate from the leader, also one that was just started.
func TestDaemonsLearnOfARateThatOnlyOthersHaveRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(t, ctx, 1, 20)
		time.Sleep(time.Second)
		other := upstream.Announcement{ID: "other", Incarnation: 1, Service: "s"}
		f.keepers["d7"].Answered(Answer{Upstream: other, SentAt: time.Now(), Named: []string{"0.5"}})
		knows := func(id string) bool {
			f.keepers[id].mu.Lock()
			defer f.keepers[id].mu.Unlock()
			_, ok := f.keepers[id].recorder.table.Get(time.Now(), "other", 1)
			return ok
		}
		time.Sleep(5 * time.Second)
		f.start("late")
		time.Sleep(500 * time.Millisecond)
		for id := range f.keepers {
			g.Expect(knows(id)).To(BeTrue(), id)
		}
		cancel()
		f.wg.Wait()
	})
}

// Guards against a rate that never ends because daemons report as read what the leader told
// them: on each way the moment of the last naming would move on, past the answers without it.
func TestRateThatWasToldIsNotReportedAsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(t, ctx, 1, 6)
		lead := f.keepers["d0"]
		readAt := time.Now()
		lead.Answered(Answer{Upstream: named, SentAt: readAt, Named: []string{"12"}})
		time.Sleep(300 * time.Millisecond)
		for range 50 {
			time.Sleep(20 * time.Millisecond)
			lead.mu.Lock()
			c, ok := lead.recorder.table.Get(time.Now(), named.ID, named.Incarnation)
			lead.mu.Unlock()
			if !ok || !c.EndedAt.IsZero() {
				break
			}
			g.Expect(c.NamedAt).To(Equal(readAt))
		}
		time.Sleep(2 * time.Second)
		lead.mu.Lock()
		c := lead.recorder.table.caps[named.ID]
		lead.mu.Unlock()
		g.Expect(c.EndedAt.IsZero()).To(BeFalse(), "two answers without it end it")
		cancel()
		f.wg.Wait()
	})
}
