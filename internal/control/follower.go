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

// Source is a local or remote replica from which a Follower gets the configuration.
type Source interface {
	Sync(ctx context.Context, q SyncRequest) (SyncReply, error)
}

// Sources returns the replicas to sync with, best first. The result may change between
// calls.
type Sources func() []Source

// Timing of the sync requests of a Follower.
const (
	syncTimeout       = syncWait + 700*time.Millisecond
	syncRetryInterval = 100 * time.Millisecond // after no source gave a proven reply
)

// View gives request handling an immutable configuration and tells whether it may be
// relied on.
type View interface {
	Config() *state.Config
	// Fresh reports whether Config contains every change that was committed more than
	// the freshness lease ago.
	Fresh() bool
	// Changed returns a channel that is closed when a newer Config is available.
	Changed() <-chan struct{}
}

// Follower keeps the newest configuration, which it gets from replicas.
type Follower struct {
	log            *log.Logger
	sources        Sources
	freshnessLease time.Duration

	config          atomic.Pointer[state.Config]
	members         atomic.Pointer[consensus.Membership]
	freshUntil      atomic.Pointer[time.Time]
	cluster         string      // ID from the first reply; used by Run only
	connecting      atomic.Bool // to one of the sources that were put off
	connected       int         // number of times that a source was chosen for that; used by Run only
	hasProvenConfig atomic.Bool // a reply was proven to be the newest

	mu      sync.Mutex
	changed chan struct{} // closed when config is replaced
}

// NewFollower returns a follower with an empty configuration, which is not fresh. The
// configuration counts as fresh for freshnessLease after a proven reply.
func NewFollower(sources Sources, freshnessLease time.Duration, logger *log.Logger) *Follower {
	f := &Follower{log: logger, sources: sources, freshnessLease: freshnessLease, changed: make(chan struct{})}
	f.config.Store(state.NewConfig())
	f.members.Store(&consensus.Membership{})
	f.freshUntil.Store(&time.Time{})
	return f
}

// Config implements View.
func (f *Follower) Config() *state.Config { return f.config.Load() }

// Members returns the membership of the control group from the newest sync reply that
// contained it.
func (f *Follower) Members() consensus.Membership { return *f.members.Load() }

// Fresh implements View.
func (f *Follower) Fresh() bool { return time.Now().Before(*f.freshUntil.Load()) }

// Proven reports whether Config was proven to be the newest one at some time since the start.
func (f *Follower) Proven() bool { return f.hasProvenConfig.Load() }

// Changed implements View. The channel is also closed when Proven becomes true.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Run syncs with the sources until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.syncOnce(ctx) && !f.freshnessAtRisk() {
			continue
		}
		periodic.Pause(ctx, syncRetryInterval)
	}
}

// freshnessAtRisk reports whether the configuration may no longer be fresh when a request that is
// held fails.
func (f *Follower) freshnessAtRisk() bool {
	return time.Until(*f.freshUntil.Load()) < min(syncTimeout, f.freshnessLease*3/4)
}

// syncOnce asks the sources in turn until one gives a proven reply, and reports whether
// one did. Once another daemon has replied, those without a connection are put off: the dials to machines that
// are gone must not delay the question to a new leader.
func (f *Follower) syncOnce(ctx context.Context) bool {
	replied := false
	var putOff []connector
	defer func() { f.connectOne(ctx, putOff) }()
	for _, s := range f.sources() {
		c, remote := s.(connector)
		if remote && replied && !c.Connected() {
			putOff = append(putOff, c)
			continue
		}
		// The replica holds the request for Held before it replies. The reply was
		// formed at sentAt + Held at the earliest, and contains everything that was
		// committed up to Age before that.
		sentAt := time.Now()
		reply, err := f.requestSync(ctx, s)
		replied = replied || remote && replicaAnswered(err)
		if err != nil {
			f.log.Debug("Failed to sync with a replica.", "err", err.Error())
			continue
		}
		if err := f.applyReply(reply); err != nil {
			f.log.Error("Sync reply was rejected.", "err", err.Error())
			continue
		}
		if reply.Unproven {
			continue
		}
		freshUntil := sentAt.Add(reply.Held - reply.Age + f.freshnessLease)
		f.freshUntil.Store(&freshUntil)
		if f.hasProvenConfig.CompareAndSwap(false, true) {
			f.notifyChanged()
		}
		return true
	}
	return false
}

// connector is a Source that may have no connection yet.
type connector interface {
	Connected() bool
	Connect(ctx context.Context) error
}

// connectOne connects to one of the sources that were put off, each time to the next one, unless it still
// tries to reach another. The source is asked in its turn once there is a connection.
func (f *Follower) connectOne(ctx context.Context, putOff []connector) {
	if len(putOff) == 0 || !f.connecting.CompareAndSwap(false, true) {
		return
	}
	c := putOff[f.connected%len(putOff)]
	f.connected++
	go func() {
		defer f.connecting.Store(false)
		if err := c.Connect(ctx); err != nil {
			f.log.Debug("Failed to connect to a replica.", "err", err.Error())
		}
	}()
}

func (f *Follower) requestSync(ctx context.Context, s Source) (SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return s.Sync(ctx, SyncRequest{After: f.Config().Version, MembershipHash: membershipHash(f.Members()), Unproven: !f.hasProvenConfig.Load(), NoHold: f.freshnessAtRisk()})
}

// applyReply updates the configuration from reply. The version never decreases. It fails
// if the reply is from another cluster, if its changes do not follow the current version,
// or if a document in it is invalid.
func (f *Follower) applyReply(reply SyncReply) error {
	if f.cluster == "" {
		f.cluster = reply.Cluster
	}
	if reply.Cluster != f.cluster {
		return result.New(result.NotReplica, "the sync reply is from cluster %s, not %s", reply.Cluster, f.cluster)
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
				return result.New(result.Internal, "configuration change %d does not follow version %d: %s", c.Version, next.Version, o.Message)
			}
			next = n
		}
	}
	if f.config.Swap(next) != next {
		f.notifyChanged()
	}
	return nil
}

// notifyChanged wakes up those who wait for a change.
func (f *Follower) notifyChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}
