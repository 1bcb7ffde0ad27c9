package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/apricotstream/apricotstream/internal/capacity"
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/fenced"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// orderDuty orders upstreams from the platform and gives them back.
type orderDuty struct {
	*duties
	planned uint64 // term of tracker
	tracker *capacity.Tracker
	pause   pause // after an order that was not answered
}

func newOrderDuty(x *duties) *orderDuty { return &orderDuty{duties: x} }

// round commits what the plans ask for, then sends what is committed and not
// settled. Nothing is sent that is not in the log.
func (x *orderDuty) round(ctx context.Context) {
	if x.planned != x.term {
		x.planned = x.term
		x.tracker = capacity.NewTracker()
	}
	r, err := x.query(ctx, control.QueryRequest{Orders: true})
	if err != nil {
		return
	}
	// A new leader may have heard of few upstreams yet; it must not take the
	// others for missing.
	if time.Since(x.since) >= upstream.MaxTTL {
		r = x.plan(ctx, r)
	}
	if !x.pause.over() {
		return
	}
	for _, o := range r.Orders {
		if !x.deliver(ctx, o) {
			x.pause.failed()
			return
		}
	}
	x.pause.done()
}

// plan commits the decisions for every service and returns the orders with
// those that are new.
func (x *orderDuty) plan(ctx context.Context, r control.QueryReply) control.QueryReply {
	live := x.d.directory.Live()
	for name, s := range x.d.follower.Config().Services {
		in := capacity.Input{Now: time.Now(), Doc: s.Parsed, Live: live, Orders: r.Orders}
		decision := capacity.Plan(in, x.tracker)
		capacity.PublishMetrics(name, r.Orders)
		for _, c := range decision.OrderUpdates {
			x.settle(ctx, c)
		}
		for _, w := range decision.NewOrders {
			o, err := x.place(ctx, w, r.LastOrder)
			if err != nil {
				x.log.Warn("Order not committed.", "service", name, "zone", w.Zone, "class", w.Class, "err", err.Error())
				return r
			}
			r.LastOrder = o.Seq
			r.Orders = append(r.Orders, *o)
		}
	}
	return r
}

func (x *orderDuty) place(ctx context.Context, w capacity.PlannedOrder, after uint64) (*state.Order, error) {
	p := state.OrderCreate{ID: uuid.NewString(), After: after, Service: w.Service, Zone: w.Zone, Class: w.Class}
	out, err := x.d.replica.Propose(ctx, control.ProposeRequest{Command: state.Command{OrderCreate: &p}})
	if err == nil {
		err = out.Err()
	}
	if err == nil && out.Order == nil {
		err = result.New(result.Internal, "no order came back")
	}
	return out.Order, err
}

// deliver sends the platform what it has to know of o; false when it did not
// answer.
func (x *orderDuty) deliver(ctx context.Context, o state.Order) bool {
	var err error
	switch o.State {
	case state.OrderOpen:
		err = x.send(ctx, o)
	case state.OrderReleasing:
		err = x.giveBack(ctx, o)
	}
	if err != nil {
		x.log.Warn("Order not answered.", "order", o.ID, "state", o.State, "err", err.Error())
	}
	return err == nil
}

// send asks whether the platform has the order before sending it: an earlier
// sending may have arrived although its answer was lost.
func (x *orderDuty) send(ctx context.Context, o state.Order) error {
	var a fenced.VMOrderReply
	url := x.d.set.OrdersURL
	err := x.sender.Get(ctx, url+"/"+o.ID, &a)
	if result.CodeOf(err) == result.NotFound {
		m := fenced.VMOrder{Fence: x.term, ID: o.ID, Service: o.Service, Zone: o.Zone, Class: o.Class}
		err = x.sender.Post(ctx, url, m, &a)
	}
	if err != nil {
		return err
	}
	c := state.OrderUpdate{ID: o.ID, State: state.OrderPlaced, Detail: a.Reason}
	if !a.Accepted {
		c.State = state.OrderRefused
	}
	x.settle(ctx, c)
	return nil
}

func (x *orderDuty) giveBack(ctx context.Context, o state.Order) error {
	m := fenced.VMRelease{Fence: x.term, ID: o.ID}
	if err := x.sender.Post(ctx, x.d.set.OrdersURL+"/"+o.ID+"/release", m, nil); err != nil {
		return err
	}
	x.settle(ctx, state.OrderUpdate{ID: o.ID, State: state.OrderEnded})
	return nil
}

func (x *orderDuty) settle(ctx context.Context, c state.OrderUpdate) {
	out, err := x.d.replica.Propose(ctx, control.ProposeRequest{Command: state.Command{OrderUpdate: &c}})
	if err == nil {
		err = out.Err()
	}
	if err != nil {
		x.log.Warn("Order not settled.", "order", c.ID, "state", c.State, "err", err.Error())
	}
}
