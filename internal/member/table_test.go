package member

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func daemon(id string, seq uint64) Daemon {
	return Daemon{ID: id, Incarnation: 1, Seq: seq, Region: "r", Fresh: true, PeerAddress: id}
}

func ids(ds []Daemon) []string {
	var out []string
	for _, d := range ds {
		out = append(out, d.ID)
	}
	return out
}

var _ = Describe("Table", func() {
	var t *Table
	BeforeEach(func() {
		t = NewTable(daemon("a", 1))
		t.Merge(epoch, daemon("b", 1))
		t.Merge(epoch, daemon("c", 1))
	})

	It("ejects a suspected daemon only if it does not refute the suspicion in time", func() {
		t.Suspect(epoch, daemon("b", 1))
		t.Suspect(epoch, daemon("c", 1))
		t.Merge(epoch.Add(SuspicionTimeout/2), daemon("c", 2))
		t.Expire(epoch.Add(SuspicionTimeout))
		Expect(ids(t.Live())).To(Equal([]string{"a", "c"}))
	})

	It("rejects an old description of an ejected daemon and accepts a newer one", func() {
		t.Suspect(epoch, daemon("b", 1))
		t.Expire(epoch.Add(SuspicionTimeout))
		t.Merge(epoch.Add(SuspicionTimeout), daemon("b", 1))
		Expect(ids(t.Live())).NotTo(ContainElement("b"))
		t.Merge(epoch.Add(SuspicionTimeout), daemon("b", 2))
		Expect(ids(t.Live())).To(ContainElement("b"))
	})

	// Guards against a daemon that is missing from the other tables for tombstoneTTL,
	// because it was ejected while it was cut off and never heard of the suspicion.
	It("lists an ejected daemon again once it has learned of its ejection", func() {
		b := NewTable(daemon("b", 1))
		t.Suspect(epoch, daemon("b", 1))
		t.Expire(epoch.Add(SuspicionTimeout))
		now := epoch.Add(2 * SuspicionTimeout)
		Expect(t.Merge(now, b.Self())).To(BeFalse())
		Expect(b.Renew(*t.Rejection(now, b.Self()))).To(BeTrue())
		Expect(t.Merge(now, b.Self())).To(BeTrue())
		Expect(t.Rejection(now, b.Self())).To(BeNil())
		Expect(ids(t.Live())).To(ContainElement("b"))
	})

	// Guards against a replica that lost its disk and counts as live under its old
	// identity, because its clock was set back before it started again.
	It("replaces the description of a daemon that started again with its clock set back", func() {
		old, restarted := daemon("b", 7), daemon("b", 1)
		old.Incarnation, old.Replica = 50, "b.old"
		restarted.Incarnation, restarted.Replica = 40, "b.new"
		t.Merge(epoch, old)
		b := NewTable(restarted)
		Expect(t.Merge(epoch, b.Self())).To(BeFalse())
		Expect(b.Renew(*t.Rejection(epoch, b.Self()))).To(BeTrue())
		b.SetSelf(restarted) // the daemon describes itself without the epoch
		Expect(t.Merge(epoch, b.Self())).To(BeTrue())
		Expect(t.Live()).To(ContainElement(And(HaveField("Replica", "b.new"), HaveField("Incarnation", int64(40)))))
		Expect(t.Merge(epoch, old)).To(BeFalse())
	})

	It("keeps its description when another daemon knows the same or an older one", func() {
		b := NewTable(daemon("b", 5))
		Expect(b.Renew(Rejection{Known: daemon("b", 5)})).To(BeFalse())
		Expect(b.Renew(Rejection{Known: daemon("b", 4), Ejected: true})).To(BeFalse())
		Expect(b.Renew(Rejection{Known: daemon("c", 9), Ejected: true})).To(BeFalse())
		Expect(b.Self().Seq).To(Equal(uint64(5)))
	})

	It("ignores a suspicion of an older description", func() {
		t.Merge(epoch, daemon("b", 3))
		t.Suspect(epoch, daemon("b", 2))
		t.Expire(epoch.Add(SuspicionTimeout))
		Expect(ids(t.Live())).To(ContainElement("b"))
	})

	It("refutes a suspicion of itself", func() {
		Expect(t.Suspect(epoch, t.Self())).To(BeTrue())
		old := t.Self()
		t.Refute()
		Expect(t.Self().compareVersion(old)).To(BeNumerically(">", 0))
		Expect(t.Suspect(epoch, old)).To(BeFalse())
	})

	It("announces a change, but not of load alone", func() {
		d := daemon("a", 0)
		d.InFlight = 7
		Expect(t.SetSelf(d)).To(BeFalse())
		d.Draining = true
		Expect(t.SetSelf(d)).To(BeTrue())
		Expect(t.SetSelf(d)).To(BeFalse())
	})

	It("probes every daemon once per round", func() {
		rnd := rand.New(rand.NewPCG(1, 1))
		seen := map[string]int{}
		for range 6 {
			d, ok := t.NextProbe(rnd, maxDirect)
			Expect(ok).To(BeTrue())
			seen[d.ID]++
		}
		Expect(seen).To(Equal(map[string]int{"b": 3, "c": 3}))
	})

	It("holds the same descriptions and hash whatever the order of announcements", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			var announcements []Daemon
			for range rapid.IntRange(1, 20).Draw(rt, "n") {
				d := daemon(fmt.Sprintf("d%d", rapid.IntRange(0, 4).Draw(rt, "id")), rapid.Uint64Range(1, 5).Draw(rt, "seq"))
				d.Draining = d.Seq%2 == 0
				announcements = append(announcements, d)
			}
			x, y := NewTable(daemon("a", 1)), NewTable(daemon("a", 1))
			for _, d := range announcements {
				x.Merge(epoch, d)
			}
			for _, d := range rapid.Permutation(announcements).Draw(rt, "order") {
				y.Merge(epoch, d)
			}
			if x.Hash() != y.Hash() || fmt.Sprint(x.Live()) != fmt.Sprint(y.Live()) {
				rt.Fatalf("%v differs from %v", x.Live(), y.Live())
			}
		})
	})
})

var _ = Describe("Entries", func() {
	It("lists fresh daemons that are not draining, the caller's zone first, then by load", func() {
		ds := []Daemon{
			{ID: "far", Zone: "b", Fresh: true, CallerAddress: "x"},
			{ID: "busy", Zone: "a", Fresh: true, InFlight: 3, CallerAddress: "x"},
			{ID: "idle", Zone: "a", Fresh: true, CallerAddress: "x"},
			{ID: "old", Zone: "a", CallerAddress: "x"},
			{ID: "leaving", Zone: "a", Fresh: true, Draining: true, CallerAddress: "x"},
			{ID: "no entry", Zone: "a", Fresh: true},
		}
		Expect(ids(Entries(ds, "a"))).To(Equal([]string{"idle", "busy", "far"}))
	})

	It("lists daemons that are not fresh while none is fresh, as when the control group has no quorum", func() {
		ds := []Daemon{
			{ID: "far", Zone: "b", CallerAddress: "x"},
			{ID: "near", Zone: "a", CallerAddress: "x"},
			{ID: "leaving", Zone: "a", Draining: true, CallerAddress: "x"},
		}
		Expect(ids(Entries(ds, "a"))).To(Equal([]string{"near", "far"}))
	})
})
