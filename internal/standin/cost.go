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

// CostOptions configures the simulation of one day of load on the capacity planner, in
// virtual time.
type CostOptions struct {
	Capacity      document.Capacity
	PeakRequests  int           // requests that run or wait at the peak of the day
	BootTime      time.Duration // time from an order to the first announcement
	ReclaimNotice time.Duration // notice before a reclaim; 0 for none
	// Reclaims sets the interval of reclaims: a day divided by Reclaims+1, rounded down to
	// whole minutes. Each reclaim affects all cheap upstreams of one zone.
	Reclaims        int
	UnavailableTime time.Duration // time after a reclaim during which the zone rejects orders for cheap upstreams
}

// CostResult holds the cost of the simulated day and its effect on requests.
type CostResult struct {
	TotalCost          float64
	Cheap              float64 // share of the upstream hours that were of the cheap class
	MeanUpstreams      float64 // mean number of upstreams
	CutRequests        int     // requests that ran on an upstream when it was reclaimed without notice
	RequestWaitSeconds int     // sum over all requests of the seconds that they waited for a slot
	Orders             uint64
}

// simVM is an ordered upstream of the simulation.
type simVM struct {
	order     state.Order
	ready     time.Time // time of its first announcement
	reclaimAt time.Time // time of its reclaim; zero for none
}

// costSimulation simulates one day.
type costSimulation struct {
	CostOptions
	state            *state.State
	doc              *document.Service
	tracker          *capacity.Tracker
	now              time.Time
	vms              map[string]*simVM    // by order id
	unavailableUntil map[string]time.Time // end of the time without cheap upstreams, by zone
	demand           int
	result           CostResult
}

// simDuration is the simulated time and simTick the time step.
const (
	simDuration = 24 * time.Hour
	simTick     = 2 * time.Second
)

// SimulateCost simulates the planner over one day. The load follows a sine between a tenth
// of the peak and the peak, and all cheap upstreams of a zone are reclaimed at once.
func SimulateCost(o CostOptions) CostResult {
	s := &costSimulation{
		CostOptions: o, state: state.New(), tracker: capacity.NewTracker(), now: time.Unix(1_800_000_000, 0).UTC(),
		doc: &document.Service{Name: "model", Capacity: o.Capacity}, vms: map[string]*simVM{}, unavailableUntil: map[string]time.Time{},
	}
	s.state.Config.Services["model"] = state.Service{Parsed: s.doc}
	start := s.now
	for s.now.Sub(start) < simDuration {
		s.tick(s.now.Sub(start))
		s.now = s.now.Add(simTick)
	}
	hours := simDuration.Hours()
	// Up to here Cheap and MeanUpstreams hold upstream hours.
	s.result.Cheap /= max(s.result.MeanUpstreams, 1)
	s.result.MeanUpstreams /= hours
	s.result.Orders = s.state.Ledger.LastOrder
	return s.result
}

// tick simulates one time step. elapsed is the time since the start of the day.
func (s *costSimulation) tick(elapsed time.Duration) {
	phase := 2 * math.Pi * elapsed.Hours() / simDuration.Hours()
	s.demand = int(float64(s.PeakRequests) * (0.55 - 0.45*math.Cos(phase)))
	if interval := (simDuration / time.Duration(s.Reclaims+1)).Truncate(time.Minute); s.Reclaims > 0 && elapsed > 0 && elapsed%interval == 0 {
		s.reclaim(s.Capacity.Zones[int(elapsed/interval)%len(s.Capacity.Zones)])
	}
	s.removeReclaimed()
	s.runPlanner()
	s.accrueCost()
}

// reclaim gives notice of the reclaim of all cheap upstreams of a zone. The zone rejects
// orders for cheap upstreams from the notice until UnavailableTime after the reclaim.
func (s *costSimulation) reclaim(zone string) {
	s.unavailableUntil[zone] = s.now.Add(s.ReclaimNotice + s.UnavailableTime)
	for _, v := range s.vms {
		if v.order.Zone == zone && v.order.Class == state.ClassCheap {
			v.reclaimAt = s.now.Add(s.ReclaimNotice)
		}
	}
}

// removeReclaimed removes upstreams whose reclaim is due. Without a notice it counts the
// requests that ran on them as cut.
func (s *costSimulation) removeReclaimed() {
	running := s.runningPerUpstream()
	for id, v := range s.vms {
		if !v.reclaimAt.IsZero() && !s.now.Before(v.reclaimAt) {
			if !v.ready.After(s.now) && s.ReclaimNotice == 0 {
				s.result.CutRequests += running // after a notice an upstream gets no new requests
			}
			delete(s.vms, id)
		}
	}
}

// ready returns the number of upstreams that have announced themselves.
func (s *costSimulation) ready() int {
	n := 0
	for _, v := range s.vms {
		if !v.ready.After(s.now) {
			n++
		}
	}
	return n
}

// runningPerUpstream returns the number of requests that run on each upstream if the load
// is spread evenly.
func (s *costSimulation) runningPerUpstream() int {
	return min(s.demand/max(s.ready(), 1), s.Capacity.Concurrency)
}

// announcements returns the announcements of all ready upstreams. The first one carries
// all waiting requests.
func (s *costSimulation) announcements() []upstream.Announcement {
	var out []upstream.Announcement
	waiting := max(s.demand-s.ready()*s.Capacity.Concurrency, 0)
	for id, v := range s.vms {
		if v.ready.After(s.now) {
			continue
		}
		u := upstream.Announcement{ID: id, Order: id, Service: "model", Zone: v.order.Zone, Class: v.order.Class, Running: s.runningPerUpstream(), Waiting: waiting}
		waiting = 0
		if !v.reclaimAt.IsZero() {
			u.ReclaimAt = v.reclaimAt.UnixMilli()
		}
		out = append(out, u)
	}
	return out
}

// runPlanner runs the planner once and carries out its decision.
func (s *costSimulation) runPlanner() {
	var orders []state.Order
	for _, o := range s.state.Ledger.Orders {
		orders = append(orders, o)
	}
	d := capacity.Plan(capacity.Input{Now: s.now, Doc: s.doc, Live: s.announcements(), Orders: orders}, s.tracker)
	for _, c := range d.OrderUpdates {
		s.updateOrder(c)
	}
	for _, w := range d.NewOrders {
		p := state.OrderCreate{ID: fmt.Sprintf("o%d", s.state.Ledger.LastOrder+1), After: s.state.Ledger.LastOrder, Service: w.Service, Zone: w.Zone, Class: w.Class}
		if out := s.state.Apply(state.Command{At: s.now, OrderCreate: &p}); out.Order != nil {
			s.handleOrder(*out.Order)
		}
	}
}

// handleOrder rejects or accepts an order as the platform would.
func (s *costSimulation) handleOrder(o state.Order) {
	if o.Class == state.ClassCheap && s.now.Before(s.unavailableUntil[o.Zone]) {
		s.updateOrder(state.OrderUpdate{ID: o.ID, State: state.OrderRefused})
		return
	}
	s.vms[o.ID] = &simVM{order: o, ready: s.now.Add(s.BootTime)}
	s.updateOrder(state.OrderUpdate{ID: o.ID, State: state.OrderPlaced})
}

// updateOrder applies an order update. The upstream of a released order ends at once.
func (s *costSimulation) updateOrder(c state.OrderUpdate) {
	s.state.Apply(state.Command{At: s.now, OrderUpdate: &c})
	if c.State == state.OrderReleasing {
		delete(s.vms, c.ID)
		s.state.Apply(state.Command{At: s.now, OrderUpdate: &state.OrderUpdate{ID: c.ID, State: state.OrderEnded}})
	}
}

// accrueCost adds the cost, the upstream hours and the waiting of one time step.
func (s *costSimulation) accrueCost() {
	step := simTick.Hours()
	for _, v := range s.vms {
		s.result.TotalCost += v.order.Price * step
		s.result.MeanUpstreams += step
		if v.order.Class == state.ClassCheap {
			s.result.Cheap += step
		}
	}
	s.result.RequestWaitSeconds += max(s.demand-s.ready()*s.Capacity.Concurrency, 0) * int(simTick.Seconds())
}
