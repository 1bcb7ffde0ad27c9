package reach

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// Times of connections that may go through another daemon.
const (
	// directPatience is how long a direct connection is awaited before another daemon is
	// asked. It is many times the round-trip time in a region.
	directPatience = 50 * time.Millisecond
	// helperPatience is how long the answer of a helper is awaited before the next one is
	// asked too, and helpersTimeout bounds the wait for all of them.
	helperPatience = 60 * time.Millisecond
	helpersTimeout = 300 * time.Millisecond
	// helperAvoidance is how long a helper that did not pass a connection on is not asked.
	helperAvoidance = time.Second
	// probeTimeout bounds the probe of a path.
	probeTimeout = 250 * time.Millisecond
	// maxProbes is the number of paths that one daemon probes at a time.
	maxProbes = 2
	// checkInterval is the time between two checks of the state of the links. A daemon that
	// believes that it has lost them probes one path at each.
	checkInterval = 250 * time.Millisecond
)

// Errors of connections.
var (
	// ErrSevered says that this daemon has lost its links to upstreams, so that no direct
	// connection was tried.
	ErrSevered  = errors.New("this daemon has lost its links to upstreams")
	errSlow     = errors.New("no direct connection in time")
	errNoHelper = errors.New("no other daemon passes a connection on")
)

// Deployment is what a Links must know of the other daemons and of the upstreams.
type Deployment struct {
	Region     string                                                      // of this daemon
	Helpers    func() []Helper                                             // the daemons that may be asked
	DialHelper func(ctx context.Context, address string) (net.Conn, error) // connects to a peer address
	Upstreams  func() []Upstream                                           // those that are known
}

// Upstream is an address of an upstream.
type Upstream struct {
	Address string
	Zone    string // availability zone
	Region  string // of the zone; empty if it is not known
}

// Links opens connections to upstreams for one daemon, and passes connections on for others. It
// may be used by many goroutines.
type Links struct {
	log        *log.Logger
	plain      sockopt.Dial // without a path
	direct     sockopt.Dial
	deployment Deployment
	relay      *relay

	mu       sync.Mutex
	paths    *Paths
	rnd      *rand.Rand
	avoided  map[string]time.Time // until when, by peer address of the helper
	probes   int                  // in flight
	checked  int                  // checks so far
	severed  bool                 // as logged last
	draining bool
}

// NewLinks returns Links whose direct connections are opened with dial. Until Deploy is called, all
// connections are direct.
func NewLinks(dial sockopt.Dial, logger *log.Logger) *Links {
	l := &Links{log: logger, plain: dial, paths: NewPaths(), rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), avoided: map[string]time.Time{}}
	l.direct = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		return &directConn{Conn: c, paths: l.paths, path: l.paths.get(time.Now(), address)}, nil
	}
	l.relay = &relay{dial: l.dialOnce, listed: l.lists, skips: l.skips, severed: l.Severed, passed: map[*passedConn]bool{}}
	return l
}

// Deploy makes the links use other daemons, and pass connections on for those that call s. It must
// be called before the first connection.
func (l *Links) Deploy(d Deployment, s *peer.Server) {
	l.deployment = d
	s.HandleOther(opening, l.relay.serve)
}

// Run probes while this daemon believes that it has lost its links, and logs when that begins and
// ends, until ctx ends.
func (l *Links) Run(ctx context.Context) { periodic.Every(ctx, checkInterval, l.check) }

func (l *Links) check() {
	now := time.Now()
	l.mu.Lock()
	suspected := l.paths.Unreached() != nil
	l.mu.Unlock()
	severed := l.Severed()
	l.mu.Lock()
	changed := severed != l.severed
	l.severed = severed
	l.checked++
	checked, draining := l.checked, l.draining
	l.mu.Unlock()
	if draining {
		l.relay.drain(now)
	}
	switch {
	case changed && severed:
		l.log.Warn("Links to upstreams are lost: other daemons pass connections on.", "helpers", len(l.helpers(l.deployment.Region)))
	case changed:
		l.log.Info("Links to upstreams are back.")
	}
	if all := l.upstreams(); suspected && len(all) > 0 {
		l.probe(all[checked%len(all)].Address)
	}
}

// Busy reports whether this daemon passes connections on for others. When it drains, the idle ones
// are closed, so that those in use are left.
func (l *Links) Busy() bool { return l.relay.busy() }

// Drain makes the daemon pass on no further connections. Run closes those that become idle.
func (l *Links) Drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.relay.drain(time.Now())
}

// Severed reports whether this daemon believes that it has lost its links to upstreams: several
// could not be reached, among them some in each availability zone, and none was heard since.
func (l *Links) Severed() bool {
	l.mu.Lock()
	unreached := l.paths.Unreached()
	l.mu.Unlock()
	if unreached == nil {
		return false
	}
	lost := map[string]bool{} // availability zones
	all := l.upstreams()
	for _, u := range all {
		if slices.Contains(unreached, u.Address) {
			lost[u.Zone] = true
		}
	}
	return !slices.ContainsFunc(all, func(u Upstream) bool { return !lost[u.Zone] })
}

func (l *Links) upstreams() []Upstream {
	if l.deployment.Upstreams == nil {
		return nil
	}
	return l.deployment.Upstreams()
}

func (l *Links) lists(address string) bool {
	return slices.ContainsFunc(l.upstreams(), func(u Upstream) bool { return u.Address == address })
}

// skips reports whether a direct connection to address need not be tried now: this daemon has lost
// its links, and that to address has just failed.
func (l *Links) skips(address string) bool {
	l.mu.Lock()
	failed := l.paths.FailedJustNow(time.Now(), address)
	l.mu.Unlock()
	return failed && l.Severed()
}

// hasOthers reports whether other daemons are known, whether they can help or not.
func (l *Links) hasOthers() bool {
	return len(l.knownHelpers(l.deployment.Region)) > 0
}

// Relayed reports whether connections to address should go through another daemon for now.
func (l *Links) Relayed(address string) bool {
	l.mu.Lock()
	relayed, probe := l.paths.Relayed(time.Now(), address)
	l.mu.Unlock()
	if probe {
		l.startProbe(address, func() {})
	}
	return relayed
}

// HeardSince reports whether the upstream at address was heard directly since t.
func (l *Links) HeardSince(address string, t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paths.HeardSince(time.Now(), address, t)
}

// dialOnce opens a direct connection and records the outcome.
func (l *Links) dialOnce(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := l.direct(ctx, network, address)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return nil, err // says nothing about the path
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if l.paths.Failed(now, address) {
			l.log.Warn("Direct path to an upstream has failed.", "address", address, "outcome", dialOutcome(err), "err", err.Error())
		}
		return nil, err
	}
	if l.paths.Connected(now, address) {
		l.log.Info("Direct path to an upstream is used again.", "address", address)
	}
	return c, nil
}

// DialPlain opens a connection to an address that is not that of an upstream. It says nothing about
// the links to upstreams.
func (l *Links) DialPlain(ctx context.Context, network, address string) (net.Conn, error) {
	return l.plain(ctx, network, address)
}

// Dial opens a direct connection, but gives up early if another daemon can be asked instead. The
// attempt goes on in the background, to learn about the path. A daemon that has lost its links tries
// rarely: probes tell it when they are back.
func (l *Links) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !l.hasOthers() {
		return l.dialOnce(ctx, network, address)
	}
	if l.skips(address) {
		return nil, ErrSevered
	}
	type outcome struct {
		conn net.Conn
		err  error
	}
	results := make(chan outcome, 1)
	ctx = context.WithoutCancel(ctx)
	go func() {
		c, err := l.dialOnce(ctx, network, address)
		results <- outcome{c, err}
	}()
	patience := time.NewTimer(directPatience)
	defer patience.Stop()
	select {
	case o := <-results:
		return o.conn, o.err
	case <-patience.C:
	}
	go func() {
		if o := <-results; o.conn != nil {
			o.conn.Close()
		}
	}()
	return nil, errSlow
}

// DialAny opens a connection directly or through another daemon, whichever works.
func (l *Links) DialAny(ctx context.Context, network, address string) (net.Conn, error) {
	return l.dialAny(ctx, network, address, l.DialRelayed)
}

// DialAnyHome is DialAny with DialRelayedHome.
func (l *Links) DialAnyHome(ctx context.Context, network, address string) (net.Conn, error) {
	return l.dialAny(ctx, network, address, l.DialRelayedHome)
}

func (l *Links) dialAny(ctx context.Context, network, address string, relayed sockopt.Dial) (net.Conn, error) {
	first, second := sockopt.Dial(l.Dial), relayed
	if l.Relayed(address) {
		first, second = second, first
	}
	c, err := first(ctx, network, address)
	if err == nil || ctx.Err() != nil {
		return c, err
	}
	return second(ctx, network, address)
}

// RefusesConnections reports whether Reach returns Unreachable for address.
func (l *Links) RefusesConnections(address string) bool { return l.Reach(address) == Unreachable }
