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

// orderDuty orders VMs for upstreams from the platform and releases them.
type orderDuty struct {
	*dutyRunner
	trackerTerm uint64 // term for which tracker was created
	tracker     *capacity.Tracker
	backoff     backoff // after an order that the platform did not answer
}

func newOrderDuty(x *dutyRunner) *orderDuty { return &orderDuty{dutyRunner: x} }

// round commits the orders that the plans ask for, then sends the committed orders that
// aren't settled. An order is only sent once it is in the control log.
func (x *orderDuty) round(ctx context.Context) {
	if x.trackerTerm != x.term {
		x.trackerTerm = x.term
		x.tracker = capacity.NewTracker()
	}
	r, err := x.query(ctx, control.QueryRequest{Orders: true})
	if err != nil {
		return
	}
	// A new leader may not have received the announcements of all upstreams yet. It must
	// not order replacements for the others.
	if time.Since(x.since) >= upstream.MaxTTL {
		r = x.plan(ctx, r)
	}
	if !x.backoff.ready() {
		return
	}
	for _, o := range r.Orders {
		if !x.syncOrder(ctx, o) {
			x.backoff.increase()
			return
		}
	}
	x.backoff.reset()
}

// plan commits the decisions for every service. It returns r with the new orders added.
func (x *orderDuty) plan(ctx context.Context, r control.QueryReply) control.QueryReply {
	live := x.d.directory.Live()
	for name, s := range x.d.follower.Config().Services {
		in := capacity.Input{Now: time.Now(), Doc: s.Parsed, Live: live, Orders: r.Orders}
		decision := capacity.Plan(in, x.tracker)
		capacity.Observe(name, r.Orders)
		for _, c := range decision.Settle {
			x.commitOrderState(ctx, c)
		}
		for _, want := range decision.Place {
			o, err := x.commitOrder(ctx, want, r.LastOrder)
			if err != nil {
				x.log.Warn("Failed to commit an order.", "service", name, "zone", want.Zone, "class", want.Class, "err", err.Error())
				return r
			}
			r.LastOrder = o.Seq
			r.Orders = append(r.Orders, *o)
		}
	}
	return r
}

// commitOrder commits an order for one VM. The state rejects it unless after is the last
// order.
func (x *orderDuty) commitOrder(ctx context.Context, want capacity.Want, after uint64) (*state.Order, error) {
	p := state.OrderPlace{ID: uuid.NewString(), After: after, Service: want.Service, Zone: want.Zone, Class: want.Class}
	out, err := x.d.replica.Propose(ctx, control.ProposeRequest{Command: state.Command{OrderPlace: &p}})
	if err == nil {
		err = out.Err()
	}
	if err == nil && out.Order == nil {
		err = result.New(result.Internal, "no order came back")
	}
	return out.Order, err
}

// syncOrder sends an open order or a release to the platform. It returns false if the
// platform did not answer.
func (x *orderDuty) syncOrder(ctx context.Context, o state.Order) bool {
	var err error
	switch o.State {
	case state.OrderOpen:
		err = x.requestVM(ctx, o)
	case state.OrderReleasing:
		err = x.releaseVM(ctx, o)
	}
	if err != nil {
		x.log.Warn("Failed to send an order to the platform.", "order", o.ID, "state", o.State, "err", err.Error())
	}
	return err == nil
}

// requestVM sends an order and commits the platform's answer. It first asks whether the
// platform has the order: an earlier request may have arrived although its answer was
// lost.
func (x *orderDuty) requestVM(ctx context.Context, o state.Order) error {
	var a fenced.VMAnswer
	url := x.d.cfg.OrdersURL
	err := x.sender.Get(ctx, url+"/"+o.ID, &a)
	if result.CodeOf(err) == result.NotFound {
		m := fenced.VMOrder{Fence: x.term, ID: o.ID, Service: o.Service, Zone: o.Zone, Class: o.Class}
		err = x.sender.Post(ctx, url, m, &a)
	}
	if err != nil {
		return err
	}
	c := state.OrderSettle{ID: o.ID, State: state.OrderPlaced, Detail: a.Reason}
	if !a.Accepted {
		c.State = state.OrderRefused
	}
	x.commitOrderState(ctx, c)
	return nil
}

// releaseVM returns the VM of an order to the platform and commits that the order has
// ended.
func (x *orderDuty) releaseVM(ctx context.Context, o state.Order) error {
	m := fenced.VMRelease{Fence: x.term, ID: o.ID}
	if err := x.sender.Post(ctx, x.d.cfg.OrdersURL+"/"+o.ID+"/release", m, nil); err != nil {
		return err
	}
	x.commitOrderState(ctx, state.OrderSettle{ID: o.ID, State: state.OrderEnded})
	return nil
}

// commitOrderState commits the new state of an order.
func (x *orderDuty) commitOrderState(ctx context.Context, c state.OrderSettle) {
	out, err := x.d.replica.Propose(ctx, control.ProposeRequest{Command: state.Command{OrderSettle: &c}})
	if err == nil {
		err = out.Err()
	}
	if err != nil {
		x.log.Warn("Failed to commit the state of an order.", "order", c.ID, "state", c.State, "err", err.Error())
	}
}
