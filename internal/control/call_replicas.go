package control

import (
	"context"
	"slices"
	"time"

	jujuerrors "github.com/juju/errors"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
)

// replicaRetryInterval is the delay before callAnyReplica calls all replicas again.
const replicaRetryInterval = 50 * time.Millisecond

// callAnyReplica calls the replicas in turn, the local one first, until one gives a final
// result or ctx ends. Those to which there is no connection are called beside the others, one at a
// time: the dials to machines that are gone must not delay the call to a new leader. When ctx
// ends it returns CommitUnknown if any replica may have run the call, else NoQuorum.
func callAnyReplica[P, R any](ctx context.Context, p *Proposer, method string, params P, local func(*Replica, context.Context, P) (R, error)) (R, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &replicaCalls[R]{p: p, failed: newFailedAttempts(), replies: make(chan replicaReply[R], 1)}
	c.call = func(a string) (R, error) {
		return callWithTimeout(ctx, func(ctx context.Context) (R, error) { return peer.Call[R](ctx, p.client, a, method, params) })
	}
	for {
		if p.local != nil {
			r, err := callWithTimeout(ctx, func(ctx context.Context) (R, error) { return local(p.local, ctx, params) })
			if c.finish("this replica", r, err) {
				return c.result, c.err
			}
		}
		if c.callConnected(ctx) || c.callOthers(ctx, replicaRetryInterval) {
			return c.result, c.err
		}
		if ctx.Err() == nil {
			continue
		}
		p.log.Warn("No replica gave a final result.", "method", method, "unknown", c.outcomeUnknown, "asked", c.failed)
		var none R
		if c.outcomeUnknown {
			return none, jujuerrors.Annotate(result.NewRetryAfter(result.CommitUnknown, noQuorumRetryAfter, "the change may or may not be active"), c.failed.newestAnswers())
		}
		return none, noQuorum(c.failed.newestAnswers())
	}
}

// replicaReply is the outcome of a call to the replica at an address.
type replicaReply[R any] struct {
	address string
	result  R
	err     error
}

// replicaCalls are the calls that one callAnyReplica makes.
type replicaCalls[R any] struct {
	p       *Proposer
	call    func(address string) (R, error)
	failed  *failedAttempts
	replies chan replicaReply[R] // of the call to pending

	pending        string   // address without a connection that is being called; empty: none
	others         []string // addresses without a connection
	called         []string // those of others that were called in this round
	outcomeUnknown bool

	result R // final
	err    error
}

// callConnected calls the replicas to which there is a connection. It returns true if one gave a
// final result.
func (c *replicaCalls[R]) callConnected(ctx context.Context) bool {
	c.others = nil
	for _, a := range c.p.health.Sorted(c.p.addresses()) {
		switch {
		case ctx.Err() != nil:
			return false // a call that was not made says nothing about the replica's health
		case a == c.pending:
		case !c.p.client.Connected(a):
			c.others = append(c.others, a)
		default:
			r, err := c.call(a)
			c.p.health.Mark(a, replicaAnswered(err))
			if c.finish(a, r, err) {
				return true
			}
		}
	}
	return false
}

// callOthers calls the replicas without a connection for a time, or until ctx ends and no call is
// pending. It returns true if one gave a final result.
func (c *replicaCalls[R]) callOthers(ctx context.Context, d time.Duration) bool {
	wasCalled := func(a string) bool { return slices.Contains(c.called, a) }
	if !slices.ContainsFunc(c.others, func(a string) bool { return !wasCalled(a) }) {
		c.called = nil
	}
	end := time.NewTimer(d)
	defer end.Stop()
	for {
		i := slices.IndexFunc(c.others, func(a string) bool { return !wasCalled(a) })
		if c.pending == "" && i >= 0 && ctx.Err() == nil {
			a := c.others[i]
			c.pending, c.called = a, append(c.called, a)
			go func() {
				r, err := c.call(a)
				c.replies <- replicaReply[R]{a, r, err}
			}()
		}
		select {
		case x := <-c.replies:
			if c.receive(x) {
				return true
			}
		case <-end.C:
			return false
		case <-ctx.Done():
			return c.awaitPending()
		}
	}
}

// awaitPending waits for the reply to the pending call. It returns true if that is final.
func (c *replicaCalls[R]) awaitPending() bool { return c.pending != "" && c.receive(<-c.replies) }

// receive takes the reply to the pending call, and returns true if it is final.
func (c *replicaCalls[R]) receive(x replicaReply[R]) bool {
	c.pending = ""
	c.p.health.Mark(x.address, replicaAnswered(x.err))
	return c.finish(x.address, x.result, x.err)
}

// finish takes the outcome of a call, and returns true if it is final.
func (c *replicaCalls[R]) finish(at string, r R, err error) bool {
	if isFinal(err) && !isFinalAfter(err, c.pending != "") && c.awaitPending() {
		return true
	}
	if isFinalAfter(err, c.outcomeUnknown) {
		c.result, c.err = r, err
		return true
	}
	c.failed.add(at, err)
	c.outcomeUnknown = c.outcomeUnknown || mayHaveRun(err)
	return false
}
