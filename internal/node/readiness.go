package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/readiness"
	"github.com/apricotstream/apricotstream/internal/result"
)

const (
	// freshnessPoll is how often a node that has just started looks whether its configuration is
	// known to be the newest. Held requests wait for that.
	freshnessPoll = 5 * time.Millisecond
	// deploymentPolls is the number of these polls between two summaries of the other daemons.
	deploymentPolls = 4
	// startPullTimeout bounds a pull of the upstreams after the start: another replica is asked
	// soon after.
	startPullTimeout = 300 * time.Millisecond
	// workShare is the part of a route's target latency that most requests take.
	workShare = 0.5
)

// start is what a node that has just started knows of the other daemons, and the requests that
// it holds.
type start struct {
	gate       *readiness.Gate
	deployment atomic.Pointer[readiness.Deployment] // nil until the first summary
	wasFresh   atomic.Bool                          // the configuration has been known to be the newest
}

// WaitingRequest is a request that may wait until this node can serve it.
type WaitingRequest struct {
	ID            string
	Need          readiness.Need
	Service       string        // for readiness.Upstream
	TargetLatency time.Duration // of the route; zero if it is not known or has none
	Deadline      time.Time
	Held          bool // it has been held for something else that it needed
}

// AwaitReady returns nil once what q lacks is known to this node, for which it holds q if the node
// has just started and can probably serve q in time. Otherwise it returns at once, or when that
// is no longer so, NoConfiguration or NoUpstream. The retry delay of the error is zero when
// the decision has no estimate.
func (n *Node) AwaitReady(ctx context.Context, q WaitingRequest) error {
	code := result.NoConfiguration
	if q.Need == readiness.Upstream {
		code = result.NoUpstream
	}
	v := n.start.gate.Await(ctx, q.ID, func() readiness.Situation { return n.situation(q) })
	if v.Action == readiness.Proceed {
		return nil
	}
	return result.NewRetryAfter(code, v.RetryAfter, "this entry is not ready: %s", v.Reason)
}

// situation returns the situation of q.
func (n *Node) situation(q WaitingRequest) readiness.Situation {
	s := readiness.Situation{
		Now: time.Now(), Started: n.started, Need: q.Need, Draining: n.Draining(), Deadline: q.Deadline, Waiting: q.Held,
		Work: time.Duration(workShare * float64(q.TargetLatency)),
	}
	switch q.Need {
	case readiness.Configuration:
		s.Met = n.Table() != nil
	case readiness.FreshConfiguration:
		s.Met, s.Lost = n.Fresh(), n.start.wasFresh.Load()
	case readiness.Upstream:
		s.Met = n.directory.SeenService(q.Service)
	}
	if !s.Met {
		s.AnyUpstream = len(n.directory.Known()) > 0
		if d := n.start.deployment.Load(); d != nil {
			s.Deployment = *d
		}
	}
	return s
}

// MayHold reports whether AwaitReady would hold q now.
func (n *Node) MayHold(q WaitingRequest) bool {
	return readiness.Decide(n.situation(q)).Action == readiness.Hold
}

// watchStart keeps the summary of the other daemons up to date in the time in which requests may
// be held, and tells these when something has changed.
func (n *Node) watchStart(ctx context.Context) {
	var reachedAt time.Time
	fresh := false
	for i := 0; time.Since(n.started) <= readiness.StartPeriod; i++ {
		changed := false
		if f := n.Fresh(); f != fresh {
			fresh, changed = f, true
			n.start.wasFresh.Store(true)
		}
		if i%deploymentPolls == 0 || reachedAt.IsZero() { // no request is held before the first evidence
			tried, refused := n.gossip.Seeds() // before the daemons, or one that has just answered counts as neither
			live := n.gossip.Live()
			if reachedAt.IsZero() && (len(live) > 1 || n.Table() != nil) { // a configuration comes from a replica
				reachedAt = time.Now()
			}
			d := n.summarize(reachedAt, live, readiness.Seeds{Tried: tried, Refused: refused})
			if old := n.start.deployment.Swap(&d); old == nil || *old != d {
				changed = true
			}
		}
		if changed {
			n.start.gate.Notify()
		}
		if !periodic.Pause(ctx, freshnessPoll) {
			return
		}
	}
	n.start.gate.Notify()
}

// summarize returns the summary of the daemons that are up.
func (n *Node) summarize(reachedAt time.Time, live []member.Daemon, seeds readiness.Seeds) readiness.Deployment {
	var peers []readiness.Peer
	for _, d := range live {
		if d.ID != n.cfg.ID {
			peers = append(peers, readiness.Peer{Started: time.Unix(0, d.Incarnation), Entry: d.CallerAddress != "" && !d.Draining, Fresh: d.Fresh})
		}
	}
	return readiness.Summarize(n.started, reachedAt, peers, seeds)
}

// pullUntilComplete pulls the upstreams of random replicas at short intervals while an upstream of
// some service that has a route is not known. The replicas do not know this node in the first
// moments after a restart of all, so their notices do not reach it, and the next ones come after
// 1.6 s.
func (n *Node) pullUntilComplete(ctx context.Context) {
	for {
		wait, again := readiness.NextPull(time.Since(n.started), n.listsAllServices(), rand.Float64())
		if !again || !periodic.Pause(ctx, wait) {
			return
		}
		sources := n.directorySources()
		if up := len(member.Replicas(n.gossip.Live())); up > 0 {
			sources = sources[:min(len(sources), up)] // those that are up come first
		}
		if len(sources) == 0 {
			continue
		}
		pullCtx, cancel := context.WithTimeout(ctx, startPullTimeout)
		a := sources[rand.IntN(len(sources))]
		if err := n.directory.Pull(pullCtx, n.client, a); err != nil {
			n.log.Debug("Failed to pull the upstreams of a replica after the start.", "with", a, "err", err.Error())
		}
		cancel()
	}
}

// listsAllServices reports whether an upstream of each service that has a route is known.
func (n *Node) listsAllServices() bool {
	t := n.Table()
	if t == nil {
		return false
	}
	for i := range t.Config.Routes {
		for _, s := range t.Config.Routes[i].Splits {
			if s.Weight > 0 && !n.directory.SeenService(s.Service) {
				return false
			}
		}
	}
	return true
}
