// Package capacity decides what upstreams to order from the platform and which
// to give back. Plan is pure; a duty of the leader commits and sends the orders.
package capacity

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Want is one upstream to order.
type PlannedOrder struct {
	Service string
	Zone    string
	Class   string
}

// Decision is what to commit for one service.
type Decision struct {
	NewOrders    []PlannedOrder
	OrderUpdates []state.OrderUpdate
}

// Input is what a plan for one service is made from.
type Input struct {
	Now    time.Time
	Doc    *document.Service
	Live   []upstream.Announcement // of any service
	Orders []state.Order           // of any service
}

// planner works out one Decision.
type planner struct {
	Input
	tracker *Tracker
	live    map[string]upstream.Announcement // by order
	have    counts
	open    []state.Order // orders of the service that spend
	blocked map[place]time.Time
	// reclaiming holds the places where a cheap upstream was given notice.
	reclaiming map[place]bool
	demand     int
	out        Decision
}

// Plan decides for one service. t must be the same for the whole term of a
// leader, which must have heard announcements for their longest lifetime.
func Plan(in Input, t *Tracker) Decision {
	p := &planner{Input: in, tracker: t, live: map[string]upstream.Announcement{}, have: counts{}, reclaiming: map[place]bool{}}
	var own []state.Order
	for _, o := range in.Orders {
		if o.Service == in.Doc.Name {
			own = append(own, o)
		}
	}
	p.blocked = backoff(own)
	p.countLive()
	for _, o := range own {
		if o.Billable() {
			p.open = append(p.open, o)
			p.follow(o)
		}
	}
	p.order()
	p.release()
	return p.out
}

// countLive counts the upstreams that stay. One that is about to be reclaimed
// still serves, but its replacement is due now.
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
			p.have[at]++
		}
	}
}

// follow moves one order on and counts it while its upstream is to come.
func (p *planner) follow(o state.Order) {
	_, live := p.live[o.ID]
	at := place{o.Zone, o.Class}
	switch o.State {
	case state.OrderOpen:
		p.have[at]++
	case state.OrderPlaced:
		switch {
		case live:
			p.settle(o, state.OrderRunning, "")
		case p.Now.Sub(o.StateSince) > p.Doc.Capacity.StartLimit:
			p.settle(o, state.OrderReleasing, state.DetailNotStarted)
		default:
			p.have[at]++
		}
	case state.OrderRunning:
		silent := held(p.tracker.missing, o.ID, p.Now, !live)
		switch {
		case live:
		case silent > goneGrace:
			p.settle(o, state.OrderReleasing, "upstream gone")
		default:
			p.have[at]++
		}
	}
}

func (p *planner) settle(o state.Order, s state.OrderState, detail string) {
	p.out.OrderUpdates = append(p.out.OrderUpdates, state.OrderUpdate{ID: o.ID, State: s, Detail: detail})
}

func (p *planner) available(at place) bool {
	return !p.Now.Before(p.blocked[at]) && !p.reclaiming[at]
}

// order places what is missing: floors first, then cheap ones, then the rest,
// within the spending cap. Money for floors that cannot be had now is kept.
func (p *planner) order() {
	c := p.Doc.Capacity
	want := target(c, p.demand, fullShare, p.available)
	b := p.budget()
	for _, z := range c.Zones {
		at := place{z, state.ClassRegular}
		for range c.Floor - p.have[at] {
			if p.have.zone(z) < c.Ceiling {
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
			for range want[at] - max(p.have[at], floor) {
				if want.total() > p.have.total() && p.have.zone(z) < c.Ceiling {
					p.place(at, b)
				}
			}
		}
	}
}

// place orders one upstream when it is to be had and b has the money.
func (p *planner) place(at place, b *budget) {
	if !b.take(state.Price(p.Doc.Capacity, at.class)) || !p.available(at) {
		return
	}
	p.have[at]++
	p.out.NewOrders = append(p.out.NewOrders, PlannedOrder{Service: p.Doc.Name, Zone: at.zone, Class: at.class})
}
