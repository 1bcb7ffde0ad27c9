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

// Limits spends the limits of accounts at one entry and, on the leader, grants
// them.
type Limiter struct {
	holder     string
	config     func() *state.Config
	client     *peer.Client
	replicas   func() []string           // peer addresses to ask
	leadership func() control.Leadership // nil on a daemon that never leads

	mu      sync.Mutex
	holders map[Key]*Holder
	grantor *Grantor
	term    uint64
	leader  string // address that granted last
}

// New returns the limits of a daemon; holder must differ at every start.
func New(holder string, config func() *state.Config, client *peer.Client, replicas func() []string, leadership func() control.Leadership) *Limiter {
	return &Limiter{holder: holder, config: config, client: client, replicas: replicas, leadership: leadership, holders: map[Key]*Holder{}}
}

// Register adds the call of the grantor to s.
func (l *Limiter) Register(s *peer.Server) {
	peer.Handle(s, MethodAsk, l.grant)
}

// Spend takes cost from an account's limit at a service; an account without a
// limit is never refused. Error: LimitReached with the time to come back.
func (l *Limiter) Consume(k Key, cost float64) error {
	if limitOf(l.config(), k) <= 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.get(k).Consume(time.Now(), cost)
}

// Refund gives back what an estimate was too high by.
func (l *Limiter) Refund(k Key, cost float64) {
	if limitOf(l.config(), k) <= 0 || cost <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(k).Refund(time.Now(), cost)
}

func (l *Limiter) get(k Key) *Holder {
	h := l.holders[k]
	if h == nil {
		h = &Holder{since: time.Now()}
		l.holders[k] = h
	}
	return h
}

func limitOf(c *state.Config, k Key) float64 {
	s, ok := c.Services[k.Service]
	if !ok {
		return 0
	}
	return s.Parsed.Account(k.Account).Limit
}

// Run asks for shares until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	periodic.Every(ctx, askInterval, func() { l.ask(ctx) })
}

// ask asks the leader for this entry's shares; nothing is sent without limits.
func (l *Limiter) ask(ctx context.Context) {
	asked := time.Now()
	q := AskRequest{Holder: l.holder, Items: l.items(asked)}
	if len(q.Items) == 0 {
		return
	}
	for _, a := range l.addresses() {
		callCtx, cancel := context.WithTimeout(ctx, askInterval)
		r, err := peer.Call[AskReply](callCtx, l.client, a, MethodAsk, q)
		cancel()
		if err == nil {
			l.take(asked, a, r)
			return
		}
	}
}

// addresses are the replicas, that which granted last first.
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

func (l *Limiter) items(now time.Time) []Ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Ask
	known := map[Key]bool{}
	for _, s := range l.config().Services {
		for _, a := range s.Parsed.Accounts {
			if a.Limit <= 0 {
				continue
			}
			k := Key{Service: s.Name, Account: a.Name}
			known[k] = true
			out = append(out, l.get(k).Ask(now, k))
		}
	}
	for k := range l.holders {
		if !known[k] {
			delete(l.holders, k)
		}
	}
	return out
}

func (l *Limiter) take(asked time.Time, leader string, r AskReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = leader
	now := time.Now()
	for _, x := range r.Leases {
		l.get(x.Key).Take(now, asked, x)
	}
}

// grant answers another entry, or this one.
func (l *Limiter) grant(_ context.Context, q AskRequest) (AskReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.leads(now) {
		return AskReply{}, result.New(result.NotLeader, "this daemon does not lead")
	}
	var r AskReply
	for _, x := range q.Items {
		limit := limitOf(l.config(), x.Key)
		if limit <= 0 {
			continue
		}
		if lease, ok := l.grantor.Ask(now, q.Holder, x, limit); ok {
			r.Leases = append(r.Leases, lease)
		}
	}
	return r, nil
}

// leads keeps a grantor for the term that this daemon leads. The lease is
// checked after the clock was read, so that a pause in between grants nothing
// that a later leader does not wait for.
func (l *Limiter) leads(now time.Time) bool {
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
