package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/fenced"
)

// Platform is a fake platform. It accepts orders for upstreams and starts a fake engine in
// its own process for each.
type Platform struct {
	Options     Options // of the upstreams that it starts; ID, Service, Zone, Class and Order are set for each
	RejectClass string  // unavailable class; orders for it are rejected
	SkipStart   bool    // accepted orders start no upstream
	ResponseFaults

	mu           sync.Mutex
	fencingToken uint64
	orders       map[string]fenced.VMOrder
	responses    map[string]fenced.VMOrderReply
	stop         map[string]context.CancelFunc
	view         PlatformView
}

// PlatformView holds what the platform has received.
type PlatformView struct {
	FencingTokens []uint64 `json:"fences"`   // of every order and release, in order of arrival
	Received      int      `json:"sent"`     // orders, resends included
	Decided       int      `json:"decided"`  // orders, resends excluded
	Released      []string `json:"released"` // order ids
}

// NewPlatform returns a platform without orders.
func NewPlatform(o Options) *Platform {
	return &Platform{
		Options: o, orders: map[string]fenced.VMOrder{}, responses: map[string]fenced.VMOrderReply{},
		stop: map[string]context.CancelFunc{},
	}
}

// Handler returns the platform's routes.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", p.wrap(p.createOrder))
	mux.HandleFunc("POST /orders/{id}/release", p.wrap(p.releaseOrder))
	mux.HandleFunc("GET /orders", p.listOrders)
	mux.HandleFunc("GET /orders/{id}", p.getOrder)
	return mux
}

func (p *Platform) createOrder(w http.ResponseWriter, r *http.Request) {
	var o fenced.VMOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Received++
	if !p.acceptFencingToken(w, o.Fence) {
		return
	}
	if _, ok := p.responses[o.ID]; !ok {
		p.decide(o)
	}
	writeJSON(w, p.responses[o.ID])
}

// acceptFencingToken records a fencing token and reports whether it is accepted. If not,
// it writes the error response.
func (p *Platform) acceptFencingToken(w http.ResponseWriter, fencingToken uint64) bool {
	p.view.FencingTokens = append(p.view.FencingTokens, fencingToken)
	if fencingToken < p.fencingToken && !p.Options.IgnoreFencing {
		http.Error(w, "a newer fencing token is in use", http.StatusConflict)
		return false
	}
	p.fencingToken = max(p.fencingToken, fencingToken)
	return true
}

// decide accepts or rejects a new order and starts the upstream of an accepted one.
func (p *Platform) decide(o fenced.VMOrder) {
	response := fenced.VMOrderReply{ID: o.ID, Accepted: p.RejectClass != o.Class}
	p.responses[o.ID] = response
	p.view.Decided++
	if !response.Accepted {
		return
	}
	p.orders[o.ID] = o
	if !p.SkipStart {
		p.startUpstream(o)
	}
}

// startUpstream starts the ordered upstream.
func (p *Platform) startUpstream(o fenced.VMOrder) {
	opts := p.Options
	opts.ID = fmt.Sprintf("ordered-%d", len(p.responses))
	opts.Service, opts.Zone, opts.Class, opts.Order = o.Service, o.Zone, o.Class, o.ID
	u := NewUpstream(opts)
	ctx, stop := context.WithCancel(context.Background())
	p.stop[o.ID] = stop
	go func() { _ = u.Serve(ctx, Engine{u}.Handler()) }()
}

func (p *Platform) releaseOrder(w http.ResponseWriter, r *http.Request) {
	var o fenced.VMRelease
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.acceptFencingToken(w, o.Fence) {
		return
	}
	if _, ok := p.orders[o.ID]; ok {
		p.stopUpstream(o.ID)
		p.view.Released = append(p.view.Released, o.ID)
	}
	writeJSON(w, fenced.VMOrderReply{ID: o.ID, Accepted: true})
}

// stopUpstream stops the upstream of an order and removes the order.
func (p *Platform) stopUpstream(id string) {
	if stop := p.stop[id]; stop != nil {
		stop()
	}
	delete(p.orders, id)
}

// Reclaim stops every upstream of a class in a zone at once and returns their number.
func (p *Platform) Reclaim(zone, class string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for id, o := range p.orders {
		if o.Zone == zone && o.Class == class {
			p.stopUpstream(id)
			n++
		}
	}
	return n
}

func (p *Platform) getOrder(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	response, ok := p.responses[r.PathValue("id")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, response)
}

func (p *Platform) listOrders(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Orders())
}

// Orders returns the orders whose upstreams are not released or reclaimed.
func (p *Platform) Orders() []fenced.VMOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []fenced.VMOrder{}
	for _, o := range p.orders {
		out = append(out, o)
	}
	return out
}

// View returns what the platform has received.
func (p *Platform) View() PlatformView {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readHeaderTimeout is the timeout for reading the headers of a request.
const readHeaderTimeout = 5 * time.Second

// Listen serves h on address until ctx ends.
func Listen(ctx context.Context, address string, h http.Handler) error {
	srv := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		srv.Close()
	}()
	if err := srv.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
