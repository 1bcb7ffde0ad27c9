package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Source is a replica, here or elsewhere, to follow.
type Source interface {
	Sync(ctx context.Context, q SyncRequest) (SyncReply, error)
}

// Sources lists the replicas to follow, best first. It may change any time.
type Sources func() []Source

// Timing of following.
const (
	syncTimeout = syncWait + 700*time.Millisecond
	syncPause   = 100 * time.Millisecond // after a failure
)

// View is what traffic reads: an immutable configuration and until when it may
// be relied on.
type View interface {
	Config() *state.Config
	// Fresh reports whether every change committed more than the freshness
	// lease ago is in Config.
	Fresh() bool
	// Changed is closed when Config is no longer the newest.
	Changed() <-chan struct{}
}

// Follower keeps the newest configuration of the system.
type Follower struct {
	log     *log.Logger
	sources Sources
	lease   time.Duration

	config  atomic.Pointer[state.Config]
	members atomic.Pointer[consensus.Membership]
	until   atomic.Pointer[time.Time]
	cluster string // of the first answer; used by Run only
	proven  bool   // some answer was proven to be the newest; used by Run only

	mu      sync.Mutex
	changed chan struct{}
}

// NewFollower returns a follower that knows nothing and is not fresh.
func NewFollower(sources Sources, lease time.Duration, logger *log.Logger) *Follower {
	f := &Follower{log: logger, sources: sources, lease: lease, changed: make(chan struct{})}
	f.config.Store(state.NewConfig())
	f.members.Store(&consensus.Membership{})
	f.until.Store(&time.Time{})
	return f
}

// Config implements View.
func (f *Follower) Config() *state.Config { return f.config.Load() }

// Members returns the control group as last heard.
func (f *Follower) Members() consensus.Membership { return *f.members.Load() }

// Fresh implements View.
func (f *Follower) Fresh() bool { return time.Now().Before(*f.until.Load()) }

// Changed implements View.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.round(ctx) {
			continue
		}
		periodic.Pause(ctx, syncPause)
	}
}

// round asks the sources in turn until one answers.
func (f *Follower) round(ctx context.Context) bool {
	for _, s := range f.sources() {
		// The replica held the question for Held before it answered, so its
		// answer was given at asked + Held at the earliest, and holds all that
		// was committed Age before.
		asked := time.Now()
		reply, err := f.ask(ctx, s)
		if err != nil {
			f.log.Debug("Sync failed.", "err", err.Error())
			continue
		}
		if err := f.take(reply); err != nil {
			f.log.Error("Sync answer refused.", "err", err.Error())
			continue
		}
		if reply.Unproven {
			continue
		}
		until := asked.Add(reply.Held - reply.Age + f.lease)
		f.until.Store(&until)
		f.proven = true
		return true
	}
	return false
}

func (f *Follower) ask(ctx context.Context, s Source) (SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return s.Sync(ctx, SyncRequest{After: f.Config().Version, MembershipHash: groupHash(f.Members()), Unproven: !f.proven})
}

// take brings the configuration forward; it never goes back.
func (f *Follower) take(reply SyncReply) error {
	if f.cluster == "" {
		f.cluster = reply.Cluster
	}
	if reply.Cluster != f.cluster {
		return result.New(result.NotReplica, "the answer came from cluster %s, not %s", reply.Cluster, f.cluster)
	}
	if len(reply.Members) > 0 {
		f.members.Store(&reply.Members)
	}
	next := f.Config()
	switch {
	case reply.Config != nil && reply.Config.Version > next.Version:
		if err := reply.Config.Parse(); err != nil {
			return err
		}
		next = reply.Config
	case len(reply.Changes) > 0:
		for _, c := range reply.Changes {
			if c.Version <= next.Version {
				continue
			}
			n, o := next.Apply(c.Command)
			if o.Code != result.OK || n.Version != c.Version {
				return result.New(result.Internal, "change %d does not follow version %d: %s", c.Version, next.Version, o.Message)
			}
			next = n
		}
	}
	if f.config.Swap(next) == next {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}
