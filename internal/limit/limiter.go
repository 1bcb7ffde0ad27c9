package limit

import (
	"context"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Limiter enforces the rate limits of accounts at one entry. On the leader it also grants
// the leases.
type Limiter struct {
	holderID   string
	config     func() *state.Config
	client     *peer.Client
	replicas   func() []string           // peer addresses of the replicas
	leadership func() control.Leadership // nil on a daemon that never leads

	mu      sync.Mutex
	holders map[Key]*Holder
	grantor *Grantor
	term    uint64
	leader  string // address of the replica that last granted leases
}

// New returns the Limiter of a daemon. holderID identifies the daemon's process and must be
// different at every start. leadership is nil on a daemon that never leads.
func New(holderID string, config func() *state.Config, client *peer.Client, replicas func() []string, leadership func() control.Leadership) *Limiter {
	return &Limiter{holderID: holderID, config: config, client: client, replicas: replicas, leadership: leadership, holders: map[Key]*Holder{}}
}

// Register adds the lease method to s.
func (l *Limiter) Register(s *peer.Server) {
	peer.Handle(s, MethodLease, l.handleLeaseRequest)
}

// Consume takes cost from the limit of an account at a service. Accounts without a limit
// are never rejected. Error: LimitReached with a retry delay.
func (l *Limiter) Consume(k Key, cost float64) error {
	if limitOf(l.config(), k) <= 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holderFor(k).Consume(time.Now(), cost)
}

// Refund returns the tokens by which an estimate was too high.
func (l *Limiter) Refund(k Key, cost float64) {
	if limitOf(l.config(), k) <= 0 || cost <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holderFor(k).Refund(time.Now(), cost)
}

// holderFor returns the holder for k, which it creates if needed. The caller holds l.mu.
func (l *Limiter) holderFor(k Key) *Holder {
	h := l.holders[k]
	if h == nil {
		h = &Holder{requestedSince: time.Now()}
		l.holders[k] = h
	}
	return h
}

// limitOf returns the limit for k in c, in cost units a second, or 0 if there is none.
func limitOf(c *state.Config, k Key) float64 {
	s, ok := c.Services[k.Service]
	if !ok {
		return 0
	}
	return s.Parsed.Account(k.Account).Limit
}

// Run requests leases until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	periodic.Every(ctx, requestInterval, func() { l.requestLeases(ctx) })
}

// requestLeases requests this entry's shares from the leader. It sends nothing if no
// account has a limit.
func (l *Limiter) requestLeases(ctx context.Context) {
	requestedAt := time.Now()
	q := LeaseRequest{Holder: l.holderID, Items: l.leaseRequests(requestedAt)}
	if len(q.Items) == 0 {
		return
	}
	for _, a := range l.addresses() {
		callCtx, cancel := context.WithTimeout(ctx, requestInterval)
		r, err := peer.Call[LeaseReply](callCtx, l.client, a, MethodLease, q)
		cancel()
		if err == nil {
			l.applyLeases(requestedAt, a, r)
			return
		}
	}
}

// addresses returns the addresses of the replicas, the one that last granted leases
// first.
func (l *Limiter) addresses() []string {
	l.mu.Lock()
	leader := l.leader
	l.mu.Unlock()
	out := []string{}
	if leader != "" {
		out = append(out, leader)
	}
	for _, a := range l.replicas() {
		if a != leader {
			out = append(out, a)
		}
	}
	return out
}

// leaseRequests returns a request for every limit in the configuration and removes the
// holders of limits that no longer exist.
func (l *Limiter) leaseRequests(now time.Time) []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Request
	known := map[Key]bool{}
	for _, s := range l.config().Services {
		for _, a := range s.Parsed.Accounts {
			if a.Limit <= 0 {
				continue
			}
			k := Key{Service: s.Name, Account: a.Name}
			known[k] = true
			out = append(out, l.holderFor(k).Request(now, k))
		}
	}
	for k := range l.holders {
		if !known[k] {
			delete(l.holders, k)
		}
	}
	return out
}

// applyLeases starts to use the leases of a reply from the leader.
func (l *Limiter) applyLeases(requestedAt time.Time, leader string, r LeaseReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = leader
	now := time.Now()
	for _, x := range r.Leases {
		l.holderFor(x.Key).UseLease(now, requestedAt, x)
	}
}

// handleLeaseRequest grants leases to an entry, which may be this one. Error: NotLeader.
func (l *Limiter) handleLeaseRequest(_ context.Context, q LeaseRequest) (LeaseReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.ensureGrantor(now) {
		return LeaseReply{}, result.New(result.NotLeader, "this daemon is not the leader")
	}
	var r LeaseReply
	for _, x := range q.Items {
		limit := limitOf(l.config(), x.Key)
		if limit <= 0 {
			continue
		}
		if lease, ok := l.grantor.Request(now, q.Holder, x, limit); ok {
			r.Leases = append(r.Leases, lease)
		}
	}
	return r, nil
}

// ensureGrantor reports whether this daemon leads, and makes sure that the grantor
// belongs to the current term. now must be read before the call. Leases granted at now
// then begin before the leader lease ends, so that a later leader waits for their end,
// even if this process is paused after the clock was read.
func (l *Limiter) ensureGrantor(now time.Time) bool {
	if l.leadership == nil {
		return false
	}
	x := l.leadership()
	if x.Term == 0 || !now.Before(x.Until) {
		return false
	}
	if l.grantor == nil || x.Term != l.term {
		l.grantor = NewGrantor(now, x.Term)
		l.term = x.Term
	}
	return true
}
