package duty

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Timing of the simulated holders and their connections. The connections have the options of
// internal/reach and the timeout of platform for a call to the provider.
const (
	simMaxDrift    = 0.1 // as in the schedules of internal/consensus
	simGuard       = 3 * time.Second
	simDialTimeout = 400 * time.Millisecond
	simUserTimeout = 2 * time.Second // TCP_USER_TIMEOUT
	// simOrderTimeout is that of a connection for orders. The kernel counts it from the first
	// retransmission.
	simOrderTimeout    = 200 * time.Millisecond
	simProviderTimeout = 1500 * time.Millisecond
	simHeartbeat       = 50 * time.Millisecond
	// simMinElection is an election timeout on the fastest clock.
	simMinElection = consensus.DefaultElectionTimeout * 10 / 11
	// simResume is how long after a thaw a process has run all goroutines that were due.
	simResume = time.Millisecond
)

// simHolder is a process that may lead. All code of the product that it runs stops at the next
// call of gate while it is frozen; its connections go on, as they do in the kernel.
type simHolder struct {
	s    *dutySim
	name string
	rate float64 // of its clock

	// The following are guarded by s.mu.
	thaw       chan struct{} // closed at the thaw; nil: not frozen
	thawedAt   time.Time
	cuts       int // of its link to the receivers
	restoredAt time.Time
	isolated   bool // from the control group
	lease      control.Leadership
}

// real returns how long a duration on the holder's clock takes.
func (h *simHolder) real(d time.Duration) time.Duration { return time.Duration(float64(d) / h.rate) }

// gate returns once the holder runs. After a thaw, what reads the lease runs before what sends.
func (h *simHolder) gate() {
	for c := h.frozen(); c != nil; c = h.frozen() {
		<-c
		time.Sleep(simResume)
	}
}

func (h *simHolder) frozen() chan struct{} {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	return h.thaw
}

func (h *simHolder) freeze(d time.Duration) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	if h.thaw != nil {
		return
	}
	h.s.logf("%s is frozen for %v", h.name, d)
	c := make(chan struct{})
	h.thaw = c
	time.AfterFunc(d, func() {
		h.s.mu.Lock()
		defer h.s.mu.Unlock()
		h.thaw, h.thawedAt = nil, time.Now()
		close(c)
	})
}

// cut cuts the link to the receivers.
func (h *simHolder) cut(d time.Duration) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.s.logf("the link of %s is cut for %v", h.name, d)
	h.cuts++
	time.AfterFunc(d, func() {
		h.s.mu.Lock()
		defer h.s.mu.Unlock()
		h.cuts--
		h.restoredAt = time.Now()
	})
}

func (h *simHolder) isCut() bool {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	return h.cuts > 0
}

// isolate cuts the holder off from the control group.
func (h *simHolder) isolate(d time.Duration) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.s.logf("%s is isolated for %v", h.name, d)
	h.isolated = true
	time.AfterFunc(d, func() {
		h.s.mu.Lock()
		defer h.s.mu.Unlock()
		h.isolated = false
	})
}

// reachesGroup reports whether the holder's messages reach the control group. The caller holds s.mu.
func (h *simHolder) reachesGroup() bool { return h.thaw == nil && !h.isolated }

// leadership is Replica.Leadership. The holder may be frozen before and after it reads the lease.
func (h *simHolder) leadership() control.Leadership {
	for c := h.frozen(); c != nil; c = h.frozen() {
		<-c
	}
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	return h.lease
}

// dutySim is one schedule in virtual time: holders, the leases of the control group, and
// receivers that check no fencing token.
type dutySim struct {
	seed  uint64
	began time.Time
	// A call is struck with a fault once in strikeOneIn times at each of its stages.
	strikeOneIn   int
	longestFreeze time.Duration // of such a fault
	// longestElection is the longest time from an election timeout to the next leader.
	longestElection time.Duration
	// shortReigns is set if every second leader is isolated soon after it took over.
	shortReigns bool

	mu      sync.Mutex
	state   *state.State
	holders []*simHolder
	calls   map[string]uint64 // by holder and subject
	acts    map[string][]act  // received, by duty and subject
	counted int
	terms   uint64
	engines map[string]*Report
	failure string
	trace   []string
}

// act is a call that a receiver took.
type act struct {
	at     time.Time
	holder string
	token  uint64
}

// logf adds a line to the trace. The caller holds s.mu.
func (s *dutySim) logf(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%7.3f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// random returns a source of random numbers that depends on the names only, not on the order in
// which goroutines run.
func (s *dutySim) random(names ...any) *rand.Rand {
	key := fmt.Sprint(names...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[key]++
	h := s.calls[key]
	for _, c := range []byte(key) {
		h = h*1099511628211 + uint64(c)
	}
	return rand.New(rand.NewPCG(s.seed, h))
}

func between(r *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(r.Int64N(int64(b-a)+1))
}

// simReign is the time for which a leader has led, as its successor reads it from the log.
type simReign struct {
	leader      *simHolder
	first, last time.Time // commands of its term
	predecessor time.Duration
	committed   bool // an entry of its term; otherwise it has no lease
}

// led is the time of the group between the first and the last command, on the clock of the leader.
func (r simReign) led() time.Duration {
	if r.leader == nil {
		return 0
	}
	return time.Duration(float64(r.last.Sub(r.first)) * r.leader.rate)
}

// lead grants leases as the control group does: a lease counts from the heartbeat before it, and
// no other replica is elected within an election timeout of that heartbeat, each on its own clock.
// internal/consensus proves that for all of its schedules. Terms only grow. Some leaders commit
// nothing and so hold no lease, but their successors have their commands in the log.
func (s *dutySim) lead(ctx context.Context) {
	rnd := s.random("leases")
	commands := s.random("commands")
	var reign simReign
	term, electionAt := uint64(0), time.Now()
	for ; ctx.Err() == nil; time.Sleep(simHeartbeat) {
		now := time.Now()
		s.mu.Lock()
		if !now.Before(electionAt) {
			if leader := s.holders[rnd.IntN(len(s.holders))]; leader.reachesGroup() {
				term++
				reign = simReign{leader: leader, first: now, last: now, predecessor: reign.led(), committed: commands.IntN(8) != 0}
				s.logf("%s leads in term %d, its predecessor led %v", leader.name, term, reign.predecessor)
				if s.shortReigns && commands.IntN(2) == 0 {
					d := between(commands, time.Second, 2*time.Second)
					time.AfterFunc(between(commands, 0, 1500*time.Millisecond), func() { leader.isolate(d) })
				}
			}
		}
		if leader := reign.leader; leader != nil && leader.reachesGroup() {
			if commands.IntN(4) == 0 {
				reign.last = now
			}
			if reign.committed {
				leader.lease = control.Leadership{Term: term, Since: reign.first, Until: now.Add(leader.real(consensus.DefaultLeaseDuration)), PredecessorLed: reign.predecessor}
			}
			electionAt = now.Add(simMinElection + between(rnd, 0, s.longestElection))
		}
		s.terms = term
		s.mu.Unlock()
	}
}

// takes records a call that arrives from h. It must have no lower token than an earlier one of its
// subject, and holders must not act in the order A, B, A within simOrder.
func (s *dutySim) takes(h *simHolder, subject string, token uint64) {
	now := time.Now()
	s.logf("%s receives a call of %s with token %d", subject, h.name, token)
	if now.Sub(h.thawedAt) <= simThaw || now.Sub(h.restoredAt) <= simThaw {
		return
	}
	s.counted++
	another := false
	for i := len(s.acts[subject]) - 1; i >= 0; i-- {
		a := s.acts[subject][i]
		if a.token > token {
			s.fail("%s receives token %d from %s after token %d from %s", subject, token, h.name, a.token, a.holder)
		}
		if a.holder == h.name && another && now.Sub(a.at) <= simOrder {
			s.fail("%s receives calls from %s, another holder, and %s within %v", subject, h.name, h.name, now.Sub(a.at))
		}
		another = another || a.holder != h.name
	}
	s.acts[subject] = append(s.acts[subject], act{now, h.name, token})
}

func (s *dutySim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
		s.logf("FAILED: %s", s.failure)
	}
}

func (s *dutySim) String() string { return s.failure + "\n" + strings.Join(s.trace, "\n") }
