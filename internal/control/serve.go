package control

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Register registers the replica's methods with s.
func (r *Replica) Register(s *peer.Server) {
	peer.HandleRawNotice(s, MethodStep, r.receiveStep)
	peer.HandleRaw(s, MethodPropose, r.receiveProposal)
	peer.ShareFrames(s, MethodPropose, r.refuseProposal)
	peer.Handle(s, MethodReadIndex, r.readIndex)
	peer.Handle(s, MethodSync, r.Sync)
	peer.Handle(s, MethodQuery, r.Query)
	peer.Handle(s, MethodMembers, r.Members)
	peer.Handle(s, MethodReadBatch, r.ReadBatch)
	peer.Handle(s, MethodRetire, r.Retire)
	peer.Handle(s, MethodFounding, r.answerFounding)
	peer.HandleRawNotice(s, MethodSnapshot, r.receiveSnapshotPart)
	peer.HandleNotice(s, MethodSnapshotAck, r.receiveSnapshotAck)
}

// receiveStep decodes a notice and queues its message. A notice that can't be decoded is
// ignored, as on a lossy network.
func (r *Replica) receiveStep(raw json.RawMessage) {
	if n, err := decodeStepNotice(raw); err == nil {
		r.Step(n)
	}
}

// Step queues a message for the consensus core. The message is discarded when the queue
// is full, as on a lossy network, and when it comes from another cluster.
func (r *Replica) Step(n StepNotice) {
	if n.Cluster != r.cluster {
		return
	}
	select {
	case r.inbox <- n:
	default:
	}
}

// Propose commits a command. If this replica is not the leader, it relays the command to
// the leader that it knows, unless the request was relayed already. After an error other
// than NotLeader the command may still be committed.
func (r *Replica) Propose(ctx context.Context, q ProposeRequest) (state.Outcome, error) {
	return r.propose(ctx, q, nil)
}

// propose is Propose for a command whose memory is in hold, which it releases.
func (r *Replica) propose(ctx context.Context, q ProposeRequest, hold *jobHold) (state.Outcome, error) {
	if err := r.checkCluster(q.Cluster); err != nil {
		hold.release()
		return state.Outcome{}, err
	}
	if st := r.Status(); st.Role != consensus.Leader {
		defer hold.release()
		return relay[state.Outcome](ctx, r, q.Relayed, MethodPropose, ProposeRequest{Cluster: r.cluster, Command: q.Command, Relayed: true})
	}
	return r.submit(ctx, &proposal{command: q.Command, hold: hold})
}

// checkCluster rejects a call that a replica of another cluster relayed.
func (r *Replica) checkCluster(cluster string) error {
	if cluster != "" && cluster != r.cluster {
		return result.New(result.NotReplica, "this replica belongs to cluster %s", r.cluster)
	}
	return nil
}

// LeaderAddress returns the peer address of the leader that this replica knows, if that is
// another one; otherwise "".
func (r *Replica) LeaderAddress() string {
	st := r.Status()
	if st.Leader == st.ID {
		return ""
	}
	return st.Members[st.Leader].Address
}

// relay relays a call to the leader. It returns NotLeader if no leader is known, if the
// call was relayed already, or if the leader does not answer.
func relay[R any](ctx context.Context, r *Replica, relayed bool, method string, params any) (R, error) {
	var none R
	leader := r.LeaderAddress()
	if leader == "" || relayed {
		return none, result.NewRetryAfter(result.NotLeader, time.Second, "%s: %s", noLeaderKnown, r.standing())
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	out, err := peer.Call[R](ctx, r.client, leader, method, params)
	if errors.Is(err, peer.ErrUnreachable) || errors.Is(err, context.DeadlineExceeded) {
		return none, result.NewRetryAfter(result.NotLeader, time.Second, "the leader does not answer: %s", r.standing())
	}
	return out, err
}

// submit hands p to the loop and waits for its outcome. The memory of p is released when p ends, which
// may be after ctx has.
func (r *Replica) submit(ctx context.Context, p *proposal) (state.Outcome, error) {
	if !r.Available() {
		p.hold.release()
		return state.Outcome{}, errUnavailable()
	}
	p.reply = make(chan proposalResult, 1)
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		p.hold.release()
		return state.Outcome{}, ctx.Err()
	case <-r.done:
		p.hold.release()
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

// runInLoop runs f in the loop and waits until it has run. If ctx ends first, f may still
// run later.
func (r *Replica) runInLoop(ctx context.Context, f func()) error {
	if r.stalled() {
		return errUnavailable()
	}
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
	err := r.runInLoop(ctx, func() { index, ok = r.node.ReadIndex(r.now()) })
	if err != nil {
		return ReadIndexReply{}, err
	}
	if !ok {
		return ReadIndexReply{}, result.NewRetryAfter(result.NotLeader, time.Second, "this replica does not hold the leader lease")
	}
	return ReadIndexReply{Index: index}, nil
}

// catchUp returns once this replica has applied everything that was committed before the
// call.
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
	w := appliedWait{index: reply.Index, ready: make(chan struct{})}
	if err := r.runInLoop(ctx, func() { r.indexWaits = append(r.indexWaits, w) }); err != nil {
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

// InTouch returns nil if a leader with a valid lease has answered since the call began. The
// leader itself needs its lease.
func (r *Replica) InTouch(ctx context.Context) error { return r.catchUp(ctx) }

// Query reads from the ledger, including everything committed before the call.
func (r *Replica) Query(ctx context.Context, q QueryRequest) (QueryReply, error) {
	if err := r.catchUp(ctx); err != nil {
		return QueryReply{}, err
	}
	return callInLoop(ctx, r, func() QueryReply {
		reply := queryLedger(r.state.Ledger, q)
		reply.Step = r.state.StepView(q.Step)
		reply.Time = r.groupClock.now(clock.Now(), r.wallClock())
		return reply
	})
}

// callInLoop runs f in the loop and returns its result. If ctx ends first, it returns an
// error and the zero value, while f may still run later.
func callInLoop[T any](ctx context.Context, r *Replica, f func() T) (T, error) {
	reply := make(chan T, 1)
	if err := r.runInLoop(ctx, func() { reply <- f() }); err != nil {
		var none T
		return none, err
	}
	return <-reply, nil
}

func queryLedger(l *state.Ledger, q QueryRequest) QueryReply {
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
		source := l.Source // a copy, because the loop replaces the field
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

// Members reads or changes the membership of the control group at the leader.
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
	if _, err := r.submit(ctx, &proposal{change: q.apply}); err != nil {
		return MembersReply{}, err
	}
	return r.membersReply(r.Status()), nil
}

// apply returns the membership after the requested change.
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
