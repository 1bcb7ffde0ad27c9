package control

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	jujuerrors "github.com/juju/errors"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Log commits commands to the control log, reads the ledger, and reads or changes the
// membership of the control group.
type Log interface {
	// Propose returns once c is committed and applied. It resends c until ctx ends, so
	// c must be idempotent by its content or its Op. If c changes the configuration or
	// accepts a batch job, NoQuorum means that c was not committed, and CommitUnknown
	// means that it may have been. For any other c CommitUnknown is not returned, and
	// NoQuorum means that c may still be committed.
	Propose(ctx context.Context, c state.Command) (state.Outcome, error)
	// Query reads from the ledger, including everything committed before the call.
	Query(ctx context.Context, q QueryRequest) (QueryReply, error)
	// Members reads or changes the membership of the control group.
	Members(ctx context.Context, q MembersRequest) (MembersReply, error)
}

// Timeouts of one attempt. A replica that waits for an unresponsive leader must reply
// before its caller considers the replica itself unresponsive.
const (
	callTimeout  = time.Second            // of a call to one replica
	relayTimeout = 700 * time.Millisecond // of the call that the replica relays to the leader
)

// noQuorumRetryAfter is the suggested retry delay when no quorum answers.
const noQuorumRetryAfter = 2 * time.Second

// Addresses returns the peer addresses of the replicas, best first.
type Addresses func() []string

// Proposer implements Log by calling replicas, which relay to the leader.
type Proposer struct {
	local     *Replica // nil on a daemon without a data folder
	client    *peer.Client
	addresses Addresses
	health    *Health
	log       *log.Logger
}

// NewProposer returns a Log that uses the local replica, if there is one, and the
// replicas at addresses.
func NewProposer(local *Replica, client *peer.Client, addresses Addresses, health *Health, logger *log.Logger) *Proposer {
	return &Proposer{local: local, client: client, addresses: addresses, health: health, log: logger}
}

// Propose implements Log.
func (p *Proposer) Propose(ctx context.Context, c state.Command) (state.Outcome, error) {
	if c.Op == "" && c.IsConfig() {
		c.Op = uuid.NewString()
	}
	out, err := callAnyReplica(ctx, p, MethodPropose, ProposeRequest{Command: c}, (*Replica).Propose)
	if !c.IsConfig() && c.BatchAccept == nil {
		err = unknownToNoQuorum(err)
	}
	if result.CodeOf(err) == result.Overloaded { // what replicas answer, because older builds know no other code for it
		err = result.NewRetryAfter(result.MemoryFull, result.From(err).RetryAfter, "%s", result.From(err).Message)
	}
	return out, err
}

// ReadBatch reads a batch job, including everything committed before the call.
func (p *Proposer) ReadBatch(ctx context.Context, q BatchReadRequest) (BatchReadReply, error) {
	out, err := callAnyReplica(ctx, p, MethodReadBatch, q, (*Replica).ReadBatch)
	return out, unknownToNoQuorum(err)
}

// Retire starts to retire a replica, if q.Start is set, and reports whether it has left the
// control group.
func (p *Proposer) Retire(ctx context.Context, q RetireRequest) (RetireReply, error) {
	return callAnyReplica(ctx, p, MethodRetire, q, (*Replica).Retire)
}

// unknownToNoQuorum turns CommitUnknown into NoQuorum. It is for calls that change nothing
// and for commands that may still be committed after NoQuorum.
func unknownToNoQuorum(err error) error {
	if result.CodeOf(err) == result.CommitUnknown {
		return noQuorum(result.Detail(err))
	}
	return err
}

// noQuorum returns NoQuorum with what the replicas answered, which only logs show.
func noQuorum(answers string) error {
	err := result.NewRetryAfter(result.NoQuorum, noQuorumRetryAfter, "the control log did not answer in time")
	if answers == "" {
		return err
	}
	return jujuerrors.Annotate(err, answers)
}

// Query implements Log.
func (p *Proposer) Query(ctx context.Context, q QueryRequest) (QueryReply, error) {
	out, err := callAnyReplica(ctx, p, MethodQuery, q, (*Replica).Query)
	return out, unknownToNoQuorum(err)
}

// Members implements Log.
func (p *Proposer) Members(ctx context.Context, q MembersRequest) (MembersReply, error) {
	out, err := callAnyReplica(ctx, p, MethodMembers, q, (*Replica).Members)
	if q.Add == nil && q.Remove == "" {
		err = unknownToNoQuorum(err)
	}
	return out, err
}

func callWithTimeout[R any](ctx context.Context, f func(context.Context) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx)
}

// replicaAnswered reports whether the replica answered the call, with any result.
func replicaAnswered(err error) bool {
	return err == nil || result.CodeOf(err) != result.Internal
}

// isFinal reports whether another attempt would give the same result.
func isFinal(err error) bool {
	if err == nil {
		return true
	}
	switch result.CodeOf(err) {
	case result.NotLeader, result.NotReplica, result.NoQuorum, result.CommitUnknown, result.Internal:
		return false
	}
	return true
}

// isFinalAfter is isFinal after other attempts. That a replica has no memory for the command says
// nothing about an earlier attempt, whose outcome may be unknown.
func isFinalAfter(err error, outcomeUnknown bool) bool {
	return isFinal(err) && (!outcomeUnknown || result.CodeOf(err) != result.Overloaded)
}

// mayHaveRun reports whether a replica may have run the call after an error that is not
// final.
func mayHaveRun(err error) bool {
	if errors.Is(err, peer.ErrUnreachable) {
		return false
	}
	return result.CodeOf(err) == result.CommitUnknown || result.CodeOf(err) == result.Internal
}
