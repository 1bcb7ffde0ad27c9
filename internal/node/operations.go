package node

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/routing"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// unknownUpstreamRetry is advised when an upstream's withdrawal cannot be
// spread; the upstream then asks another daemon.
const unknownUpstreamRetry = 500 * time.Millisecond

// Announce takes an upstream's heartbeat.
func (n *Node) Announce(a upstream.Announcement) error {
	a.TTL = announceTTL.Seconds()
	if err := a.Check(); err != nil {
		return err
	}
	if a.Leaving {
		return n.withdraw(a)
	}
	return n.directory.Announce(a)
}

// Withdraw records that an upstream has left its service.
func (n *Node) Withdraw(id string) error {
	a, ok := n.directory.Get(id)
	if !ok {
		a = upstream.Announcement{ID: id}
	}
	return n.withdraw(a)
}

// withdraw spreads that an upstream takes no more work. It succeeds only where
// the news reaches the other daemons.
func (n *Node) withdraw(a upstream.Announcement) error {
	a.TTL = announceTTL.Seconds()
	known, _ := n.directory.Get(a.ID)
	if known.Leaving && known.Incarnation == a.Incarnation {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	others := n.gossip.Others()
	failed := n.directory.Withdraw(ctx, n.client, others, a)
	n.log.Info("Upstream is leaving.", "upstream", a.ID, "service", a.Service, "incarnation", a.Incarnation, "told", len(others)-failed, "of", len(others))
	if !n.leaderKnown() {
		return result.NewRetryAfter(result.NotLeader, unknownUpstreamRetry, "this daemon is cut off from the others")
	}
	return nil
}

// PutRouting replaces routes, services and accounts. It returns once the change,
// or a newer one, is committed.
func (n *Node) PutRouting(ctx context.Context, c *routing.Configuration, source string) error {
	out, err := n.change(ctx, state.Command{RoutingPut: &state.RoutingPut{Configuration: c, Source: source}})
	n.log.Info("Configuration put.", "version", c.Version, "active", out.Version, "code", int(result.CodeOf(err)))
	return err
}

// Routing returns the newest document of all routes.
func (n *Node) Routing(ctx context.Context) (state.RoutingSource, error) {
	r, err := n.proposer.Query(ctx, control.QueryRequest{Routing: true})
	if err != nil {
		return state.RoutingSource{}, err
	}
	if r.Routing == nil || r.Routing.Text == "" {
		return state.RoutingSource{}, result.NewRetryAfter(result.NoConfiguration, time.Second, "no configuration has been accepted yet")
	}
	return *r.Routing, nil
}

// PublishVersion records a new version of a model's weights.
func (n *Node) PublishVersion(ctx context.Context, model string, version uint64) error {
	out, err := n.change(ctx, state.Command{VersionPut: &state.VersionPut{Model: model, Version: version}})
	n.log.Info("Version published.", "model", model, "version", version, "newest", out.Version, "code", int(result.CodeOf(err)))
	return err
}

// AcceptBatch takes a batch job over; after a nil error the replicas keep it.
func (n *Node) AcceptBatch(ctx context.Context, b state.Batch) error {
	b.Retention = n.cfg.BatchRetention
	_, err := n.change(ctx, state.Command{BatchAccept: &state.BatchAccept{Batch: b}})
	n.log.Info("Batch job submitted.", "batch", b.ID, "account", b.Account, "step", b.Step, "model", b.Model, "min_version", b.MinVersion, "items", len(b.Items), "code", int(result.CodeOf(err)))
	return err
}

// EndBatch ends a batch job.
func (n *Node) EndBatch(ctx context.Context, id, account string) error {
	_, err := n.change(ctx, state.Command{BatchEnd: &state.BatchEnd{ID: id, Account: account}})
	n.log.Info("Batch job ended.", "batch", id, "account", account, "code", int(result.CodeOf(err)))
	return err
}

// ReadBatch reads results or the body of an item.
func (n *Node) ReadBatch(ctx context.Context, q control.BatchReadRequest) (control.BatchReadReply, error) {
	return n.proposer.ReadBatch(ctx, q)
}

// Retire empties the replica of the daemon called id, and reports the progress.
func (n *Node) Retire(ctx context.Context, id string, start bool) (done bool, err error) {
	address := ""
	for _, d := range member.Replicas(n.gossip.Live()) {
		if d.ID == id {
			address = d.PeerAddress
		}
	}
	if address == "" {
		return false, result.New(result.NotFound, "no replica runs on %s", id)
	}
	r, err := n.proposer.Retire(ctx, control.RetireRequest{Address: address, Start: start, MinRemaining: n.voters()})
	n.log.Info("Retirement of a replica.", "daemon", id, "start", start, "done", r.Done, "code", int(result.CodeOf(err)))
	return r.Done, err
}

// change commits a command; a refusal by the state is an error.
func (n *Node) change(ctx context.Context, c state.Command) (state.Outcome, error) {
	out, err := n.proposer.Propose(ctx, c)
	if err == nil {
		err = out.Err()
	}
	return out, err
}
