package daemon

import (
	"context"
	"slices"
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
	backoff     backoff // after a failed request to the platform
}

func newOrderDuty(r *dutyRunner) *orderDuty { return &orderDuty{dutyRunner: r} }

// round commits the orders that the plans ask for, then sends the open orders and the
// releases to the platform. An order is only sent once it is in the control log.
func (duty *orderDuty) round(ctx context.Context) {
	if duty.trackerTerm != duty.term {
		duty.trackerTerm = duty.term
		duty.tracker = capacity.NewTracker()
	}
	r, err := duty.query(ctx, control.QueryRequest{Orders: true})
	if err != nil {
		return
	}
	// A new leader may not have received the announcements of all upstreams yet. It must
	// not order replacements for the others.
	if time.Since(duty.since) >= upstream.MaxTTL {
		r = duty.plan(ctx, r)
	}
	if !duty.backoff.ready() {
		return
	}
	for _, o := range r.Orders {
		if !duty.syncOrder(ctx, o) {
			duty.backoff.increase()
			return
		}
	}
	duty.backoff.reset()
}

// plan commits the decisions for every service. It returns r with the new orders added.
func (duty *orderDuty) plan(ctx context.Context, r control.QueryReply) control.QueryReply {
	// The upstreams of evacuated zones count: they are back when the evacuation ends, so none is
	// ordered in their place.
	live := slices.DeleteFunc(slices.Clone(duty.daemon.directory.Listed()), func(a upstream.Announcement) bool { return a.Silent })
	for name, s := range duty.daemon.follower.Config().Services {
		in := capacity.Input{Now: r.Time, Doc: s.Parsed, Live: live, Orders: r.Orders}
		decision := capacity.Plan(in, duty.tracker)
		capacity.PublishMetrics(name, r.Orders)
		for _, c := range decision.OrderUpdates {
			duty.commitOrderState(ctx, c)
		}
		for _, want := range decision.NewOrders {
			o, err := duty.commitOrder(ctx, want, r.LastOrder)
			if err != nil {
				duty.log.Warn("Failed to commit an order.", "service", name, "zone", want.Zone, "class", want.Class, "err", err.Error())
				return r
			}
			r.LastOrder = o.Seq
			r.Orders = append(r.Orders, *o)
		}
	}
	return r
}

// commitOrder commits an order for one VM. The state rejects it unless after is the
// sequence number of the last order.
func (duty *orderDuty) commitOrder(ctx context.Context, want capacity.PlannedOrder, after uint64) (*state.Order, error) {
	p := state.OrderCreate{ID: uuid.NewString(), After: after, Service: want.Service, Zone: want.Zone, Class: want.Class}
	out, err := duty.daemon.replica.Propose(ctx, control.ProposeRequest{Command: state.Command{OrderCreate: &p}})
	if err == nil {
		err = out.Err()
	}
	if err == nil && out.Order == nil {
		err = result.New(result.Internal, "the commit returned no order")
	}
	return out.Order, err
}

// syncOrder sends an open order or a release to the platform. It returns false if that
// fails.
func (duty *orderDuty) syncOrder(ctx context.Context, o state.Order) bool {
	var err error
	switch o.State {
	case state.OrderOpen:
		err = duty.requestVM(ctx, o)
	case state.OrderReleasing:
		err = duty.releaseVM(ctx, o)
	}
	if err != nil {
		duty.log.Warn("Failed to send an order to the platform.", "order", o.ID, "state", o.State, "err", err.Error())
	}
	return err == nil
}

// requestVM sends an order and commits the platform's response. It first asks whether the
// platform has the order: an earlier request may have arrived although its response was
// lost.
func (duty *orderDuty) requestVM(ctx context.Context, o state.Order) error {
	var a fenced.VMOrderReply
	url := duty.daemon.cfg.OrdersURL
	err := duty.sender.Get(ctx, url+"/"+o.ID, &a)
	if result.CodeOf(err) == result.NotFound {
		m := fenced.VMOrder{Fence: duty.term, ID: o.ID, Service: o.Service, Zone: o.Zone, Class: o.Class}
		err = duty.sender.Post(ctx, url, m, &a)
	}
	if err != nil {
		return err
	}
	c := state.OrderUpdate{ID: o.ID, State: state.OrderPlaced, Detail: a.Reason}
	if !a.Accepted {
		c.State = state.OrderRefused
	}
	duty.commitOrderState(ctx, c)
	return nil
}

// releaseVM returns the VM of an order to the platform and commits that the order has
// ended.
func (duty *orderDuty) releaseVM(ctx context.Context, o state.Order) error {
	m := fenced.VMRelease{Fence: duty.term, ID: o.ID}
	if err := duty.sender.Post(ctx, duty.daemon.cfg.OrdersURL+"/"+o.ID+"/release", m, nil); err != nil {
		return err
	}
	duty.commitOrderState(ctx, state.OrderUpdate{ID: o.ID, State: state.OrderEnded})
	return nil
}

// commitOrderState commits the new state of an order.
func (duty *orderDuty) commitOrderState(ctx context.Context, c state.OrderUpdate) {
	out, err := duty.daemon.replica.Propose(ctx, control.ProposeRequest{Command: state.Command{OrderUpdate: &c}})
	if err == nil {
		err = out.Err()
	}
	if err != nil {
		duty.log.Warn("Failed to commit the state of an order.", "order", c.ID, "state", c.State, "err", err.Error())
	}
}
