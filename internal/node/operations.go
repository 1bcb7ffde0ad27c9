package node

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/evacuation"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/routing"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// withdrawRetryAfter is the delay that an upstream is told to wait when its withdrawal
// can't reach the other daemons. The upstream then sends it to another daemon.
const withdrawRetryAfter = 500 * time.Millisecond

// Announce records an upstream's heartbeat. An upstream that is leaving is withdrawn.
func (n *Node) Announce(a upstream.Announcement) error {
	a.TTL = announcementTTL.Seconds()
	if err := a.Check(); err != nil {
		return err
	}
	if a.Leaving {
		return n.withdraw(a)
	}
	return n.directory.Announce(a)
}

// Withdraw withdraws the upstream called id, also if this node doesn't know it.
func (n *Node) Withdraw(id string) error {
	a, ok := n.directory.Get(id)
	if !ok {
		a = upstream.Announcement{ID: id}
	}
	return n.withdraw(a)
}

// withdraw records that an upstream accepts no more work, and sends this to the other
// daemons. It returns NotLeader unless the leader answers this daemon meanwhile: otherwise the others may not have received it. A withdrawal that all others
// have confirmed succeeds at once when it is repeated. Any other one is sent again.
func (n *Node) withdraw(a upstream.Announcement) error {
	a.TTL = announcementTTL.Seconds()
	if n.directory.Confirmed(a.ID, a.Incarnation) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	inTouch := make(chan error, 1)
	go func() { inTouch <- n.inTouch(ctx) }()
	called, failed := n.directory.Withdraw(ctx, a, confirmTimeout)
	n.log.Info("Upstream is leaving.", "upstream", a.ID, "service", a.Service, "incarnation", a.Incarnation, "told", called-failed, "of", called)
	err := <-inTouch
	if err == nil && failed > 0 && failed == called {
		err = result.New(result.NoQuorum, "no other daemon has confirmed it") // the lease of a leader may outlast its contact
	}
	if err != nil {
		return result.NewRetryAfter(result.NotLeader, withdrawRetryAfter, "this daemon is disconnected from the others: %v", err)
	}
	if failed == 0 {
		n.directory.MarkConfirmed(a.ID, a.Incarnation)
	}
	return nil
}

// inTouch returns nil if a leader with a quorum has answered, since the call began, this
// daemon's replica or a member of the control group that this daemon reached.
func (n *Node) inTouch(ctx context.Context) error {
	if n.isMember() {
		return n.replica.InTouch(ctx)
	}
	_, err := n.proposer.Query(ctx, control.QueryRequest{})
	return err
}

// PutRouting replaces routes, services and accounts. It returns nil once the configuration
// or a newer one is committed. source is the text of the document.
func (n *Node) PutRouting(ctx context.Context, c *routing.Configuration, source string) error {
	began := time.Now()
	if err := n.checkHomes(c); err != nil {
		return err
	}
	if level := n.Level(); level < 1 {
		n.dropColdBounds(c, level)
	}
	out, err := n.proposeChange(ctx, state.Command{RoutingPut: &state.RoutingPut{Configuration: c, Source: source}})
	n.log.Info("Configuration update finished.", "version", c.Version, "active", out.Version, "code", int(result.CodeOf(err)), "ms", time.Since(began).Milliseconds())
	return err
}

// dropColdBounds removes the bounds of cold upstreams, which a replica of an older build
// cannot read: it would stop at the unknown field.
func (n *Node) dropColdBounds(c *routing.Configuration, level int) {
	for i := range c.Services {
		if s := &c.Services[i]; s.ColdPerS != 0 {
			n.log.Warn("Bound of cold upstreams dropped: not all daemons can read it.", "version", c.Version, "service", s.Name, "cold_per_s", s.ColdPerS, "level", level)
			s.ColdPerS = 0
		}
	}
}

// coldRate returns the number of requests a second that a cold upstream of a service takes,
// or 0 if it has no bound.
func (n *Node) coldRate(service string) float64 {
	t := n.Table()
	if t == nil {
		return 0
	}
	s, _ := t.Config.Service(service)
	return s.ColdPerS
}

// Evacuate sets whether an availability zone is evacuated. It returns nil once that is committed,
// also if it was so before. Errors: those of evacuation.Command and of the control log.
func (n *Node) Evacuate(ctx context.Context, zone string, evacuated bool) error {
	began, level := time.Now(), n.Level()
	c, err := evacuation.Command(level, zone, evacuated)
	var out state.Outcome
	if err == nil {
		out, err = n.proposeChange(ctx, c)
	}
	n.log.Info("Evacuation request finished.", "zone", zone, "evacuated", evacuated, "configuration", out.Version, "level", level, "code", int(result.CodeOf(err)), "ms", time.Since(began).Milliseconds())
	return err
}

// Routing returns the newest committed routing document. Before the first one it returns
// NoConfiguration.
func (n *Node) Routing(ctx context.Context) (state.RoutingSource, error) {
	began := time.Now()
	r, err := n.proposer.Query(ctx, control.QueryRequest{Routing: true})
	if err != nil {
		return state.RoutingSource{}, err
	}
	if r.Routing != nil {
		n.log.Info("Configuration read.", "version", r.Routing.Version, "ms", time.Since(began).Milliseconds(), "up_ms", time.Since(n.started).Milliseconds())
	}
	if r.Routing == nil || r.Routing.Text == "" {
		return state.RoutingSource{}, result.NewRetryAfter(result.NoConfiguration, time.Second, "no configuration has been accepted yet")
	}
	return *r.Routing, nil
}

// PublishVersion commits a new weight version of a model.
func (n *Node) PublishVersion(ctx context.Context, model string, version uint64) error {
	began := time.Now()
	out, err := n.proposeChange(ctx, state.Command{VersionPut: &state.VersionPut{Model: model, Version: version}})
	n.log.Info("Publication of a weight version finished.", "model", model, "version", version, "newest", out.Version, "code", int(result.CodeOf(err)), "ms", time.Since(began).Milliseconds())
	return err
}

// AcceptBatch commits a batch job. After a nil error a quorum of the replicas holds it.
func (n *Node) AcceptBatch(ctx context.Context, b state.Batch) error {
	began := time.Now()
	if err := n.checkJobHomes(&b); err != nil {
		return err
	}
	b.Retention = n.cfg.BatchRetention
	if n.replicaLevel() >= endedRetentionLevel {
		b.EndedRetention = b.Retention / endedRetentionShare
	}
	_, err := n.proposeChange(ctx, state.Command{BatchAccept: &state.BatchAccept{Batch: b}})
	n.log.Info("Submission of a batch job finished.", "batch", b.ID, "account", b.Account, "step", b.Step, "model", b.Model, "min_version", b.MinVersion, "items", len(b.Items), "code", int(result.CodeOf(err)), "ms", time.Since(began).Milliseconds())
	return err
}

// EndBatch ends a batch job of a client account.
func (n *Node) EndBatch(ctx context.Context, id, account string) error {
	began := time.Now()
	_, err := n.proposeChange(ctx, state.Command{BatchEnd: &state.BatchEnd{ID: id, Account: account}})
	n.log.Info("Request to end a batch job finished.", "batch", id, "account", account, "code", int(result.CodeOf(err)), "ms", time.Since(began).Milliseconds())
	return err
}

// ReadBatch reads the results of a batch job or the body of an item.
func (n *Node) ReadBatch(ctx context.Context, q control.BatchReadRequest) (control.BatchReadReply, error) {
	return n.proposer.ReadBatch(ctx, q)
}

// Retire starts to remove the replica of the daemon called id from the control group, if
// start is set, and reports the progress: done means that the replica is removed. It
// returns NotFound if no live daemon of that name runs a replica.
func (n *Node) Retire(ctx context.Context, id string, start bool) (done bool, err error) {
	address := n.replicaAddress(id)
	if address == "" {
		return false, result.New(result.NotFound, "no replica runs on %s", id)
	}
	r, err := n.proposer.Retire(ctx, control.RetireRequest{Address: address, Start: start, MinRemaining: n.targetVoters()})
	n.log.Info("Request to retire a replica finished.", "daemon", id, "start", start, "done", r.Done, "code", int(result.CodeOf(err)))
	return r.Done, err
}

// replicaAddress returns the peer address of the live daemon called id if it runs a replica,
// or is a member of the control group although its disk refuses writes; otherwise "".
func (n *Node) replicaAddress(id string) string {
	for _, d := range n.gossip.Live() {
		if d.ID == id && (d.Replica != "" || n.follower.Members().HasAddress(d.PeerAddress)) {
			return d.PeerAddress
		}
	}
	return ""
}

// proposeChange commits a command. A command that the state rejects is an error.
func (n *Node) proposeChange(ctx context.Context, c state.Command) (state.Outcome, error) {
	out, err := n.proposer.Propose(ctx, c)
	if err == nil {
		err = out.Err()
	}
	return out, err
}

// Upstreams returns the upstreams of a service that this node knows, silent ones included.
func (n *Node) Upstreams(service string) []upstream.Announcement {
	return upstream.KnownDirectory{Directory: n.directory}.Service(service)
}
