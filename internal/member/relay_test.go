package member

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/peer"
)

// fleet is a set of daemons on loopback that know each other, spread over three zones.
// Notices go through relays.
type fleet struct {
	daemons  []*testDaemon
	received []atomic.Int64 // notices of the method "news", by daemon
}

func newFleet(n int) *fleet {
	f := &fleet{received: make([]atomic.Int64, n)}
	for i := range n {
		d := newTestDaemon(fmt.Sprintf("d%02d", i), 1, "")
		self := *d.self.Load()
		self.Zone = fmt.Sprint("z", i%3)
		d.self.Store(&self)
		d.maxDirect = 3
		peer.HandleNotice(d.server, "news", func(string) { f.received[i].Add(1) })
		peer.Handle(d.server, "ask", func(context.Context, string) (struct{}, error) {
			f.received[i].Add(1)
			return struct{}{}, nil
		})
		d.AnnounceChanges()
		f.daemons = append(f.daemons, d)
	}
	for _, a := range f.daemons {
		for _, b := range f.daemons {
			a.merge(b.localPing().From)
		}
	}
	return f
}

func (f *fleet) counts() []int64 {
	var out []int64
	for i := range f.received {
		out = append(out, f.received[i].Load())
	}
	return out
}

// everyOther returns the counts when all daemons but the sender have received n.
func everyOther(size, sender int, n int64) []int64 {
	out := slices.Repeat([]int64{n}, size)
	out[sender] = 0
	return out
}

var _ = Describe("Relays", func() {
	const size = 15

	// The pattern of hundreds of daemons that each hear of every upstream: as many connections
	// and notices as pairs of daemons.
	It("pass a notice to every daemon once, while the sender reaches one in each zone", func() {
		f := newFleet(size)
		relays := map[string]bool{}
		for _, a := range f.daemons[0].relays() {
			relays[a] = true
		}
		Expect(relays).To(HaveLen(3))
		sender := slices.IndexFunc(f.daemons, func(d *testDaemon) bool { return !relays[d.self.Load().PeerAddress] })
		f.daemons[sender].Broadcast("news", "x")
		Eventually(f.counts).Should(Equal(everyOther(size, sender, 1)))
		Consistently(f.counts, 300*time.Millisecond).Should(Equal(everyOther(size, sender, 1)))
		for i, d := range f.daemons {
			if i != sender {
				Expect(f.daemons[sender].client.Connected(d.self.Load().PeerAddress)).To(Equal(relays[d.self.Load().PeerAddress]))
			}
		}
	})

	It("pass many notices in few batches", func() {
		f := newFleet(size)
		for range 100 {
			f.daemons[0].Broadcast("news", "x")
		}
		Eventually(f.counts).Should(Equal(everyOther(size, 0, 100)))
	})

	// Guards against a zone that hears of nothing while its relay is down, not even that it is
	// down.
	It("leave out a suspected daemon", func() {
		f := newFleet(size)
		relay := f.daemons[0].relays()["z1"]
		i := slices.IndexFunc(f.daemons, func(d *testDaemon) bool { return d.self.Load().PeerAddress == relay })
		f.daemons[i].close()
		suspected, _ := f.daemons[0].table.Get(f.daemons[i].self.Load().ID)
		f.daemons[0].handleSuspicion(suspected)
		f.daemons[0].Broadcast(MethodSuspect, suspected)
		for j, d := range f.daemons {
			if j != i {
				Eventually(func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.table.suspects(suspected.ID) }).Should(BeTrue())
			}
		}
	})

	It("confirm a call of all daemons, also of a zone whose relay is gone", func() {
		f := newFleet(size)
		r, err := f.daemons[4].ConfirmAll(context.Background(), "ask", "x", 2*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(ZoneReply{Called: size - 1, Confirmed: size - 1}))
		Expect(f.counts()).To(Equal(everyOther(size, 4, 1)))
		relay := f.daemons[4].relays()["z2"]
		i := slices.IndexFunc(f.daemons, func(d *testDaemon) bool { return d.self.Load().PeerAddress == relay })
		f.daemons[i].close()
		r, err = f.daemons[4].ConfirmAll(context.Background(), "ask", "x", 2*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(ZoneReply{Called: size - 1, Confirmed: size - 2}))
	})

	It("do not pass on batches within batches", func() {
		f := newFleet(size)
		inner, err := json.Marshal([]RelayedNotice{{Method: "news", Params: json.RawMessage(`"x"`)}})
		Expect(err).NotTo(HaveOccurred())
		f.daemons[1].handleRelayed([]RelayedNotice{{Method: MethodRelay, Params: inner}}, f.daemons[1].server.Dispatch)
		Consistently(f.counts, 200*time.Millisecond).Should(Equal(make([]int64, size)))
	})

	It("bound the notices that wait", func() {
		var sent atomic.Int64
		b := batcher{delay: time.Hour, sentAt: time.Now(), send: func(ns []RelayedNotice) { sent.Add(int64(len(ns))) }}
		for range maxQueuedRelay + 100 {
			b.add(RelayedNotice{Method: "news"})
		}
		b.flush()
		Expect(sent.Load()).To(Equal(int64(maxQueuedRelay)))
	})
})

// Every daemon must be probed by others, whatever the IDs, and each daemon probes few.
var _ = Describe("Probes of a large deployment", func() {
	It("reach every daemon from the same number of others", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			n := rapid.IntRange(20, 120).Draw(rt, "daemons")
			var all []Daemon
			for i := range n {
				all = append(all, daemon(fmt.Sprintf("%s-%d", rapid.SampledFrom([]string{"front-a", "front-b", "store-c"}).Draw(rt, "id"), i), 1))
			}
			probedBy := map[string]int{}
			rnd := rand.New(rand.NewPCG(1, 2))
			for _, self := range all {
				t := NewTable(self)
				for _, d := range all {
					t.Merge(epoch, d)
				}
				probed := map[string]bool{}
				for range 3 * successors {
					d, ok := t.NextProbe(rnd, 10)
					Expect(ok).To(BeTrue())
					probed[d.ID] = true
				}
				Expect(probed).To(HaveLen(successors))
				for id := range probed {
					probedBy[id]++
				}
			}
			for _, d := range all {
				Expect(probedBy[d.ID]).To(Equal(successors))
			}
		})
	})

	// Guards against a daemon that stays listed because the notice of its suspicion was lost.
	It("begin with those that another table lacks", func() {
		t := NewTable(daemon("self", 1))
		for i := range 30 {
			t.Merge(epoch, daemon(fmt.Sprint("d", i), 1))
		}
		t.ProbeFirst(func(id string) bool { return id == "d7" || id == "d8" })
		rnd := rand.New(rand.NewPCG(1, 2))
		first, _ := t.NextProbe(rnd, 10)
		second, _ := t.NextProbe(rnd, 10)
		Expect([]string{first.ID, second.ID}).To(ConsistOf("d7", "d8"))
	})
})
