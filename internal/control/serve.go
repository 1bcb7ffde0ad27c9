package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Register adds the replica's methods to s.
func (r *Replica) Register(s *peer.Server) {
	peer.HandleNotice(s, MethodStep, r.Step)
	peer.Handle(s, MethodPropose, r.Propose)
	peer.Handle(s, MethodReadIndex, r.readIndex)
	peer.Handle(s, MethodSync, r.Sync)
	peer.Handle(s, MethodQuery, r.Query)
	peer.Handle(s, MethodMembers, r.Members)
	peer.Handle(s, MethodReadBatch, r.ReadBatch)
	peer.Handle(s, MethodRetire, r.Retire)
	peer.Handle(s, MethodSnapshot, r.takeSnapshot)
}

// Step takes in a message of the agreement core. It is dropped when the loop
// lags, as a network would, and when it comes from another cluster.
func (r *Replica) Step(n StepNotice) {
	if n.Cluster != r.cluster {
		return
	}
	select {
	case r.inbox <- n:
	default:
	}
}

// Propose commits a command here or, once, at the leader that this replica
// knows. After an error other than NotLeader the command may still commit.
func (r *Replica) Propose(ctx context.Context, q ProposeRequest) (state.Outcome, error) {
	if err := r.checkCluster(q.Cluster); err != nil {
		return state.Outcome{}, err
	}
	if st := r.Status(); st.Role != consensus.Leader {
		return relay[state.Outcome](ctx, r, q.Relayed, MethodPropose, ProposeRequest{Cluster: r.cluster, Command: q.Command, Relayed: true})
	}
	return r.decide(ctx, &proposal{command: q.Command})
}

// checkCluster refuses a call that a replica of another cluster passed on.
func (r *Replica) checkCluster(cluster string) error {
	if cluster != "" && cluster != r.cluster {
		return result.New(result.NotReplica, "this replica belongs to cluster %s", r.cluster)
	}
	return nil
}

// relay passes a call on to the leader.
func relay[R any](ctx context.Context, r *Replica, relayed bool, method string, params any) (R, error) {
	var none R
	st := r.Status()
	leader, ok := st.Members[st.Leader]
	if !ok || relayed || st.Leader == st.ID {
		return none, result.NewRetryAfter(result.NotLeader, time.Second, "no leader is known here")
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	out, err := peer.Call[R](ctx, r.client, leader.Address, method, params)
	if errors.Is(err, peer.ErrUnreachable) || errors.Is(err, context.DeadlineExceeded) {
		return none, result.NewRetryAfter(result.NotLeader, time.Second, "the leader does not answer")
	}
	return out, err
}

func (r *Replica) decide(ctx context.Context, p *proposal) (state.Outcome, error) {
	p.reply = make(chan proposalResult, 1)
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return state.Outcome{}, ctx.Err()
	case <-r.done:
		return state.Outcome{}, result.NewRetryAfter(result.NotLeader, time.Second, "the replica has stopped")
	}
	select {
	case res := <-p.reply:
		return res.outcome, res.err
	case <-ctx.Done():
		return state.Outcome{}, ctx.Err()
	case <-r.done:
		return state.Outcome{}, result.NewRetryAfter(result.CommitUnknown, time.Second, "the replica has stopped")
	}
}

// do runs f in the loop.
func (r *Replica) do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case r.tasks <- func() { f(); close(ran) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return result.NewRetryAfter(result.NotLeader, time.Second, "the replica has stopped")
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return result.NewRetryAfter(result.NotLeader, time.Second, "the replica has stopped")
	}
}

func (r *Replica) readIndex(ctx context.Context, q ReadIndexRequest) (ReadIndexReply, error) {
	if err := r.checkCluster(q.Cluster); err != nil {
		return ReadIndexReply{}, err
	}
	var index uint64
	var ok bool
	err := r.do(ctx, func() { index, ok = r.node.ReadIndex(r.now()) })
	if err != nil {
		return ReadIndexReply{}, err
	}
	if !ok {
		return ReadIndexReply{}, result.NewRetryAfter(result.NotLeader, time.Second, "this replica holds no lease")
	}
	return ReadIndexReply{Index: index}, nil
}

// catchUp returns once this replica has applied all that was committed before.
func (r *Replica) catchUp(ctx context.Context) error {
	var reply ReadIndexReply
	var err error
	if r.Status().Role == consensus.Leader {
		reply, err = r.readIndex(ctx, ReadIndexRequest{})
	} else {
		reply, err = relay[ReadIndexReply](ctx, r, false, MethodReadIndex, ReadIndexRequest{Cluster: r.cluster})
	}
	if err != nil {
		return err
	}
	w := indexWait{index: reply.Index, ready: make(chan struct{})}
	if err := r.do(ctx, func() { r.waits = append(r.waits, w) }); err != nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return result.NewRetryAfter(result.NotLeader, time.Second, "the replica has stopped")
	}
}

// Query reads from the ledger.
func (r *Replica) Query(ctx context.Context, q QueryRequest) (QueryReply, error) {
	if err := r.catchUp(ctx); err != nil {
		return QueryReply{}, err
	}
	return ask(ctx, r, func() QueryReply {
		reply := query(r.state.Ledger, q)
		reply.Step = r.state.StepView(q.Step)
		return reply
	})
}

// ask runs f in the loop and returns its result. A caller whose ctx ends first gets
// none, while f may still run.
func ask[T any](ctx context.Context, r *Replica, f func() T) (T, error) {
	answer := make(chan T, 1)
	if err := r.do(ctx, func() { answer <- f() }); err != nil {
		var none T
		return none, err
	}
	return <-answer, nil
}

func query(l *state.Ledger, q QueryRequest) QueryReply {
	var out QueryReply
	if q.History != "" {
		out.History = slices.Clone(l.History[q.History])
	}
	if q.Claim != nil {
		if c, ok := l.Claims[*q.Claim]; ok {
			out.Claim = &c
		}
	}
	if q.Orders {
		out.LastOrder = l.LastOrder
		for _, k := range slices.Sorted(maps.Keys(l.Orders)) {
			out.Orders = append(out.Orders, l.Orders[k])
		}
	}
	if q.Routing {
		source := l.Source // the loop replaces it
		out.Routing = &source
	}
	if q.Intervals {
		for _, k := range slices.Sorted(maps.Keys(l.Intervals)) {
			out.Intervals = append(out.Intervals, l.Intervals[k])
		}
	}
	if q.Windows {
		for _, k := range slices.Sorted(maps.Keys(l.Windows)) {
			out.Windows = append(out.Windows, l.Windows[k])
		}
	}
	return out
}

// Members reads or changes the membership at the leader.
func (r *Replica) Members(ctx context.Context, q MembersRequest) (MembersReply, error) {
	if err := r.checkCluster(q.Cluster); err != nil {
		return MembersReply{}, err
	}
	st := r.Status()
	if st.Role != consensus.Leader {
		relayed := q
		relayed.Relayed, relayed.Cluster = true, r.cluster
		return relay[MembersReply](ctx, r, q.Relayed, MethodMembers, relayed)
	}
	if q.Add == nil && q.Remove == "" {
		return r.membersReply(st), nil
	}
	if _, err := r.decide(ctx, &proposal{change: q.apply}); err != nil {
		return MembersReply{}, err
	}
	return r.membersReply(r.Status()), nil
}

// apply returns the membership after the change.
func (q MembersRequest) apply(m consensus.Membership) consensus.Membership {
	next := m.Clone()
	if q.Add != nil {
		next[q.Add.ID] = *q.Add
	}
	delete(next, q.Remove)
	return next
}

func (r *Replica) membersReply(st consensus.Status) MembersReply {
	return MembersReply{Cluster: r.cluster, Members: st.Members, Leader: st.Leader, Term: st.Term, Commit: st.Commit, Match: st.Match}
}
