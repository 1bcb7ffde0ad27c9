package ratecap

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Times of a Keeper.
const (
	// tokenTTL is how long a token may be used, counted from before it was asked for.
	tokenTTL = time.Second
	// acquireTimeout bounds a call to the leader. A caller waits for it.
	acquireTimeout = 250 * time.Millisecond
	// minHold and maxHold bound the time for which a daemon does not ask again for tokens of
	// an upstream that had none.
	minHold = 20 * time.Millisecond
	maxHold = time.Second
	// maxReturnDelay is the longest delay that callers are told.
	maxReturnDelay = 2 * time.Second
)

var (
	tokensGranted = metrics.NewCounter(`apricotstream_upstream_rate_tokens_total{outcome="granted"}`)
	tokensDenied  = metrics.NewCounter(`apricotstream_upstream_rate_tokens_total{outcome="denied"}`)
	tokensShared  = metrics.NewCounter(`apricotstream_upstream_rate_tokens_total{outcome="even-share"}`)
)

// Deployment is what a Keeper needs to know of the daemons.
type Deployment struct {
	Daemon   string                        // ID of this daemon
	Replicas func() []string               // peer addresses of the other replicas, best first
	Leads    func() (term uint64, ok bool) // whether this daemon holds the leader lease
	// LeaderAddress returns the peer address of the leader that this daemon's replica knows;
	// empty if it knows none. Nil without a replica.
	LeaderAddress func() string
	Daemons       func() int // number of daemons that send requests to upstreams
	Broadcast     func(method string, params any)
	Ask           func(ctx context.Context, address string, q AcquireRequest) (AcquireReply, error)
	// Gone reports whether an incarnation of an upstream has certainly ended.
	Gone func(id string, incarnation int64) bool
	// ColdRate returns the number of requests a second that a cold upstream of a service takes,
	// or 0 if there is no bound. Nil: no service has one.
	ColdRate func(service string) float64
}

// Keeper keeps the requests of one daemon within the rates that upstreams name. On the leader
// it also issues the tokens of all daemons. It may be used by many goroutines.
type Keeper struct {
	deployment Deployment
	log        *log.Logger
	known      atomic.Int64 // number of caps in the table
	knownCold  atomic.Int64 // number of cold upstreams that are bounded

	mu       sync.Mutex
	recorder *recorder
	holds    map[string]time.Time // until when no token of an upstream is asked for
	returns  map[string]time.Time // when the last caller that was sent away returns, by service
	shares   *evenShares
	cold     map[string]*coldUpstream // by upstream

	leader     string    // peer address of the replica that last granted tokens; empty if none does
	leaderless time.Time // when a request for a cold upstream last found no leader
	fetched    bool      // all caps were read from a leader
	asked      int       // replicas asked in searches for a leader
	retryAt    time.Time // when a leader is looked for again
	pending    []Observation
	reported   map[string]time.Time // when an unchanged rate was last reported, by upstream

	issuer  *Issuer // of the current term
	term    uint64
	changed []string // caps to tell, by id
	refresh []string // caps to tell again
	toldAt  time.Time
}

// NewKeeper returns a Keeper without caps.
func NewKeeper(d Deployment, logger *log.Logger) *Keeper {
	return &Keeper{
		deployment: d, log: logger, recorder: newRecorder(logger), holds: map[string]time.Time{}, returns: map[string]time.Time{},
		shares: newEvenShares(d.Daemon), reported: map[string]time.Time{}, cold: map[string]*coldUpstream{},
	}
}

// Register adds the handlers of the keeper to s.
func (k *Keeper) Register(s *peer.Server) {
	peer.Handle(s, MethodAcquire, func(_ context.Context, q AcquireRequest) (AcquireReply, error) { return k.Issue(q) })
	peer.HandleNotice(s, MethodCaps, k.Told)
}

// Sent implements Tracker.
func (k *Keeper) Sent(to upstream.Announcement, p Purpose) {
	now := time.Now()
	if k.unbounded(now, to) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if c, ok := k.bound(now, to); ok {
		k.recorder.countSent(to, c, p)
	}
}

// Answered implements Tracker.
func (k *Keeper) Answered(a Answer) {
	if len(a.Named) == 0 && k.known.Load() == 0 {
		return
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	o, changed, ok := k.recorder.observe(now, a)
	if !ok {
		return
	}
	k.countCaps()
	if k.leads() {
		if changed {
			k.noteChanged(o.ID)
		}
		return
	}
	// The leader counts the answers without a rate of all daemons, so it has to know of those
	// with an unchanged one, too.
	if changed || o.Rate == 0 || now.Sub(k.reported[o.ID]) >= reportInterval {
		k.reported[o.ID] = now
		k.pending = append(k.pending[max(0, len(k.pending)-maxPending+1):], o)
	}
}

// countCaps updates known. The caller holds k.mu.
func (k *Keeper) countCaps() { k.known.Store(int64(len(k.recorder.table.caps))) }

// Wait returns how long an upstream gets no requests of this daemon because of the rate that
// it names or because it is cold; 0 if one may be tried now.
func (k *Keeper) Wait(now time.Time, a upstream.Announcement) time.Duration {
	if k.unbounded(now, a) {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.wait(now, a)
}

// wait is Wait for a caller that holds k.mu.
func (k *Keeper) wait(now time.Time, a upstream.Announcement) time.Duration {
	c, bounded := k.bound(now, a)
	if c.cold {
		return k.cold[a.ID].wait(now, ForCaller)
	}
	until, ok := k.holds[a.ID]
	if !ok || !now.Before(until) || !bounded {
		return 0
	}
	return until.Sub(now)
}

// Acquire takes a token for the request with the given id to an upstream. The request must
// be sent before sendBy, unless that is zero. It returns false if there is no token.
func (k *Keeper) Acquire(ctx context.Context, a upstream.Announcement, p Purpose, request string) (sendBy time.Time, ok bool) {
	askedAt := time.Now()
	if k.unbounded(askedAt, a) {
		return time.Time{}, true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	c, bounded := k.bound(askedAt, a)
	switch {
	case !bounded:
		return time.Time{}, true
	case c.cold:
		return k.acquireCold(askedAt, a, c, p, request)
	}
	if k.wait(askedAt, a) > 0 {
		return time.Time{}, false
	}
	var wait time.Duration
	by := "leader"
	if k.leads() {
		ok, wait = k.issuer.Acquire(askedAt, a.ID, c, p)
	} else if reply, asked := k.askLeader(ctx, a, c, p); asked {
		ok, wait = reply.Granted, time.Duration(reply.WaitMs)*time.Millisecond
	} else {
		by = "even share"
		now := time.Now()
		ok, wait = k.shares.acquire(now, a.ID, c.RateAt(now), k.deployment.Daemons())
		if ok {
			tokensShared.Inc()
		}
	}
	if ok {
		tokensGranted.Inc()
		return askedAt.Add(tokenTTL), true
	}
	tokensDenied.Inc()
	wait = min(max(wait, minHold), maxHold)
	k.holds[a.ID] = time.Now().Add(wait)
	k.log.Info("Upstream not used: it is at the rate that it names.", "request", request, "upstream", a.ID, "service", a.Service, "rate", c.Rate,
		"ended", !c.EndedAt.IsZero(), "known_ms", askedAt.Sub(c.NamedAt).Milliseconds(), "decided_by", by, "wait_ms", wait.Milliseconds())
	return time.Time{}, false
}
