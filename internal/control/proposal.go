package control

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// proposal is a command or membership change that waits for its commit.
type proposal struct {
	command state.Command
	change  memberChange // set instead of command for a membership change
	term    uint64
	reply   chan proposalResult
	hold    *jobHold // memory of the command; nil: none
}

// end releases the memory of p and replies to it.
func (p *proposal) end(outcome state.Outcome, err error) {
	p.hold.release()
	p.reply <- proposalResult{outcome: outcome, err: err}
}

// memberChange returns the next membership, given the newest one. It runs in the loop,
// because otherwise it could undo a change made between reading and proposing.
type memberChange func(consensus.Membership) consensus.Membership

type proposalResult struct {
	outcome state.Outcome
	err     error
}

// startProposal proposes p to the consensus core and registers it under its log index.
func (r *Replica) startProposal(p *proposal) {
	var index, term uint64
	var err error
	if p.change != nil {
		index, term, err = r.node.ProposeMembers(r.now(), p.change(r.node.Status().Members))
	} else {
		wall := r.wallClock().UTC()
		now := clock.Now()
		r.startClock = r.startClock.advanceTo(r.startClock.now(now, wall), now)
		p.command = r.proposalMemory.withRetainedLimit(p.command)
		p.command.At, p.command.GroupTime = wall, r.groupClock.now(now, r.startClock.now(now, wall))
		var b []byte
		b, err = p.command.Encode()
		p.command = state.Command{} // the log entry replaces it
		if err == nil {
			index, term, err = r.node.Propose(r.now(), b)
		}
	}
	if err != nil {
		p.end(state.Outcome{}, proposeError(err))
		return
	}
	p.term = term
	if old := r.pendingProposals[index]; old != nil {
		old.end(state.Outcome{}, errEntryReplaced())
	}
	r.pendingProposals[index] = p
}

func proposeError(err error) error {
	if err == consensus.ErrNotLeader {
		return result.NewRetryAfter(result.NotLeader, time.Second, "this replica is not the leader")
	}
	return result.New(result.MemberConflict, "%v", err)
}

// errEntryReplaced returns the error of a proposal whose log entry another leader replaced.
func errEntryReplaced() error {
	return result.NewRetryAfter(result.NotLeader, time.Second, "another leader replaced the log entry of the proposal")
}

// failPendingProposals fails the pending proposals with CommitUnknown, because the next
// leader may have them in its log. This replica will not learn their outcome.
func (r *Replica) failPendingProposals() {
	for i, p := range r.pendingProposals {
		delete(r.pendingProposals, i)
		p.end(state.Outcome{}, result.NewRetryAfter(result.CommitUnknown, time.Second, "the leader changed or the replica stopped before the commit was confirmed"))
	}
}
