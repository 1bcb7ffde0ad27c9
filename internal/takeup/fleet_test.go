package takeup

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// fleet is a set of daemons in virtual time. Messages take 1 to 3 ms.
type fleet struct {
	ctx context.Context
	wg  sync.WaitGroup

	mu          sync.Mutex
	rnd         *rand.Rand
	incarnation int64
	keepers     map[string]*Keeper // by ID, which is also the peer address
	stop        map[string]context.CancelFunc
	replicas    []Replica // the live ones
	upstreams   map[string]upstream.Announcement
}

func newFleet(ctx context.Context, seed uint64, entries, replicas int) *fleet {
	f := &fleet{ctx: ctx, rnd: rand.New(rand.NewPCG(seed, 2)), keepers: map[string]*Keeper{}, stop: map[string]context.CancelFunc{}, upstreams: map[string]upstream.Announcement{}}
	for i := range replicas {
		f.startReplica(i)
	}
	for i := range entries {
		f.start(fmt.Sprint("e", i))
	}
	time.Sleep(settlingTime)
	return f
}

func (f *fleet) startReplica(i int) {
	id := fmt.Sprint("r", i)
	f.start(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation++
	f.replicas = append(f.replicas, Replica{ID: id, Incarnation: f.incarnation, Zone: fmt.Sprint("z", i%3), Address: id})
}

func (f *fleet) start(id string) {
	ctx, cancel := context.WithCancel(f.ctx)
	k := NewKeeper(Deployment{
		Daemon: id, Replicas: f.live, Notify: f.notify, Ask: f.ask,
		Current: func(id string) (upstream.Announcement, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			a, ok := f.upstreams[id]
			return a, ok
		},
	}, log.New(io.Discard))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepers[id], f.stop[id] = k, cancel
	f.wg.Go(func() { k.Run(ctx) })
}

// kill ends daemons at once; what they have not sent is lost.
func (f *fleet) kill(ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.stop[id]()
		delete(f.keepers, id)
		for i, r := range f.replicas {
			if r.ID == id {
				f.replicas = append(append([]Replica(nil), f.replicas[:i]...), f.replicas[i+1:]...)
				break
			}
		}
	}
}

func (f *fleet) live() []Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas
}

func (f *fleet) keeper(id string) *Keeper {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keepers[id]
}

func (f *fleet) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Millisecond + time.Duration(f.rnd.IntN(2000))*time.Microsecond
}

func (f *fleet) notify(address, _ string, params any) {
	d := f.delay()
	f.wg.Go(func() {
		time.Sleep(d)
		if k := f.keeper(address); k != nil {
			k.Told(params.([]SentRecord))
		}
	})
}

func (f *fleet) ask(ctx context.Context, address string, q FindRequest) (FindReply, error) {
	time.Sleep(f.delay())
	k := f.keeper(address)
	if k == nil {
		return FindReply{}, result.New(result.UpstreamUnreached, "%s is down", address)
	}
	return k.Answer(q), ctx.Err()
}

// engineOf returns the upstream that begins the stream with the given number.
func engineOf(n int) upstream.Announcement {
	return upstream.Announcement{ID: fmt.Sprint("u", n%7), Incarnation: 1, Service: "s", Software: fmt.Sprint("v", n%7%2)}
}

// begin begins a stream at an entry.
func (f *fleet) begin(entry string, n int) {
	f.keeper(entry).Began("a", fmt.Sprint("q", n), engineOf(n), time.Now().Add(10*time.Second))
}

// find returns how many of n streams are found at entries, and fails if one has another origin.
func (f *fleet) find(g Gomega, n, entries int) (found int) {
	for i := range n {
		o, err := f.keeper(fmt.Sprint("e", i%entries)).Find(f.ctx, "a", fmt.Sprint("q", i))
		if err != nil {
			g.Expect(result.CodeOf(err)).To(Equal(result.OriginUnknown))
			continue
		}
		g.Expect(o).To(Equal(origin.Of(engineOf(i))))
		found++
	}
	return found
}

func inFleet(t *testing.T, entries, replicas int, test func(g Gomega, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 1, entries, replicas)
		test(NewWithT(t), f)
		time.Sleep(time.Second) // for replies that nobody waits for
		cancel()
		f.wg.Wait()
	})
}

// Guards against streams that nobody knows, and that callers cannot take up, after all entries
// were killed at once together with all replicas of a zone.
func TestStreamsAreKnownAfterAllEntriesAndAZoneWereKilled(t *testing.T) {
	const streams = 300
	inFleet(t, 6, 6, func(g Gomega, f *fleet) {
		for i := range streams {
			f.begin(fmt.Sprint("e", i*7%6), i)
			time.Sleep(3 * time.Millisecond)
		}
		f.kill("e0", "e1", "e2", "e3", "e4", "e5", "r0", "r3")
		for i := range 6 {
			f.start(fmt.Sprint("e", i))
		}
		g.Expect(f.find(g, streams, 6)).To(BeNumerically(">=", streams-(int(sendDelay/time.Millisecond)+3)/3-1), "but for those of the last milliseconds")
	})
}

// Guards against records that are lost because the replicas that keep them restart one after
// the other, as in an update.
func TestStreamsAreKnownAfterAllReplicasRestartedInTurn(t *testing.T) {
	const streams = 200
	inFleet(t, 6, 5, func(g Gomega, f *fleet) {
		for i := range streams {
			f.begin("e0", i)
		}
		for i := range 5 {
			f.kill(fmt.Sprint("r", i))
			time.Sleep(300 * time.Millisecond)
			f.startReplica(i)
			time.Sleep(700 * time.Millisecond)
		}
		f.kill("e0")
		f.start("e0")
		g.Expect(f.find(g, streams, 6)).To(Equal(streams))
	})
}

// Guards against origins that are guessed: of another account, of an id that was used twice,
// of an upstream that started again under its id with another version, or of a stream that
// ended long ago. Each is refused, at once and for good.
func TestOriginIsRefusedWhenItIsNotCertain(t *testing.T) {
	inFleet(t, 3, 5, func(g Gomega, f *fleet) {
		for _, n := range []int{0, 1, 2} {
			f.begin("e0", n)
		}
		f.begin("e1", 102)                                                               // by u4, v0
		f.keeper("e0").Began("a", "q102", engineOf(103), time.Now().Add(10*time.Second)) // by u5, v1
		f.mu.Lock()
		f.upstreams["u2"] = upstream.Announcement{ID: "u2", Incarnation: 2, Service: "s", Software: "v1"} // v0 before
		f.upstreams["u1"] = upstream.Announcement{ID: "u1", Incarnation: 2, Service: "s", Software: "v1"} // as before
		f.mu.Unlock()
		time.Sleep(time.Second)
		refused := func(account, request string) {
			for i := range 3 {
				began := time.Now()
				_, err := f.keeper(fmt.Sprint("e", i)).Find(f.ctx, account, request)
				g.Expect(result.CodeOf(err)).To(Equal(result.OriginUnknown), request)
				g.Expect(result.From(err).RetryAfter).To(BeZero())
				g.Expect(time.Since(began)).To(BeNumerically("<", 50*time.Millisecond))
			}
		}
		refused("b", "q0")
		refused("a", "never sent")
		refused("a", "q2")
		_, err := f.keeper("e2").Find(f.ctx, "a", "q1")
		g.Expect(err).NotTo(HaveOccurred(), "started again with the same version")
		_, err = f.keeper("e2").Find(f.ctx, "a", "q102")
		g.Expect(result.CodeOf(err)).To(Equal(result.OriginUnknown), "used twice")
		time.Sleep(10*time.Second + retention)
		refused("a", "q0")
	})
}

// Guards against a refusal for good while a keeper that may know the stream does not answer,
// and against callers who wait for it until their time is up.
func TestCallerReturnsWhenKeepersDoNotAnswer(t *testing.T) {
	inFleet(t, 2, 3, func(g Gomega, f *fleet) {
		f.begin("e0", 1)
		time.Sleep(time.Second)
		f.mu.Lock()
		for _, id := range []string{"r0", "r1", "r2"} {
			f.stop[id]()
			delete(f.keepers, id) // still listed as live
		}
		f.mu.Unlock()
		began := time.Now()
		_, err := f.keeper("e1").Find(f.ctx, "a", "q1")
		g.Expect(result.CodeOf(err)).To(Equal(result.OriginUnknown))
		g.Expect(result.From(err).RetryAfter).To(Equal(findRetryAfter))
		g.Expect(time.Since(began)).To(BeNumerically("<=", findTimeout))
	})
}
