package control

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Log commits commands and reads the ledger; the rest of a daemon knows the
// control group by this interface and View.
type Log interface {
	// Propose returns once c is committed and applied. It resends c while ctx
	// lasts, so c must be idempotent by its content or its Op. NoQuorum means
	// that a change of the configuration was not made; any other c may or may
	// not be committed later. CommitUnknown means that a change of the
	// configuration may or may not be committed.
	Propose(ctx context.Context, c state.Command) (state.Outcome, error)
	// Query reads what was committed before the call.
	Query(ctx context.Context, q QueryRequest) (QueryReply, error)
	// Members reads or changes the control group.
	Members(ctx context.Context, q MembersRequest) (MembersReply, error)
}

// retryPause spaces resends of a proposal.
const retryPause = 50 * time.Millisecond

// Bounds of one try. A replica that waits for a silent leader must answer before
// its asker gives it up as silent itself.
const (
	callTimeout  = time.Second            // at one replica
	relayTimeout = 700 * time.Millisecond // from there to the leader
)

// comeBack is advised when no quorum answers.
const comeBack = 2 * time.Second

// Addresses lists the peer addresses of replicas, best first.
type Addresses func() []string

// Proposer reaches the leader through any replica.
type Proposer struct {
	local     *Replica // nil on a daemon without a data folder
	client    *peer.Client
	addresses Addresses
	health    *Health
}

// NewProposer returns a Log over the local replica, when there is one, and the
// replicas at addresses.
func NewProposer(local *Replica, client *peer.Client, addresses Addresses, health *Health) *Proposer {
	return &Proposer{local: local, client: client, addresses: addresses, health: health}
}

// Propose implements Log.
func (p *Proposer) Propose(ctx context.Context, c state.Command) (state.Outcome, error) {
	if c.Op == "" && c.IsConfig() {
		c.Op = uuid.NewString()
	}
	out, err := try(ctx, p, MethodPropose, ProposeRequest{Command: c}, (*Replica).Propose)
	if !c.IsConfig() && c.BatchAccept == nil {
		err = readable(err)
	}
	return out, err
}

// ReadBatch reads a batch job as of now.
func (p *Proposer) ReadBatch(ctx context.Context, q BatchReadRequest) (BatchReadReply, error) {
	out, err := try(ctx, p, MethodReadBatch, q, (*Replica).ReadBatch)
	return out, readable(err)
}

// Retire empties a replica and reports the progress.
func (p *Proposer) Retire(ctx context.Context, q RetireRequest) (RetireReply, error) {
	return try(ctx, p, MethodRetire, q, (*Replica).Retire)
}

// readable turns CommitUnknown into NoQuorum where no change is at stake.
func readable(err error) error {
	if result.CodeOf(err) == result.CommitUnknown {
		return result.NewRetryAfter(result.NoQuorum, comeBack, "the control log did not answer in time")
	}
	return err
}

// Query implements Log.
func (p *Proposer) Query(ctx context.Context, q QueryRequest) (QueryReply, error) {
	out, err := try(ctx, p, MethodQuery, q, (*Replica).Query)
	return out, readable(err)
}

// Members implements Log.
func (p *Proposer) Members(ctx context.Context, q MembersRequest) (MembersReply, error) {
	out, err := try(ctx, p, MethodMembers, q, (*Replica).Members)
	if q.Add == nil && q.Remove == "" {
		err = readable(err)
	}
	return out, err
}

// try asks the replicas in turn until one gives a final answer or ctx ends.
func try[P, R any](ctx context.Context, p *Proposer, method string, params P, local func(*Replica, context.Context, P) (R, error)) (R, error) {
	var none R
	unknown := false
	for {
		if p.local != nil {
			r, err := once(ctx, func(ctx context.Context) (R, error) { return local(p.local, ctx, params) })
			if final(err) {
				return r, err
			}
			unknown = unknown || mayHaveRun(err)
		}
		for _, a := range p.health.Sorted(p.addresses()) {
			if ctx.Err() != nil {
				break // a call that is not made says nothing of the replica
			}
			r, err := once(ctx, func(ctx context.Context) (R, error) { return peer.Call[R](ctx, p.client, a, method, params) })
			p.health.Mark(a, answered(err))
			if final(err) {
				return r, err
			}
			unknown = unknown || mayHaveRun(err)
		}
		select {
		case <-ctx.Done():
			if unknown {
				return none, result.NewRetryAfter(result.CommitUnknown, comeBack, "the change may or may not be active")
			}
			return none, result.NewRetryAfter(result.NoQuorum, comeBack, "the control log did not answer in time")
		case <-time.After(retryPause):
		}
	}
}

func once[R any](ctx context.Context, f func(context.Context) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx)
}

// answered reports whether a replica gave any answer.
func answered(err error) bool {
	return err == nil || result.CodeOf(err) != result.Internal
}

// final reports whether asking again would give nothing else.
func final(err error) bool {
	if err == nil {
		return true
	}
	switch result.CodeOf(err) {
	case result.NotLeader, result.NotReplica, result.NoQuorum, result.CommitUnknown, result.Internal:
		return false
	}
	return true
}

// mayHaveRun reports whether a replica may have taken in what it was asked,
// after an error that is not final.
func mayHaveRun(err error) bool {
	if errors.Is(err, peer.ErrUnreachable) {
		return false
	}
	return result.CodeOf(err) == result.CommitUnknown || result.CodeOf(err) == result.Internal
}
