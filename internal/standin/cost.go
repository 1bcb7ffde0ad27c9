package standin

import (
	"fmt"
	"math"
	"time"

	"github.com/apricotstream/apricotstream/internal/capacity"
	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// CostOptions describe a day of load on the planner, in virtual time.
type CostOptions struct {
	Capacity        document.Capacity
	PeakRequests    int           // requests running or waiting at the peak of the day
	BootTime        time.Duration // from an order to the first announcement
	ReclaimNotice   time.Duration // before a reclaim; 0: none
	Reclaims        int           // reclaims of all cheap upstreams of one zone, over the day
	UnavailableTime time.Duration // how long the class is then not to be had in the zone
}

// CostResult is what the day cost and what it harmed.
type CostResult struct {
	TotalCost          float64
	Cheap              float64 // share of the upstream hours that were cheap
	MeanUpstreams      float64 // mean number
	CutRequests        int     // requests that ran on an upstream when it vanished
	RequestWaitSeconds int     // seconds in which requests waited for a slot, times requests
	Orders             uint64
}

// bought is an ordered upstream of the simulation.
type bought struct {
	order state.Order
	ready time.Time
	gone  time.Time // of a reclaim; zero for none
}

// costRun is one day.
type costRun struct {
	CostOptions
	state   *state.State
	doc     *document.Service
	tracker *capacity.Tracker
	now     time.Time
	vms     map[string]*bought
	away    map[string]time.Time // until when a zone has no cheap ones
	demand  int
	result  CostResult
}

// costDay is the length of the simulation, costTick its step.
const (
	costDay  = 24 * time.Hour
	costTick = 2 * time.Second
)

// Cost runs the planner through a day: load in a sine from a tenth of the peak,
// and zones whose cheap upstreams vanish at once.
func SimulateCost(o CostOptions) CostResult {
	x := &costRun{
		CostOptions: o, state: state.New(), tracker: capacity.NewTracker(), now: time.Unix(1_800_000_000, 0).UTC(),
		doc: &document.Service{Name: "model", Capacity: o.Capacity}, vms: map[string]*bought{}, away: map[string]time.Time{},
	}
	x.state.Config.Services["model"] = state.Service{Parsed: x.doc}
	start := x.now
	for x.now.Sub(start) < costDay {
		x.tick(x.now.Sub(start))
		x.now = x.now.Add(costTick)
	}
	hours := costDay.Hours()
	x.result.Cheap /= max(x.result.MeanUpstreams, 1)
	x.result.MeanUpstreams /= hours
	x.result.Orders = x.state.Ledger.LastOrder
	return x.result
}

func (x *costRun) tick(since time.Duration) {
	phase := 2 * math.Pi * since.Hours() / costDay.Hours()
	x.demand = int(float64(x.PeakRequests) * (0.55 - 0.45*math.Cos(phase)))
	if every := (costDay / time.Duration(x.Reclaims+1)).Truncate(time.Minute); x.Reclaims > 0 && since > 0 && since%every == 0 {
		x.reclaim(x.Capacity.Zones[int(since/every)%len(x.Capacity.Zones)])
	}
	x.vanish()
	x.plan()
	x.account()
}

func (x *costRun) reclaim(zone string) {
	x.away[zone] = x.now.Add(x.ReclaimNotice + x.UnavailableTime)
	for _, v := range x.vms {
		if v.order.Zone == zone && v.order.Class == state.ClassCheap {
			v.gone = x.now.Add(x.ReclaimNotice)
		}
	}
}

func (x *costRun) vanish() {
	running := x.perUpstream()
	for id, v := range x.vms {
		if !v.gone.IsZero() && !x.now.Before(v.gone) {
			if !v.ready.After(x.now) && x.ReclaimNotice == 0 {
				x.result.CutRequests += running // with a notice nothing new is sent there
			}
			delete(x.vms, id)
		}
	}
}

func (x *costRun) ready() int {
	n := 0
	for _, v := range x.vms {
		if !v.ready.After(x.now) {
			n++
		}
	}
	return n
}

// perUpstream is what runs on each upstream when the load is spread evenly.
func (x *costRun) perUpstream() int {
	return min(x.demand/max(x.ready(), 1), x.Capacity.Concurrency)
}

func (x *costRun) live() []upstream.Announcement {
	var out []upstream.Announcement
	waiting := max(x.demand-x.ready()*x.Capacity.Concurrency, 0)
	for id, v := range x.vms {
		if v.ready.After(x.now) {
			continue
		}
		u := upstream.Announcement{ID: id, Order: id, Service: "model", Zone: v.order.Zone, Class: v.order.Class, Running: x.perUpstream(), Waiting: waiting}
		waiting = 0
		if !v.gone.IsZero() {
			u.ReclaimAt = v.gone.UnixMilli()
		}
		out = append(out, u)
	}
	return out
}

func (x *costRun) plan() {
	var orders []state.Order
	for _, o := range x.state.Ledger.Orders {
		orders = append(orders, o)
	}
	d := capacity.Plan(capacity.Input{Now: x.now, Doc: x.doc, Live: x.live(), Orders: orders}, x.tracker)
	for _, c := range d.OrderUpdates {
		x.settle(c)
	}
	for _, w := range d.NewOrders {
		p := state.OrderCreate{ID: fmt.Sprintf("o%d", x.state.Ledger.LastOrder+1), After: x.state.Ledger.LastOrder, Service: w.Service, Zone: w.Zone, Class: w.Class}
		if out := x.state.Apply(state.Command{At: x.now, OrderCreate: &p}); out.Order != nil {
			x.answer(*out.Order)
		}
	}
}

func (x *costRun) answer(o state.Order) {
	if o.Class == state.ClassCheap && x.now.Before(x.away[o.Zone]) {
		x.settle(state.OrderUpdate{ID: o.ID, State: state.OrderRefused})
		return
	}
	x.vms[o.ID] = &bought{order: o, ready: x.now.Add(x.BootTime)}
	x.settle(state.OrderUpdate{ID: o.ID, State: state.OrderPlaced})
}

func (x *costRun) settle(c state.OrderUpdate) {
	x.state.Apply(state.Command{At: x.now, OrderUpdate: &c})
	if c.State == state.OrderReleasing {
		delete(x.vms, c.ID)
		x.state.Apply(state.Command{At: x.now, OrderUpdate: &state.OrderUpdate{ID: c.ID, State: state.OrderEnded}})
	}
}

func (x *costRun) account() {
	step := costTick.Hours()
	for _, v := range x.vms {
		x.result.TotalCost += v.order.Price * step
		x.result.MeanUpstreams += step
		if v.order.Class == state.ClassCheap {
			x.result.Cheap += step
		}
	}
	x.result.RequestWaitSeconds += max(x.demand-x.ready()*x.Capacity.Concurrency, 0) * int(costTick.Seconds())
}
