package state

import (
	"maps"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/result"
)

// OrderState is the state of an order for a VM.
type OrderState string

const (
	// OrderOpen means that the order is committed. The platform may or may not have
	// received it.
	OrderOpen OrderState = "open"
	// OrderPlaced means that the platform accepted the order.
	OrderPlaced OrderState = "placed"
	// OrderRunning means that the upstream of a placed order has announced itself.
	OrderRunning OrderState = "running"
	// OrderReleasing means that the VM is to be released. The platform may not know it
	// yet.
	OrderReleasing OrderState = "releasing"
	// OrderRefused means that the platform rejected the order.
	OrderRefused OrderState = "refused"
	// OrderEnded means that the VM was released.
	OrderEnded OrderState = "ended"
)

// Classes of upstream VMs.
const (
	// ClassRegular is a VM that stays until it is released.
	ClassRegular = "regular"
	// ClassCheap is a VM that may be reclaimed at short notice.
	ClassCheap = "cheap"
)

// DetailNotStarted is the detail of an order whose upstream never announced itself.
const DetailNotStarted = "not started"

// orderRetention is how long refused and ended orders are retained.
const orderRetention = time.Hour

// Order is an order for one upstream VM to the platform, the external service that provides
// the VMs.
type Order struct {
	ID         string     `json:"id"`
	Seq        uint64     `json:"seq"` // sequence number among all orders
	Service    string     `json:"service"`
	Zone       string     `json:"zone"`
	Class      string     `json:"class"`
	Price      float64    `json:"price"` // per hour, from the document that was active at the commit
	State      OrderState `json:"state"`
	Detail     string     `json:"detail,omitempty"`
	At         time.Time  `json:"at"`
	StateSince time.Time  `json:"settled"` // time of the last change of State
}

// Billable reports whether the order may cost money: it is neither refused nor ended.
func (o Order) Billable() bool {
	return o.State != OrderRefused && o.State != OrderEnded
}

// allowedTransitions lists the states that may follow a state. A late response of the
// platform cannot make a released order active again.
var allowedTransitions = map[OrderState][]OrderState{
	OrderOpen:      {OrderPlaced, OrderRefused},
	OrderPlaced:    {OrderRunning, OrderReleasing},
	OrderRunning:   {OrderReleasing},
	OrderReleasing: {OrderEnded},
}

// OrderCreate records an order before it is sent to the platform.
type OrderCreate struct {
	ID string `json:"id"`
	// After is the Seq of the newest order that was known when this one was planned. If
	// another order was committed since, this one is rejected.
	After   uint64 `json:"after"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Class   string `json:"class"`
}

// OrderUpdate changes the state of an order, for example after the platform's response or
// at the end of the order.
type OrderUpdate struct {
	ID     string     `json:"id"`
	State  OrderState `json:"state"`
	Detail string     `json:"detail,omitempty"`
}

// Spending returns the total hourly price of the service's billable orders. It adds the
// prices in a fixed order, so that rounding gives the same sum on all replicas.
func (l *Ledger) Spending(service string) float64 {
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(l.Orders)) {
		if o := l.Orders[id]; o.Service == service && o.Billable() {
			sum += o.Price
		}
	}
	return sum
}

func (s *State) orderCreate(c *OrderCreate, at time.Time) Outcome {
	if old, ok := s.Ledger.Orders[c.ID]; ok {
		return Outcome{Order: &old}
	}
	if c.After != s.Ledger.LastOrder {
		return reject(result.OrderConflict, "another order was committed since the plan")
	}
	svc, ok := s.Config.Services[c.Service]
	if !ok {
		return reject(result.ServiceUnknown, "no such service")
	}
	capacity := svc.Parsed.Capacity
	price := Price(capacity, c.Class)
	if capacity.SpendingCap > 0 && s.Ledger.Spending(c.Service)+price > capacity.SpendingCap {
		return reject(result.SpendingCap, "the order would pass the spending cap")
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

// Price returns the hourly price of an upstream VM of class.
func Price(c document.Capacity, class string) float64 {
	if class == ClassCheap {
		return c.PriceCheap
	}
	return c.Price
}

func (s *State) orderUpdate(c *OrderUpdate, at time.Time) Outcome {
	old, ok := s.Ledger.Orders[c.ID]
	if !ok {
		return reject(result.NotFound, "no such order")
	}
	if old.State == c.State {
		return Outcome{Order: &old}
	}
	if !slices.Contains(allowedTransitions[old.State], c.State) {
		return reject(result.OrderConflict, "a "+string(old.State)+" order cannot become "+string(c.State))
	}
	old.State = c.State
	if c.Detail != "" {
		old.Detail = c.Detail
	}
	old.StateSince = at
	s.Ledger.Orders[c.ID] = old
	return Outcome{Order: &old}
}

// pruneOrders discards orders that were refused or ended more than orderRetention before
// at, which is the command's time.
func (l *Ledger) pruneOrders(at time.Time) {
	for id, o := range l.Orders {
		if !o.Billable() && at.Sub(o.StateSince) > orderRetention {
			delete(l.Orders, id)
		}
	}
}
