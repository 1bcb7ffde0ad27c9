package ratecap

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
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
}

// Keeper keeps the requests of one daemon within the rates that upstreams name. On the leader
// it also issues the tokens of all daemons. It may be used by many goroutines.
type Keeper struct {
	deployment Deployment
	log        *log.Logger
	known      atomic.Int64 // number of caps in the table

	mu       sync.Mutex
	recorder *recorder
	holds    map[string]time.Time // until when no token of an upstream is asked for
	returns  map[string]time.Time // when the last caller that was sent away returns, by service
	shares   *evenShares

	leader   string    // peer address of the replica that last granted tokens; empty if none does
	fetched  bool      // all caps were read from a leader
	asked    int       // replicas asked in searches for a leader
	retryAt  time.Time // when a leader is looked for again
	pending  []Observation
	reported map[string]time.Time // when an unchanged rate was last reported, by upstream

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
		shares: newEvenShares(d.Daemon), reported: map[string]time.Time{},
	}
}

// Register adds the handlers of the keeper to s.
func (k *Keeper) Register(s *peer.Server) {
	peer.Handle(s, MethodAcquire, func(_ context.Context, q AcquireRequest) (AcquireReply, error) { return k.Issue(q) })
	peer.HandleNotice(s, MethodCaps, k.Told)
}

// Sent implements Tracker.
func (k *Keeper) Sent(to upstream.Announcement, p Purpose) {
	if k.known.Load() == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recorder.countSent(time.Now(), to, p)
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
// it names; 0 if one may be tried now.
func (k *Keeper) Wait(now time.Time, a upstream.Announcement) time.Duration {
	if k.known.Load() == 0 {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.wait(now, a)
}

// wait is Wait for a caller that holds k.mu.
func (k *Keeper) wait(now time.Time, a upstream.Announcement) time.Duration {
	until, ok := k.holds[a.ID]
	if !ok || !now.Before(until) {
		return 0
	}
	if _, ok := k.recorder.table.Get(now, a.ID, a.Incarnation); !ok {
		return 0
	}
	return until.Sub(now)
}

// Acquire takes a token for the request with the given id to an upstream. The request must
// be sent before sendBy, unless that is zero. It returns false if there is no token.
func (k *Keeper) Acquire(ctx context.Context, a upstream.Announcement, p Purpose, request string) (sendBy time.Time, ok bool) {
	if k.known.Load() == 0 {
		return time.Time{}, true
	}
	askedAt := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	c, bounded := k.recorder.table.Get(askedAt, a.ID, a.Incarnation)
	if !bounded {
		return time.Time{}, true
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

// askLeader asks the known leader for a token. It returns false if there is none or it does
// not answer. The caller holds k.mu, which is released meanwhile.
func (k *Keeper) askLeader(ctx context.Context, a upstream.Announcement, c Cap, p Purpose) (AcquireReply, bool) {
	if k.leader == "" {
		return AcquireReply{}, false
	}
	now := time.Now()
	q := AcquireRequest{Upstream: a.ID, Incarnation: a.Incarnation, Purpose: p, Seen: k.takePending(now)}
	// A new leader may not know what this daemon has read. What it was told stays out: its time
	// is later with each way between daemons, so that it would never end.
	if c.EndedAt.IsZero() && !c.told {
		q.Seen = append(q.Seen, Observation{ID: a.ID, Incarnation: c.Incarnation, Rate: c.Rate, SentAt: c.NamedAt, At: c.NamedAt}.toSend(now))
	}
	return k.ask(ctx, k.leader, q)
}

// ask sends q to a replica and takes what its reply tells. It returns false if that one does
// not lead or does not answer. The caller holds k.mu, which is released meanwhile.
func (k *Keeper) ask(ctx context.Context, address string, q AcquireRequest) (AcquireReply, bool) {
	k.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	reply, err := k.deployment.Ask(callCtx, address, q)
	cancel()
	k.mu.Lock()
	switch {
	case err == nil && reply.Leader == "":
		if k.leader != address {
			k.leader = address
			clear(k.shares.next)
			k.log.Info("Leader issues the tokens of rates that upstreams name.", "leader", address)
		}
		k.merge(time.Now(), reply.Caps)
		return reply, true
	case err == nil:
		err = result.New(result.NotLeader, "the leader is %s", reply.Leader)
	case ctx.Err() != nil:
		return reply, false // the request has ended, which says nothing about the leader
	}
	if k.leader == address {
		k.leader = ""
		k.log.Warn("Leader issues no tokens; the daemon keeps to its even share of the rates that upstreams name.", "leader", address, "err", err.Error())
	}
	return reply, false
}

// takePending returns the observations to report. The caller holds k.mu.
func (k *Keeper) takePending(now time.Time) []SentObservation {
	var out []SentObservation
	for _, o := range k.pending {
		out = append(out, o.toSend(now))
	}
	k.pending = nil
	return out
}

// Issue answers a request for a token, as the leader. Another replica names the leader. Error:
// NotLeader, if it knows none.
func (k *Keeper) Issue(q AcquireRequest) (AcquireReply, error) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.leads() {
		if a := k.knownLeader(); a != "" {
			return AcquireReply{Leader: a}, nil
		}
		return AcquireReply{}, result.New(result.NotLeader, "this daemon is not the leader")
	}
	for _, s := range q.Seen {
		if s.valid() && k.recorder.table.Observe(s.received(now)) {
			k.noteChanged(s.ID)
		}
	}
	k.countCaps()
	var r AcquireReply
	if q.All {
		r.Caps = k.allCaps(now)
	}
	if q.Upstream == "" {
		return r, nil
	}
	if c, ok := k.recorder.table.caps[q.Upstream]; ok {
		r.Caps = append(r.Caps, c.toSend(now, q.Upstream))
	}
	c, bounded := k.recorder.table.Get(now, q.Upstream, q.Incarnation)
	if !bounded {
		r.Granted = true
		return r, nil
	}
	ok, wait := k.issuer.Acquire(now, q.Upstream, c, q.Purpose)
	r.Granted, r.WaitMs = ok, wait.Milliseconds()
	return r, nil
}

// knownLeader returns the peer address of the leader that this daemon's replica knows, or "".
func (k *Keeper) knownLeader() string {
	if k.deployment.LeaderAddress == nil {
		return ""
	}
	return k.deployment.LeaderAddress()
}

// allCaps returns the caps, at most maxCapsInReply. The caller holds k.mu.
func (k *Keeper) allCaps(now time.Time) []SentCap {
	var out []SentCap
	for id, c := range k.recorder.table.caps {
		if out = append(out, c.toSend(now, id)); len(out) == maxCapsInReply {
			break
		}
	}
	return out
}

// leads reports whether this daemon leads, and makes sure that the issuer belongs to the
// current term. If the process is paused after that, its tokens end while it is: their time
// counts from before they were asked for. The caller holds k.mu.
func (k *Keeper) leads() bool {
	if k.deployment.Leads == nil {
		return false
	}
	term, ok := k.deployment.Leads()
	if !ok {
		return false
	}
	if k.issuer == nil || k.term != term {
		k.issuer, k.term = NewIssuer(), term
		k.changed, k.refresh = nil, nil
	}
	return true
}

// Turns returns the number of background requests that this daemon, as the leader, may send
// to an upstream now. It returns false if there is no bound.
func (k *Keeper) Turns(a upstream.Announcement) (n int, bounded bool) {
	if k.known.Load() == 0 {
		return 0, false
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	c, bounded := k.recorder.table.Get(now, a.ID, a.Incarnation)
	if !bounded || !k.leads() {
		return 0, bounded
	}
	return k.issuer.Available(now, a.ID, c, ForBackground), true
}

// TakeTurn takes the token of a background request that Turns has counted.
func (k *Keeper) TakeTurn(a upstream.Announcement) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if c, ok := k.recorder.table.Get(now, a.ID, a.Incarnation); ok && k.leads() {
		k.issuer.Acquire(now, a.ID, c, ForBackground)
	}
}

// ReturnDelay returns when a caller should return that none of the given upstreams of a
// service can take, because all are at the rates that they name. The delays of several
// callers are spread so that they do not return together. It returns false if one of the
// upstreams may be tried now.
func (k *Keeper) ReturnDelay(service string, list []upstream.Announcement) (time.Duration, bool) {
	if k.known.Load() == 0 || len(list) == 0 {
		return 0, false
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	earliest, rate := time.Duration(0), 0.0
	for i, a := range list {
		wait := k.wait(now, a)
		if wait == 0 {
			return 0, false
		}
		if i == 0 || wait < earliest {
			earliest = wait
		}
		c, _ := k.recorder.table.Get(now, a.ID, a.Incarnation)
		rate += c.RateAt(now)
	}
	gap := time.Duration(min(float64(max(k.deployment.Daemons(), 1))/rate, maxReturnDelay.Seconds()) * float64(time.Second))
	next := now.Add(earliest)
	if spread := k.returns[service].Add(gap); spread.After(next) {
		next = spread
	}
	if latest := now.Add(maxReturnDelay); next.After(latest) {
		next = latest
	}
	k.returns[service] = next
	return next.Sub(now), true
}

// sorted returns the ids of all caps, the one that has not changed for the longest time
// first. The caller holds k.mu.
func (k *Keeper) sorted() []string {
	caps := k.recorder.table.caps
	out := make([]string, 0, len(caps))
	for id := range caps {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(caps[a].changedAt().Compare(caps[b].changedAt()), cmp.Compare(a, b))
	})
	return out
}
