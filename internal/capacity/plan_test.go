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

const serviceText = `[service]
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

// simCluster simulates the control log, the platform and the upstreams of one service.
type simCluster struct {
	controlState *state.State
	now          time.Time
	tracker      *Tracker
	live         map[string]upstream.Announcement // by order id
	rejecting    map[place]bool
	demand       int
	placed       []state.Order // orders that the platform received
	neverStart   bool          // accepted orders start no upstream
	version      uint64
	tick         time.Duration // time between two steps
}

func newSimCluster(spendingCap int) *simCluster {
	x := &simCluster{
		controlState: state.New(), now: time.Unix(1_800_000_000, 0).UTC(), tracker: NewTracker(),
		live: map[string]upstream.Announcement{}, rejecting: map[place]bool{}, tick: time.Second,
	}
	x.controlState.Apply(state.Command{AccountCreate: &state.AccountCreate{Name: "owner"}})
	x.putService(spendingCap)
	return x
}

func (x *simCluster) putService(spendingCap int) {
	x.version++
	x.apply(state.Command{ServicePut: &state.ServicePut{Name: "hint", Version: x.version, Text: fmt.Sprintf(serviceText, spendingCap)}})
}

func (x *simCluster) apply(c state.Command) state.Outcome {
	c.At = x.now
	return x.controlState.Apply(c)
}

func (x *simCluster) orders() []state.Order {
	var out []state.Order
	for _, o := range x.controlState.Ledger.Orders {
		out = append(out, o)
	}
	return out
}

func (x *simCluster) announcements() []upstream.Announcement {
	var out []upstream.Announcement
	for _, u := range x.live {
		u.Running = x.demand / len(x.live)
		out = append(out, u)
	}
	return out
}

// step advances the time by a tick, makes and commits a plan, and delivers the open and
// releasing orders.
func (x *simCluster) step() Decision {
	x.now = x.now.Add(x.tick)
	doc := x.controlState.Config.Services["hint"].Parsed
	d := Plan(Input{Now: x.now, Doc: doc, Live: x.announcements(), Orders: x.orders()}, x.tracker)
	for _, c := range d.OrderUpdates {
		x.apply(state.Command{OrderUpdate: &c})
	}
	for _, w := range d.NewOrders {
		id := fmt.Sprintf("o%d", x.controlState.Ledger.LastOrder+1)
		x.apply(state.Command{OrderCreate: &state.OrderCreate{ID: id, After: x.controlState.Ledger.LastOrder, Service: w.Service, Zone: w.Zone, Class: w.Class}})
	}
	for _, o := range x.orders() {
		x.deliverOrder(o)
	}
	return d
}

// deliverOrder lets the platform process an open or releasing order.
func (x *simCluster) deliverOrder(o state.Order) {
	c := state.OrderUpdate{ID: o.ID, State: state.OrderPlaced}
	switch o.State {
	case state.OrderOpen:
		x.placed = append(x.placed, o)
		if x.rejecting[place{o.Zone, o.Class}] {
			c.State = state.OrderRefused
		} else if !x.neverStart {
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

func (x *simCluster) run(d time.Duration) {
	for range int(d / x.tick) {
		x.step()
	}
}

func (x *simCluster) count(p place) int {
	n := 0
	for _, u := range x.live {
		if u.Zone == p.zone && u.Class == p.class {
			n++
		}
	}
	return n
}

func (x *simCluster) class(class string) int {
	return x.count(place{"a", class}) + x.count(place{"b", class}) + x.count(place{"c", class})
}

// remove removes all upstreams of a class in a zone without notice.
func (x *simCluster) remove(p place) {
	for id, u := range x.live {
		if u.Zone == p.zone && u.Class == p.class {
			delete(x.live, id)
		}
	}
}

func TestFloorsAndCheapShareSurviveTheLossOfACheapZone(t *testing.T) {
	g := NewWithT(t)
	x := newSimCluster(0)
	x.run(3 * time.Second)
	g.Expect(x.placed).To(HaveLen(3), "only the floors are ordered without load")
	x.demand = 80 // ceil(80 / (10 * 0.7)) = 12
	x.run(5 * time.Second)
	g.Expect([]int{x.class("regular"), x.class("cheap")}).To(Equal([]int{6, 6}))
	for _, zone := range []string{"a", "b", "c"} {
		g.Expect(len(x.live)-x.count(place{zone, "cheap"})).To(BeNumerically(">=", 8), "without the cheap upstreams of zone %s, 8 must remain for 80 requests", zone)
	}
	x.remove(place{"b", "cheap"})
	x.rejecting[place{"b", "cheap"}] = true
	x.run(20 * time.Second)
	g.Expect([]int{x.class("regular") + x.class("cheap"), x.count(place{"b", "cheap"})}).To(Equal([]int{12, 0}))
}

func TestCheapUpstreamsPerZoneAreBounded(t *testing.T) {
	g := NewWithT(t)
	x := newSimCluster(0)
	x.rejecting[place{"a", "cheap"}], x.rejecting[place{"c", "cheap"}] = true, true
	x.demand = 60
	x.run(30 * time.Second)
	g.Expect(x.count(place{"b", "cheap"})).To(Equal(3), "9 upstreams minus the 6 that 60 requests need")
	g.Expect(x.live).To(HaveLen(9))
}

// When cheap upstreams announce that they will be reclaimed, replacements must be ordered
// at other places and start before the upstreams are reclaimed.
func TestReclaimNoticeOrdersReplacements(t *testing.T) {
	g := NewWithT(t)
	x := newSimCluster(0)
	x.demand = 80
	x.run(5 * time.Second)
	reclaimed := x.count(place{"b", "cheap"})
	for id, u := range x.live {
		if u.Zone == "b" && u.Class == "cheap" {
			u.ReclaimAt = x.now.Add(30 * time.Second).UnixMilli()
			x.live[id] = u
		}
	}
	x.run(3 * time.Second)
	g.Expect(x.live).To(HaveLen(12 + reclaimed))
	g.Expect(x.count(place{"b", "cheap"})).To(Equal(reclaimed), "none is ordered where upstreams will be reclaimed")
	x.remove(place{"b", "cheap"})
	x.run(20 * time.Second)
	g.Expect(x.live).To(HaveLen(12))
}

func TestRejectedCheapOrdersBackOffAndRegularReplacesThem(t *testing.T) {
	g := NewWithT(t)
	x := newSimCluster(0)
	for _, z := range []string{"a", "b", "c"} {
		x.rejecting[place{z, "cheap"}] = true
	}
	x.demand = 80
	x.run(time.Hour)
	g.Expect(x.class("regular")).To(Equal(12))
	rejected := len(x.placed) - 12
	g.Expect(rejected).To(BeNumerically("<=", 3*(7+12)), "one hour of backoff delays of up to 5 minutes in three zones")
}

func TestUpstreamThatNeverStartsIsReleasedAndReplaced(t *testing.T) {
	g := NewWithT(t)
	x := newSimCluster(0)
	x.neverStart = true
	x.run(70 * time.Second)
	ended := 0
	for _, o := range x.orders() {
		if o.State == state.OrderEnded && o.Detail == state.DetailNotStarted {
			ended++
		}
	}
	g.Expect(ended).To(Equal(3))
	x.neverStart = false
	x.run(70 * time.Second)
	g.Expect(x.class("regular")).To(Equal(3))
}

func TestIdleUpstreamsAreReleasedCheapFirstDownToTheFloors(t *testing.T) {
	g := NewWithT(t)
	x := newSimCluster(0)
	x.demand = 80
	x.run(5 * time.Second)
	x.demand = 0
	x.run(idleReleaseDelay - 5*time.Second)
	g.Expect(x.live).To(HaveLen(12), "none is released before idleReleaseDelay")
	x.run(5*(idleReleaseDelay+2*time.Second) + 30*time.Second)
	g.Expect([]int{x.class("regular"), x.class("cheap")}).To(Equal([]int{6, 0}))
	x.run(10 * (idleReleaseDelay + 2*time.Second))
	g.Expect([]int{x.class("regular"), x.class("cheap")}).To(Equal([]int{3, 0}))
}

// Platform, load and documents change at random. No order may raise the spending above the
// current cap, no zone may exceed its ceiling, and no order may be committed from an
// outdated plan. Once the faults end, every zone must have its floor.
func TestOrdersStayWithinCapAndCeiling(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		spendingCap := rapid.SampledFrom([]int{0, 40, 60, 100}).Draw(rt, "cap")
		x := newSimCluster(spendingCap)
		zone := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "zone") }
		class := func() string { return rapid.SampledFrom([]string{"regular", "cheap"}).Draw(rt, "class") }
		faults := map[string]func(){
			"load":        func() { x.demand = rapid.IntRange(0, 200).Draw(rt, "demand") },
			"vanish":      func() { x.remove(place{zone(), class()}) },
			"refuse":      func() { x.rejecting[place{zone(), class()}] = rapid.Bool().Draw(rt, "refused") },
			"dead":        func() { x.neverStart = rapid.Bool().Draw(rt, "dead") },
			"leader":      func() { x.tracker = NewTracker() },
			"wait":        func() { x.run(30 * time.Second) },
			"cap":         func() { spendingCap = rapid.SampledFrom([]int{0, 40, 100}).Draw(rt, "cap"); x.putService(spendingCap) },
			"stale order": func() { x.proposeStaleOrder(rt) },
			"greedy":      func() { x.proposeUncheckedOrder() },
		}
		names := []string{"load", "vanish", "refuse", "dead", "leader", "wait", "cap", "stale order", "greedy"}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			before := x.controlState.Ledger.Spending("hint")
			faults[rapid.SampledFrom(names).Draw(rt, "trouble")]()
			x.step()
			after := x.controlState.Ledger.Spending("hint")
			if spendingCap > 0 && after > before && after > float64(spendingCap) {
				rt.Fatalf("spending grew to %g over the cap of %d", after, spendingCap)
			}
			for _, z := range []string{"a", "b", "c"} {
				if n := x.count(place{z, "regular"}) + x.count(place{z, "cheap"}); n > 6 {
					rt.Fatalf("%d upstreams in zone %s exceed its ceiling of 6", n, z)
				}
			}
		}
		x.neverStart, x.rejecting, x.demand = false, map[place]bool{}, 0
		x.putService(0)
		x.tick = 10 * time.Second
		x.run(2*maxBackoff + 2*time.Minute)
		for _, z := range []string{"a", "b", "c"} {
			if n := x.count(place{z, "regular"}); n < 1 {
				rt.Fatalf("zone %s has no regular upstream", z)
			}
		}
	})
}

// proposeStaleOrder proposes an order from a plan made before the newest order. It must
// be rejected.
func (x *simCluster) proposeStaleOrder(rt *rapid.T) {
	last := x.controlState.Ledger.LastOrder
	if last == 0 {
		return
	}
	p := state.OrderCreate{ID: "old", After: last - 1, Service: "hint", Zone: "a", Class: "regular"}
	if x.apply(state.Command{OrderCreate: &p}).Err() == nil {
		rt.Fatal("an order from an outdated plan was committed")
	}
}

// proposeUncheckedOrder proposes an order without checking the spending cap.
func (x *simCluster) proposeUncheckedOrder() {
	last := x.controlState.Ledger.LastOrder
	p := state.OrderCreate{ID: fmt.Sprintf("o%d", last+1), After: last, Service: "hint", Zone: "a", Class: "cheap"}
	if len(x.live) < 3 {
		x.apply(state.Command{OrderCreate: &p})
	}
}

// Upstreams that were not ordered may make the service idle, but the ordered upstreams of
// the floors must stay.
func TestFloorIsKeptWhenOtherUpstreamsAreIdle(t *testing.T) {
	g := NewWithT(t)
	x := newSimCluster(0)
	x.run(3 * time.Second)
	for i := range 9 {
		id := fmt.Sprint("own", i)
		x.live[id] = upstream.Announcement{ID: id, Service: "hint", Zone: "a", Class: "regular", Concurrency: 10}
	}
	x.run(5 * idleReleaseDelay)
	g.Expect([]int{x.count(place{"b", "regular"}), x.count(place{"c", "regular"})}).To(Equal([]int{1, 1}))
	g.Expect(x.placed).To(HaveLen(3), "no upstream was released that had to be ordered again")
}

// Floating-point rounding depends on the order of addition, so every replica must add up
// the prices in the same order.
func TestSpendingIsTheSameOnEveryReplica(t *testing.T) {
	g := NewWithT(t)
	for range 50 {
		l := state.New().Ledger
		for i, price := range []float64{0.1, 0.2, 0.3} {
			id := fmt.Sprint(i)
			l.Orders[id] = state.Order{ID: id, Service: "hint", Price: price, State: state.OrderOpen}
		}
		g.Expect(l.Spending("hint")).To(Equal(0.6000000000000001), "0.1 and 0.2 are added first")
	}
}
