// Package capacity decides which upstreams to order from the platform and which to
// release. Plan does no I/O; the leader commits its decisions and sends the orders.
package capacity

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// PlannedOrder is an upstream to order.
type PlannedOrder struct {
	Service string
	Zone    string
	Class   string
}

// Decision contains the changes to commit for one service.
type Decision struct {
	NewOrders    []PlannedOrder      // upstreams to order
	OrderUpdates []state.OrderUpdate // state transitions of existing orders
}

// Input is the input of a plan for one service.
type Input struct {
	Now    time.Time
	Doc    *document.Service
	Live   []upstream.Announcement // of any service
	Orders []state.Order           // of any service
}

// planner computes one Decision.
type planner struct {
	Input
	tracker  *Tracker
	live     map[string]upstream.Announcement // by order id
	counted  counts                           // live and expected upstreams
	billable []state.Order                    // orders of the service that cost money
	blocked  map[place]time.Time              // see blockedUntil
	// reclaiming contains the places where a cheap upstream has announced that it will be
	// reclaimed.
	reclaiming map[place]bool
	demand     int // running and waiting requests
	decision   Decision
}

// Plan returns the decision for one service. The leader must use one Tracker for its
// whole term, and must not plan before it has received announcements for their longest
// TTL.
func Plan(in Input, t *Tracker) Decision {
	p := &planner{Input: in, tracker: t, live: map[string]upstream.Announcement{}, counted: counts{}, reclaiming: map[place]bool{}}
	var own []state.Order
	for _, o := range in.Orders {
		if o.Service == in.Doc.Name {
			own = append(own, o)
		}
	}
	p.blocked = blockedUntil(own)
	p.countLive()
	for _, o := range own {
		if o.Billable() {
			p.billable = append(p.billable, o)
			p.updateOrder(o)
		}
	}
	p.planOrders()
	p.planRelease()
	return p.decision
}

// countLive adds up the demand and counts the live upstreams that will be neither released
// nor reclaimed. An upstream that will be reclaimed still serves but is not counted, so
// its replacement is ordered now.
func (p *planner) countLive() {
	releasing := map[string]bool{}
	for _, o := range p.Orders {
		releasing[o.ID] = o.State == state.OrderReleasing || o.State == state.OrderEnded
	}
	for _, u := range p.Live {
		if u.Service != p.Doc.Name {
			continue
		}
		p.demand += u.Running + u.Waiting
		if u.Order != "" {
			p.live[u.Order] = u
		}
		at := place{u.Zone, u.Class}
		if u.ReclaimAt != 0 {
			p.reclaiming[at] = u.Class == state.ClassCheap
			continue
		}
		if !releasing[u.Order] {
			p.counted[at]++
		}
	}
}

// updateOrder moves an order to its next state if it is due, and counts it while its
// upstream is expected.
func (p *planner) updateOrder(o state.Order) {
	_, live := p.live[o.ID]
	at := place{o.Zone, o.Class}
	switch o.State {
	case state.OrderOpen:
		p.counted[at]++
	case state.OrderPlaced:
		switch {
		case live:
			p.recordTransition(o, state.OrderRunning, "")
		case p.Now.Sub(o.StateSince) > p.Doc.Capacity.StartLimit:
			p.recordTransition(o, state.OrderReleasing, state.DetailNotStarted)
		default:
			p.counted[at]++
		}
	case state.OrderRunning:
		missingFor := conditionDuration(p.tracker.missing, o.ID, p.Now, !live)
		switch {
		case live:
		case missingFor > missingGracePeriod:
			p.recordTransition(o, state.OrderReleasing, "upstream gone")
		default:
			p.counted[at]++
		}
	}
}

func (p *planner) recordTransition(o state.Order, s state.OrderState, detail string) {
	p.decision.OrderUpdates = append(p.decision.OrderUpdates, state.OrderUpdate{ID: o.ID, State: s, Detail: detail})
}

// available reports whether an upstream may be ordered for a place now: the place is not
// blocked after failed orders, and no cheap upstream there will be reclaimed.
func (p *planner) available(at place) bool {
	return !p.Now.Before(p.blocked[at]) && !p.reclaiming[at]
}

// planOrders orders the missing upstreams within the spending cap: first those of the
// floors, then cheap ones, then the rest. The price of floor upstreams that are not
// available now stays reserved.
func (p *planner) planOrders() {
	c := p.Doc.Capacity
	want := targetCounts(c, p.demand, targetUtilization, p.available)
	b := p.budget()
	for _, z := range c.Zones {
		at := place{z, state.ClassRegular}
		for range c.Floor - p.counted[at] {
			if p.counted.zone(z) < c.Ceiling {
				p.place(at, b)
			}
		}
	}
	for _, class := range []string{state.ClassCheap, state.ClassRegular} {
		for _, z := range c.Zones {
			at := place{z, class}
			floor := 0
			if class == state.ClassRegular {
				floor = c.Floor
			}
			for range want[at] - max(p.counted[at], floor) {
				if want.total() > p.counted.total() && p.counted.zone(z) < c.Ceiling {
					p.place(at, b)
				}
			}
		}
	}
}

// place orders one upstream for the place if the budget allows it and the place is
// available. If the budget allows it but the place is not available, the price stays
// reserved.
func (p *planner) place(at place, b *budget) {
	if !b.reserve(state.Price(p.Doc.Capacity, at.class)) || !p.available(at) {
		return
	}
	p.counted[at]++
	p.decision.NewOrders = append(p.decision.NewOrders, PlannedOrder{Service: p.Doc.Name, Zone: at.zone, Class: at.class})
}
