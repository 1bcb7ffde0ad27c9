package batch

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/overlong"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
)

const (
	// permitCheckInterval is how often a carrier looks for permits that have run out.
	permitCheckInterval = 50 * time.Millisecond
	// progressInterval is the time between two notices of progress to the leader.
	progressInterval = 200 * time.Millisecond
	// minReportedEvents is the number of events from which on a carrier sends them before
	// the run has ended. Short runs send them once, in the reply.
	minReportedEvents = minProgressEvents
)

// Carrier runs attempts at engines for the leader. The leader of a large deployment has not
// the processor time to read all events itself.
type Carrier struct {
	client  *peer.Client
	address string // own peer address
	engines Engines
	scorer  Scorer
	log     *log.Logger

	mu       sync.Mutex
	permits  *runPermits
	runs     map[string]*carriedRun
	draining bool

	retainedMu sync.Mutex
	retained   *retention
}

// carriedRun is one attempt on a carrier.
type carriedRun struct {
	leader string
	term   uint64
	cancel context.CancelCauseFunc
	done   chan struct{} // closed when the run has ended

	mu       sync.Mutex
	events   []Event // those that the leader is not known to have
	dropped  int     // number of events before these
	bytes    int     // of all events
	overlong error
}

// NewCarrier returns a carrier. address is the peer address of its daemon, and incarnation
// identifies its process. It retains output of up to retained bytes for the next leader.
func NewCarrier(client *peer.Client, address string, incarnation int64, retained int, e Engines, s Scorer, logger *log.Logger) *Carrier {
	return &Carrier{client: client, address: address, engines: e, scorer: s, log: logger, permits: newRunPermits(incarnation), runs: map[string]*carriedRun{}, retained: newRetention(retained)}
}

// Register adds the handlers of the carrier to s.
func (c *Carrier) Register(s *peer.Server) {
	peer.Handle(s, MethodGreet, func(context.Context, struct{}) (CarrierClock, error) { return c.clock(), nil })
	peer.Handle(s, MethodRun, c.run)
	peer.HandleNotice(s, MethodHold, c.hold)
	peer.Handle(s, MethodCollect, c.collect)
	peer.Handle(s, MethodScore, func(ctx context.Context, q ScoreRequest) (ScoreReply, error) {
		ctx, cancel := context.WithTimeout(ctx, q.Left)
		defer cancel()
		now := time.Now()
		startBy := now.Add(permitDuration)
		if q.StartUntil > 0 {
			startBy = now.Add(min(permitDuration, q.StartUntil-clock.Now()))
		}
		// The call goes on when the leader gives it up: a leader that is killed, or whose batch job
		// has ended, must not be outlived for longer than by runs. The call may also arrive late: what
		// a partition has held up is sent again long after it has healed.
		score, err := c.scorer.Score(ctx, q.Reward, ScoreLimits{Deadline: now.Add(q.Left), StartBy: startBy, Homes: q.Homes})
		return ScoreReply{Score: score}, err
	})
}

func (c *Carrier) clock() CarrierClock {
	return CarrierClock{Incarnation: c.permits.incarnation, Now: clock.Now()}
}

// Run ends runs without a permit and reports progress until ctx ends.
func (c *Carrier) Run(ctx context.Context) {
	go periodic.Every(ctx, progressInterval, c.report)
	periodic.Every(ctx, permitCheckInterval, func() {
		now := clock.Now()
		c.retain(func(r *retention) { r.expire(now) })
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cancelRuns(c.permits.expire(now), "its permit ran out")
	})
}

// Drain ends all runs, whose items the leader resumes elsewhere, and accepts no others.
func (c *Carrier) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	for run := range c.runs {
		c.cancelRuns([]string{run}, "the carrier is shutting down")
	}
}

// cancelRuns cancels runs. The caller holds c.mu.
func (c *Carrier) cancelRuns(runs []string, reason string) {
	for _, id := range runs {
		if r := c.runs[id]; r != nil {
			r.cancel(result.New(result.SampleMoved, "%s", reason))
			c.log.Info("Carried run cancelled.", "run", id, "leader", r.leader, "why", reason)
		}
	}
}

func (c *Carrier) hold(h Hold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelRuns(c.permits.hold(clock.Now(), h), "the leader does not want it")
	for _, x := range h.Runs {
		if r := c.runs[x.Run]; r != nil {
			r.acknowledge(x.Have)
		}
	}
}

// run runs an attempt and returns once it has ended.
func (c *Carrier) run(ctx context.Context, q RunRequest) (RunReply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &carriedRun{leader: q.Leader, term: q.Term, cancel: cancel, done: make(chan struct{})}
	if err := c.begin(q, r); err != nil {
		return RunReply{}, err
	}
	g := GenerateRequest{
		ID: q.ID, Host: q.Host, Path: q.Path, Account: q.Account, Header: q.Header, Body: q.Body, Homes: q.Homes, LastEventID: q.LastEventID, Priority: q.Priority,
		Deadline: time.Now().Add(q.Left), MaxEventBytes: func() int { return q.MaxEventBytes },
	}
	if q.StartUntil > 0 {
		g.StartBy = time.Now().Add(q.StartUntil - clock.Now())
	}
	err := c.engines.Generate(ctx, q.Upstream, g, func(e Event) {
		if r.append(e, q.MaxEvents, q.MaxBytes) {
			c.retain(func(x *retention) { x.append(q.Run, e) })
		} else {
			c.retain(func(x *retention) { x.drop(q.Run) })
		}
	})
	complete := err == nil
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	c.retain(func(x *retention) { x.end(clock.Now(), q.Run, complete) })
	c.mu.Lock()
	c.permits.end(q.Run)
	delete(c.runs, q.Run)
	c.mu.Unlock()
	close(r.done)
	return r.reply(err), nil
}

// begin admits a run. It returns Stopped if the permit does not count.
func (c *Carrier) begin(q RunRequest, r *carriedRun) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return result.New(result.Stopped, "the carrier is shutting down")
	}
	now := clock.Now()
	ok, ended := c.permits.begin(now, q.Permit, q.Run)
	c.cancelRuns(ended, "another leader has taken over")
	if !ok {
		c.log.Warn("Run refused without a valid permit.", "run", q.Run, "item", q.ID, "leader", q.Leader, "term", q.Term, "highest_term", c.permits.term,
			"left_ms", (q.Until - now).Milliseconds(), "incarnation", q.Incarnation == c.permits.incarnation)
		return result.New(result.Stopped, "the permit has run out")
	}
	c.runs[q.Run] = r
	if q.Job != "" {
		c.retain(func(x *retention) { x.begin(q.Run, outputOf(q)) })
	}
	return nil
}

// report sends the progress of all runs to their leaders. A leader hears from each of its
// carriers as long as these have runs.
func (c *Carrier) report() {
	reports := map[string]*Progress{}
	c.mu.Lock()
	for id, r := range c.runs {
		p := reports[r.leader]
		if p == nil {
			p = &Progress{Carrier: c.address, Clock: c.clock()}
			reports[r.leader] = p
		}
		p.Runs = append(p.Runs, r.progress(id))
	}
	c.mu.Unlock()
	for leader, p := range reports {
		c.client.Notify(leader, MethodProgress, p)
	}
}

// append keeps an event. It returns false for a run whose output exceeds its bounds, which is cancelled
// without events.
func (r *carriedRun) append(e Event, maxEvents, maxBytes int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.overlong != nil {
		return false
	}
	r.bytes += len(e.Data) + 1
	if r.dropped+len(r.events) >= maxEvents || r.bytes > maxBytes {
		r.overlong = overlong.Cut(overlong.ItemBytes, "the output of the attempt exceeds %d events or %d bytes", maxEvents, maxBytes)
		r.events = nil
		r.cancel(r.overlong)
		return false
	}
	r.events = append(r.events, e)
	return true
}

// acknowledge forgets the first n events of the run, which the leader has.
func (r *carriedRun) acknowledge(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := min(n-r.dropped, len(r.events)); k > 0 {
		r.events = r.events[k:]
		r.dropped += k
	}
}

func (r *carriedRun) progress(id string) RunProgress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := RunProgress{Run: id, Count: r.dropped + len(r.events), From: r.dropped}
	if len(r.events) >= minReportedEvents {
		p.Events = r.events[:len(r.events):len(r.events)]
	}
	return p
}

func (r *carriedRun) reply(err error) RunReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.overlong != nil {
		err = r.overlong
	}
	out := RunReply{From: r.dropped, Events: r.events}
	if err != nil {
		e := result.From(err)
		out.Code, out.Message = e.Code, e.Message
	}
	return out
}
