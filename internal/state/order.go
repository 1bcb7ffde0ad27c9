package state

import (
	"maps"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/result"
)

// OrderState of an order to the platform.
type OrderState string

const (
	// OrderOpen is committed; the platform may or may not have it.
	OrderOpen OrderState = "open"
	// OrderPlaced was accepted by the platform.
	OrderPlaced OrderState = "placed"
	// OrderRunning is a placed order whose upstream has announced itself.
	OrderRunning OrderState = "running"
	// OrderReleasing is to be given back; the platform may not know it yet.
	OrderReleasing OrderState = "releasing"
	// OrderRefused was refused by the platform.
	OrderRefused OrderState = "refused"
	// OrderEnded was given back.
	OrderEnded OrderState = "ended"
)

// Class of an upstream VM.
const (
	// ClassRegular is an upstream that stays.
	ClassRegular = "regular"
	// ClassCheap is an upstream that may be reclaimed at short notice.
	ClassCheap = "cheap"
)

// DetailNotStarted is the detail of an order whose upstream never came.
const DetailNotStarted = "not started"

// orderHistory is how long refused and ended orders are kept.
const orderHistory = time.Hour

// Order asks the platform for one upstream.
type Order struct {
	ID         string     `json:"id"`
	Seq        uint64     `json:"seq"` // numbers the orders of the system
	Service    string     `json:"service"`
	Zone       string     `json:"zone"`
	Class      string     `json:"class"`
	Price      float64    `json:"price"` // money an hour, of the document active when it was committed
	State      OrderState `json:"state"`
	Detail     string     `json:"detail,omitempty"`
	At         time.Time  `json:"at"`
	StateSince time.Time  `json:"settled"` // of the newest state
}

// Spends reports whether the order costs money, as far as is known.
func (o Order) Billable() bool {
	return o.State != OrderRefused && o.State != OrderEnded
}

// follows lists the states that may come after a state. A late answer cannot
// bring a given back order to life.
var follows = map[OrderState][]OrderState{
	OrderOpen:      {OrderPlaced, OrderRefused},
	OrderPlaced:    {OrderRunning, OrderReleasing},
	OrderRunning:   {OrderReleasing},
	OrderReleasing: {OrderEnded},
}

// OrderPlace commits an order before it is sent.
type OrderCreate struct {
	ID string `json:"id"`
	// After is the Seq of the newest order that the plan knew. When another
	// order was committed since, this one is refused.
	After   uint64 `json:"after"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Class   string `json:"class"`
}

// OrderSettle records the platform's answer or the end of an order.
type OrderUpdate struct {
	ID     string     `json:"id"`
	State  OrderState `json:"state"`
	Detail string     `json:"detail,omitempty"`
}

// Spending sums the price an hour of the service's orders. The order of the
// summands is fixed: replicas must not differ by a rounding.
func (l *Ledger) Spending(service string) float64 {
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(l.Orders)) {
		if o := l.Orders[id]; o.Service == service && o.Billable() {
			sum += o.Price
		}
	}
	return sum
}

func (s *State) orderPlace(c *OrderCreate, at time.Time) Outcome {
	if old, ok := s.Ledger.Orders[c.ID]; ok {
		return Outcome{Order: &old}
	}
	if c.After != s.Ledger.LastOrder {
		return refuse(result.OrderConflict, "another order was committed since the plan")
	}
	svc, ok := s.Config.Services[c.Service]
	if !ok {
		return refuse(result.ServiceUnknown, "no such service")
	}
	terms := svc.Parsed.Capacity
	price := Price(terms, c.Class)
	if terms.SpendingCap > 0 && s.Ledger.Spending(c.Service)+price > terms.SpendingCap {
		return refuse(result.SpendingCap, "the order would pass the spending cap")
	}
	s.Ledger.pruneOrders(at)
	s.Ledger.LastOrder++
	n := Order{
		ID: c.ID, Seq: s.Ledger.LastOrder, Service: c.Service, Zone: c.Zone, Class: c.Class,
		Price: price, State: OrderOpen, At: at, StateSince: at,
	}
	s.Ledger.Orders[c.ID] = n
	return Outcome{Order: &n}
}

// Price returns the money an hour of an upstream of class.
func Price(c document.Capacity, class string) float64 {
	if class == ClassCheap {
		return c.PriceCheap
	}
	return c.Price
}

func (s *State) orderSettle(c *OrderUpdate, at time.Time) Outcome {
	old, ok := s.Ledger.Orders[c.ID]
	if !ok {
		return refuse(result.NotFound, "no such order")
	}
	if old.State == c.State {
		return Outcome{Order: &old}
	}
	if !slices.Contains(follows[old.State], c.State) {
		return refuse(result.OrderConflict, "a "+string(old.State)+" order cannot become "+string(c.State))
	}
	old.State = c.State
	if c.Detail != "" {
		old.Detail = c.Detail
	}
	old.StateSince = at
	s.Ledger.Orders[c.ID] = old
	return Outcome{Order: &old}
}

// pruneOrders forgets what ended long before at, the command's time.
func (l *Ledger) pruneOrders(at time.Time) {
	for id, o := range l.Orders {
		if !o.Billable() && at.Sub(o.StateSince) > orderHistory {
			delete(l.Orders, id)
		}
	}
}
