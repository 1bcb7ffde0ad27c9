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

// Platform accepts orders for upstreams and starts engine stand-ins for them in
// its own process.
type Platform struct {
	Options     Options // of the upstreams it starts; ID, Service, Zone and Class are set
	RejectClass string  // class that is not to be had; orders for it are refused
	SkipStart   bool    // accepted orders bring no upstream
	ResponseFaults

	mu      sync.Mutex
	fence   uint64
	orders  map[string]fenced.VMOrder
	answers map[string]fenced.VMOrderReply
	stop    map[string]context.CancelFunc
	view    PlatformView
}

// PlatformView is what the platform has seen.
type PlatformView struct {
	FencingTokens []uint64 `json:"fences"`   // of every order, as they came
	Received      int      `json:"sent"`     // orders that came, resends included
	Decided       int      `json:"decided"`  // orders that came, resends not counted
	Released      []string `json:"released"` // order ids
}

// NewPlatform returns a platform without orders.
func NewPlatform(o Options) *Platform {
	return &Platform{
		Options: o, orders: map[string]fenced.VMOrder{}, answers: map[string]fenced.VMOrderReply{},
		stop: map[string]context.CancelFunc{},
	}
}

// Handler returns the platform's routes.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", p.around(p.order))
	mux.HandleFunc("POST /orders/{id}/release", p.around(p.release))
	mux.HandleFunc("GET /orders", p.list)
	mux.HandleFunc("GET /orders/{id}", p.find)
	return mux
}

func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	var o fenced.VMOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Received++
	if !p.admit(w, o.Fence) {
		return
	}
	if _, ok := p.answers[o.ID]; !ok {
		p.decide(o)
	}
	writeJSON(w, p.answers[o.ID])
}

// admit checks a fencing number, and notes it.
func (p *Platform) admit(w http.ResponseWriter, fence uint64) bool {
	p.view.FencingTokens = append(p.view.FencingTokens, fence)
	if fence < p.fence && !p.Options.IgnoreFencing {
		http.Error(w, "a newer fencing number is in use", http.StatusConflict)
		return false
	}
	p.fence = max(p.fence, fence)
	return true
}

func (p *Platform) decide(o fenced.VMOrder) {
	a := fenced.VMOrderReply{ID: o.ID, Accepted: p.RejectClass != o.Class}
	p.answers[o.ID] = a
	p.view.Decided++
	if !a.Accepted {
		return
	}
	p.orders[o.ID] = o
	if !p.SkipStart {
		p.start(o)
	}
}

// start runs the ordered upstream.
func (p *Platform) start(o fenced.VMOrder) {
	opts := p.Options
	opts.ID = fmt.Sprintf("ordered-%d", len(p.answers))
	opts.Service, opts.Zone, opts.Class, opts.Order = o.Service, o.Zone, o.Class, o.ID
	u := NewUpstream(opts)
	ctx, stop := context.WithCancel(context.Background())
	p.stop[o.ID] = stop
	go func() { _ = u.Serve(ctx, Engine{u}.Handler()) }()
}

func (p *Platform) release(w http.ResponseWriter, r *http.Request) {
	var o fenced.VMRelease
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.admit(w, o.Fence) {
		return
	}
	if _, ok := p.orders[o.ID]; ok {
		p.end(o.ID)
		p.view.Released = append(p.view.Released, o.ID)
	}
	writeJSON(w, fenced.VMOrderReply{ID: o.ID, Accepted: true})
}

func (p *Platform) end(id string) {
	if stop := p.stop[id]; stop != nil {
		stop()
	}
	delete(p.orders, id)
}

// Reclaim takes away every upstream of a class in a zone at once.
func (p *Platform) Reclaim(zone, class string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for id, o := range p.orders {
		if o.Zone == zone && o.Class == class {
			p.end(id)
			n++
		}
	}
	return n
}

func (p *Platform) find(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.answers[r.PathValue("id")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, a)
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
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

// View returns what the platform has seen.
func (p *Platform) View() PlatformView {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serveTimeout bounds the headers of a stand-in's request.
const serveTimeout = 5 * time.Second

// Listen serves h on address until ctx ends.
func Listen(ctx context.Context, address string, h http.Handler) error {
	srv := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: serveTimeout}
	go func() {
		<-ctx.Done()
		srv.Close()
	}()
	if err := srv.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
