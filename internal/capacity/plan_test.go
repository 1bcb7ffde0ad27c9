package capacity

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/testkit"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

const hintText = `[service]
name = hint
kind = model
owner = owner
[route:chat]
path = /chat
idempotent = true
[capacity]
zones = a, b, c
floor = 1
ceiling = 6
cheap_share = 0.5
price = 10
price_cheap = 3
spending_cap = %d
concurrency = 10
start_limit = 60s
`

// site is a control log, a platform and its upstreams.
type site struct {
	s       *state.State
	now     time.Time
	tracker *Tracker
	live    map[string]upstream.Announcement // by order
	refuse  map[place]bool
	demand  int
	sent    []state.Order // orders that reached the platform
	dead    bool          // accepted orders bring no upstream
	version uint64
	tick    time.Duration // of a step
}

func newSite(spendingCap int) *site {
	x := &site{
		s: state.New(), now: time.Unix(1_800_000_000, 0).UTC(), tracker: NewTracker(),
		live: map[string]upstream.Announcement{}, refuse: map[place]bool{}, tick: time.Second,
	}
	x.s.Apply(state.Command{AccountCreate: &state.AccountCreate{Name: "owner"}})
	x.put(spendingCap)
	return x
}

func (x *site) put(spendingCap int) {
	x.version++
	x.apply(state.Command{ServicePut: &state.ServicePut{Name: "hint", Version: x.version, Text: fmt.Sprintf(hintText, spendingCap)}})
}

func (x *site) apply(c state.Command) state.Outcome {
	c.At = x.now
	return x.s.Apply(c)
}

func (x *site) orders() []state.Order {
	var out []state.Order
	for _, o := range x.s.Ledger.Orders {
		out = append(out, o)
	}
	return out
}

func (x *site) announcements() []upstream.Announcement {
	var out []upstream.Announcement
	for _, u := range x.live {
		u.Running = x.demand / len(x.live)
		out = append(out, u)
	}
	return out
}

// step plans, commits and delivers once, a tick later.
func (x *site) step() Decision {
	x.now = x.now.Add(x.tick)
	doc := x.s.Config.Services["hint"].Parsed
	d := Plan(Input{Now: x.now, Doc: doc, Live: x.announcements(), Orders: x.orders()}, x.tracker)
	for _, c := range d.OrderUpdates {
		x.apply(state.Command{OrderUpdate: &c})
	}
	for _, w := range d.NewOrders {
		id := fmt.Sprintf("o%d", x.s.Ledger.LastOrder+1)
		x.apply(state.Command{OrderCreate: &state.OrderCreate{ID: id, After: x.s.Ledger.LastOrder, Service: w.Service, Zone: w.Zone, Class: w.Class}})
	}
	for _, o := range x.orders() {
		x.deliver(o)
	}
	return d
}

func (x *site) deliver(o state.Order) {
	c := state.OrderUpdate{ID: o.ID, State: state.OrderPlaced}
	switch o.State {
	case state.OrderOpen:
		x.sent = append(x.sent, o)
		if x.refuse[place{o.Zone, o.Class}] {
			c.State = state.OrderRefused
		} else if !x.dead {
			x.live[o.ID] = upstream.Announcement{ID: "u" + o.ID, Service: "hint", Zone: o.Zone, Class: o.Class, Order: o.ID, Concurrency: 10}
		}
	case state.OrderReleasing:
		delete(x.live, o.ID)
		c.State = state.OrderEnded
	default:
		return
	}
	x.apply(state.Command{OrderUpdate: &c})
}

func (x *site) run(d time.Duration) {
	for range int(d / x.tick) {
		x.step()
	}
}

func (x *site) count(p place) int {
	n := 0
	for _, u := range x.live {
		if u.Zone == p.zone && u.Class == p.class {
			n++
		}
	}
	return n
}

func (x *site) class(class string) int {
	return x.count(place{"a", class}) + x.count(place{"b", class}) + x.count(place{"c", class})
}

// vanish takes every upstream of a class in a zone away without a word.
func (x *site) vanish(p place) {
	for id, u := range x.live {
		if u.Zone == p.zone && u.Class == p.class {
			delete(x.live, id)
		}
	}
}

func TestFloorsThenCheapShareThenWholeCheapZoneLost(t *testing.T) {
	g := NewWithT(t)
	x := newSite(0)
	x.run(3 * time.Second)
	g.Expect(x.sent).To(HaveLen(3), "the floors and nothing else while there is no load")
	x.demand = 80 // ceil(80 / (10 * 0.7)) = 12
	x.run(5 * time.Second)
	g.Expect([]int{x.class("regular"), x.class("cheap")}).To(Equal([]int{6, 6}))
	for _, zone := range []string{"a", "b", "c"} {
		g.Expect(len(x.live)-x.count(place{zone, "cheap"})).To(BeNumerically(">=", 8), "zone %s may vanish: 80 requests need 8", zone)
	}
	x.vanish(place{"b", "cheap"})
	x.refuse[place{"b", "cheap"}] = true
	x.run(20 * time.Second)
	g.Expect([]int{x.class("regular") + x.class("cheap"), x.count(place{"b", "cheap"})}).To(Equal([]int{12, 0}))
}

func TestCheapOnesThatOneZoneHasNeverFillIt(t *testing.T) {
	g := NewWithT(t)
	x := newSite(0)
	x.refuse[place{"a", "cheap"}], x.refuse[place{"c", "cheap"}] = true, true
	x.demand = 60
	x.run(30 * time.Second)
	g.Expect(x.count(place{"b", "cheap"})).To(Equal(3), "9 less the 6 that 60 requests need")
	g.Expect(x.live).To(HaveLen(9))
}

// The notice of a reclaim is enough: the replacements stand, elsewhere, before
// the upstreams go.
func TestReclaimNoticeBringsReplacementsBeforeTheLoss(t *testing.T) {
	g := NewWithT(t)
	x := newSite(0)
	x.demand = 80
	x.run(5 * time.Second)
	noticed := x.count(place{"b", "cheap"})
	for id, u := range x.live {
		if u.Zone == "b" && u.Class == "cheap" {
			u.ReclaimAt = x.now.Add(30 * time.Second).UnixMilli()
			x.live[id] = u
		}
	}
	x.run(3 * time.Second)
	g.Expect(x.live).To(HaveLen(12 + noticed))
	g.Expect(x.count(place{"b", "cheap"})).To(Equal(noticed), "none is ordered where the notice was given")
	x.vanish(place{"b", "cheap"})
	x.run(20 * time.Second)
	g.Expect(x.live).To(HaveLen(12))
}

func TestRefusedCheapClassIsAskedLessAndRegularStandsIn(t *testing.T) {
	g := NewWithT(t)
	x := newSite(0)
	for _, z := range []string{"a", "b", "c"} {
		x.refuse[place{z, "cheap"}] = true
	}
	x.demand = 80
	x.run(time.Hour)
	g.Expect(x.class("regular")).To(Equal(12))
	refused := len(x.sent) - 12
	g.Expect(refused).To(BeNumerically("<=", 3*(7+12)), "an hour of pauses up to 5 minutes in three zones")
}

func TestUpstreamThatNeverComesIsReplacedAndGivenBack(t *testing.T) {
	g := NewWithT(t)
	x := newSite(0)
	x.dead = true
	x.run(70 * time.Second)
	ended := 0
	for _, o := range x.orders() {
		if o.State == state.OrderEnded && o.Detail == state.DetailNotStarted {
			ended++
		}
	}
	g.Expect(ended).To(Equal(3))
	x.dead = false
	x.run(70 * time.Second)
	g.Expect(x.class("regular")).To(Equal(3))
}

func TestIdleUpstreamsAreReleasedCheapFirstDownToTheFloors(t *testing.T) {
	g := NewWithT(t)
	x := newSite(0)
	x.demand = 80
	x.run(5 * time.Second)
	x.demand = 0
	x.run(idleWait - 5*time.Second)
	g.Expect(x.live).To(HaveLen(12), "not before the wait")
	x.run(5*(idleWait+2*time.Second) + 30*time.Second)
	g.Expect([]int{x.class("regular"), x.class("cheap")}).To(Equal([]int{6, 0}))
	x.run(10 * (idleWait + 2*time.Second))
	g.Expect([]int{x.class("regular"), x.class("cheap")}).To(Equal([]int{3, 0}))
}

// Whatever the platform, the load and the documents do: no order exceeds the
// active cap, no zone its ceiling, two leaders never order for one plan, and when
// the trouble is over the floors stand.
func TestOrdersKeepTheirBounds(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		spendingCap := rapid.SampledFrom([]int{0, 40, 60, 100}).Draw(rt, "cap")
		x := newSite(spendingCap)
		zone := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "zone") }
		class := func() string { return rapid.SampledFrom([]string{"regular", "cheap"}).Draw(rt, "class") }
		trouble := map[string]func(){
			"load":    func() { x.demand = rapid.IntRange(0, 200).Draw(rt, "demand") },
			"vanish":  func() { x.vanish(place{zone(), class()}) },
			"refuse":  func() { x.refuse[place{zone(), class()}] = rapid.Bool().Draw(rt, "refused") },
			"dead":    func() { x.dead = rapid.Bool().Draw(rt, "dead") },
			"leader":  func() { x.tracker = NewTracker() },
			"wait":    func() { x.run(30 * time.Second) },
			"cap":     func() { spendingCap = rapid.SampledFrom([]int{0, 40, 100}).Draw(rt, "cap"); x.put(spendingCap) },
			"old one": func() { x.oldLeader(rt) },
			"greedy":  func() { x.greedyLeader() },
		}
		names := []string{"load", "vanish", "refuse", "dead", "leader", "wait", "cap", "old one", "greedy"}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			before := x.s.Ledger.Spending("hint")
			trouble[rapid.SampledFrom(names).Draw(rt, "trouble")]()
			x.step()
			after := x.s.Ledger.Spending("hint")
			if spendingCap > 0 && after > before && after > float64(spendingCap) {
				rt.Fatalf("spending grew to %g over the cap of %d", after, spendingCap)
			}
			for _, z := range []string{"a", "b", "c"} {
				if n := x.count(place{z, "regular"}) + x.count(place{z, "cheap"}); n > 6 {
					rt.Fatalf("%d upstreams in zone %s", n, z)
				}
			}
		}
		x.dead, x.refuse, x.demand = false, map[place]bool{}, 0
		x.put(0)
		x.tick = 10 * time.Second
		x.run(2*maxPause + 2*time.Minute)
		for _, z := range []string{"a", "b", "c"} {
			if n := x.count(place{z, "regular"}); n < 1 {
				rt.Fatalf("zone %s has no regular upstream", z)
			}
		}
	})
}

// oldLeader proposes an order that was planned before the newest one.
func (x *site) oldLeader(rt *rapid.T) {
	last := x.s.Ledger.LastOrder
	if last == 0 {
		return
	}
	p := state.OrderCreate{ID: "old", After: last - 1, Service: "hint", Zone: "a", Class: "regular"}
	if x.apply(state.Command{OrderCreate: &p}).Err() == nil {
		rt.Fatal("an order of an old plan was committed")
	}
}

// greedyLeader proposes an order without a look at the cap.
func (x *site) greedyLeader() {
	last := x.s.Ledger.LastOrder
	p := state.OrderCreate{ID: fmt.Sprintf("o%d", last+1), After: last, Service: "hint", Zone: "a", Class: "cheap"}
	if len(x.live) < 3 {
		x.apply(state.Command{OrderCreate: &p})
	}
}

// Upstreams that nobody ordered may make the rest idle; the floors stay.
func TestFloorIsKeptBesideIdleUpstreams(t *testing.T) {
	g := NewWithT(t)
	x := newSite(0)
	x.run(3 * time.Second)
	for i := range 9 {
		id := fmt.Sprint("own", i)
		x.live[id] = upstream.Announcement{ID: id, Service: "hint", Zone: "a", Class: "regular", Concurrency: 10}
	}
	x.run(5 * idleWait)
	g.Expect([]int{x.count(place{"b", "regular"}), x.count(place{"c", "regular"})}).To(Equal([]int{1, 1}))
	g.Expect(x.sent).To(HaveLen(3), "nothing was given back that had to be ordered again")
}

// Replicas add the prices up in one order: a rounding decides here.
func TestSpendingIsTheSameOnEveryReplica(t *testing.T) {
	g := NewWithT(t)
	for range 50 {
		l := state.New().Ledger
		for i, price := range []float64{0.1, 0.2, 0.3} {
			id := fmt.Sprint(i)
			l.Orders[id] = state.Order{ID: id, Service: "hint", Price: price, State: state.OrderOpen}
		}
		g.Expect(l.Spending("hint")).To(Equal(0.6000000000000001), "0.1 and 0.2 first")
	}
}
