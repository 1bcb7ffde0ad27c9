package standin

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Options configures a fake upstream.
type Options struct {
	ID                  string        `long:"id" required:"true" description:"name of the upstream"`
	Service             string        `long:"service" required:"true" description:"service it serves"`
	Address             string        `long:"address" required:"true" description:"IP:port to listen on"`
	Zone                string        `long:"zone" required:"true" description:"availability zone"`
	Class               string        `long:"class" default:"regular" description:"regular or cheap"`
	Order               string        `long:"order" description:"id of the order that brought it"`
	Entries             []string      `long:"entry" required:"true" description:"entries to announce to"`
	Concurrency         int           `long:"concurrency" default:"8" description:"requests run at once"`
	TokenTime           time.Duration `long:"token" default:"2ms" description:"time for one token, or for one plain call"`
	PrefillTime         time.Duration `long:"prefill" description:"time to read a prompt whose prefix is not cached"`
	CachedPrefixes      int           `long:"prefixes" default:"2" description:"prompt prefixes that an engine caches"`
	Store               string        `long:"store" description:"URL of the weight store"`
	ShareBytes          int           `long:"share-size" default:"4194304" description:"bytes of one version that it passes on"`
	ShareBytesPerSecond int           `long:"share-rate" description:"bytes a second at which it passes weights on; 0: it does not"`
	Version             uint64        `long:"weights" default:"1" description:"weight version loaded at the start"`
	Faults
}

// Upstream is the common part of fake engines and plain services.
type Upstream struct {
	Options
	incarnation    int64
	version        atomic.Uint64
	loadingVersion atomic.Uint64
	loadingFrom    atomic.Pointer[string]
	running        atomic.Int64 // requests that run or wait for a slot
	started        atomic.Int64 // requests that got a slot so far
	slots          chan struct{}
	prefixes       prefixCache
	leaving        atomic.Bool // says in all answers that it leaves
	// Crash is called for a request whose body contains CrashOn. By default it exits the
	// process.
	Crash func()
	// OnRun is called with the body of every request that starts to run; it may be nil.
	OnRun func(body string)

	crashed           chan struct{} // closed by SimulateCrash
	connectionsClosed chan struct{} // closed once all connections are closed after a simulated crash

	mu            sync.Mutex
	fencingToken  uint64
	loadSamples   []loadSample
	sharedWeights *Store
}

// loadSample is the load at one time. Samples are kept so that announcements can contain
// the load of LoadLag ago.
type loadSample struct {
	at      time.Time
	running int
}

// NewUpstream returns an upstream. Serve starts it.
func NewUpstream(o Options) *Upstream {
	u := &Upstream{Options: o, incarnation: time.Now().UnixNano(), slots: make(chan struct{}, o.Concurrency), crashed: make(chan struct{}), connectionsClosed: make(chan struct{})}
	u.version.Store(o.Version)
	u.Crash = func() { os.Exit(3) }
	return u
}

// SayLeaving makes the upstream say in all answers that it leaves. Its announcements do not
// say so yet.
func (u *Upstream) SayLeaving() { u.leaving.Store(true) }

// stateLeaving returns a handler that adds to the responses of h that the upstream leaves,
// once it does.
func (u *Upstream) stateLeaving(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if u.leaving.Load() {
			w.Header().Set(forward.HeaderLeaving, "1")
		}
		h.ServeHTTP(w, r)
	})
}

// Serve serves h on the upstream's address and announces the upstream until ctx ends. Then
// it says in its answers and announces that the upstream leaves, stops accepting
// connections and returns. It does not wait for running requests, which continue in the
// background.
func (u *Upstream) Serve(ctx context.Context, h http.Handler) error {
	l, err := net.Listen("tcp", u.Address)
	if err != nil {
		return err
	}
	u.Address = l.Addr().String()
	srv := &http.Server{Handler: u.stateLeaving(h), ReadHeaderTimeout: time.Second}
	announcer := Announcer{Entries: u.Entries, Current: u.announcement, Crashed: u.crashed}
	announced := make(chan struct{})
	go func() {
		announcer.Run(ctx)
		close(announced)
	}()
	go func() {
		select {
		case <-u.crashed:
			_ = srv.Close()
			close(u.connectionsClosed)
			return
		case <-ctx.Done():
			u.SayLeaving()
		}
		<-announced
		_ = srv.Shutdown(context.Background())
	}()
	if err := srv.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (u *Upstream) announcement() upstream.Announcement {
	a := upstream.Announcement{
		ID: u.ID, Incarnation: u.incarnation, Service: u.Service, Address: u.Address, Zone: u.Zone,
		Class: u.Class, Order: u.Order, Concurrency: u.Concurrency, Running: u.laggedLoad(),
		Version: u.version.Load(), Loading: u.loadingVersion.Load(), SharesWeights: u.ShareBytesPerSecond > 0, TTL: 2, ChecksFencing: !u.IgnoreFencing,
	}
	if from := u.loadingFrom.Load(); from != nil && a.Loading > 0 {
		a.LoadingFrom = *from
	}
	return a
}

// laggedLoad returns the load of LoadLag ago.
func (u *Upstream) laggedLoad() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.loadSamples = append(u.loadSamples, loadSample{now, int(u.running.Load())})
	for len(u.loadSamples) > 1 && now.Sub(u.loadSamples[1].at) >= u.LoadLag {
		u.loadSamples = u.loadSamples[1:]
	}
	return u.loadSamples[0].running
}

// acquireSlot waits for a concurrency slot. It returns the number of the request at this
// upstream and a function that releases the slot, or false if ctx ended first.
func (u *Upstream) acquireSlot(ctx context.Context, body string) (int64, func(), bool) {
	if u.CrashOn != "" && strings.Contains(body, u.CrashOn) {
		u.Crash()
		abort()
	}
	u.running.Add(1)
	select {
	case u.slots <- struct{}{}:
	case <-ctx.Done():
		u.running.Add(-1)
		return 0, nil, false
	}
	if u.OnRun != nil {
		u.OnRun(body)
	}
	return u.started.Add(1), func() {
		<-u.slots
		u.running.Add(-1)
	}, true
}

// isStaleFencingToken reports whether an order with this fencing token must be rejected.
// Otherwise it stores the token.
func (u *Upstream) isStaleFencingToken(fencingToken uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if fencingToken < u.fencingToken && !u.IgnoreFencing {
		return true
	}
	u.fencingToken = max(u.fencingToken, fencingToken)
	return false
}
