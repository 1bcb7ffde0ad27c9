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

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Options describe an upstream stand-in.
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

// Upstream is what engines and plain services have in common.
type Upstream struct {
	Options
	incarnation int64
	version     atomic.Uint64
	loading     atomic.Uint64
	loadingFrom atomic.Pointer[string]
	running     atomic.Int64
	served      atomic.Int64
	slots       chan struct{}
	prefixes    prefixCache
	// Crash ends the upstream as a crash would; the process by default.
	Crash func()
	// Ran is called with the body of every request that runs; may be nil.
	OnRun func(body string)

	dead chan struct{} // closed by Die
	gone chan struct{} // closed once all connections are cut

	mu      sync.Mutex
	fence   uint64
	reports []report
	passing *Store
}

// report is a load reading kept for the announcement lag.
type report struct {
	at      time.Time
	running int
}

// NewUpstream returns an upstream that is not running yet.
func NewUpstream(o Options) *Upstream {
	u := &Upstream{Options: o, incarnation: time.Now().UnixNano(), slots: make(chan struct{}, o.Concurrency), dead: make(chan struct{}), gone: make(chan struct{})}
	u.version.Store(o.Version)
	u.Crash = func() { os.Exit(3) }
	return u
}

// Serve answers on the upstream's address until ctx ends; then it says that it
// leaves and lets running requests end.
func (u *Upstream) Serve(ctx context.Context, h http.Handler) error {
	l, err := net.Listen("tcp", u.Address)
	if err != nil {
		return err
	}
	u.Address = l.Addr().String()
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	announcer := Announcer{Entries: u.Entries, Current: u.announcement, Crashed: u.dead}
	announced := make(chan struct{})
	go func() {
		announcer.Run(ctx)
		close(announced)
	}()
	go func() {
		select {
		case <-u.dead:
			_ = srv.Close()
			close(u.gone)
			return
		case <-ctx.Done():
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
		Version: u.version.Load(), Loading: u.loading.Load(), SharesWeights: u.ShareBytesPerSecond > 0, TTL: 2, ChecksFencing: !u.IgnoreFencing,
	}
	if from := u.loadingFrom.Load(); from != nil && a.Loading > 0 {
		a.LoadingFrom = *from
	}
	return a
}

// laggedLoad returns the load as it was LoadLag ago.
func (u *Upstream) laggedLoad() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.reports = append(u.reports, report{now, int(u.running.Load())})
	for len(u.reports) > 1 && now.Sub(u.reports[1].at) >= u.LoadLag {
		u.reports = u.reports[1:]
	}
	return u.reports[0].running
}

// enter takes a slot; the returned count numbers the request.
func (u *Upstream) enter(ctx context.Context, body string) (int64, func(), bool) {
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
	return u.served.Add(1), func() {
		<-u.slots
		u.running.Add(-1)
	}, true
}

// fenced reports whether an order must be refused, and remembers its number.
func (u *Upstream) fenced(fence uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if fence < u.fence && !u.IgnoreFencing {
		return true
	}
	u.fence = max(u.fence, fence)
	return false
}
