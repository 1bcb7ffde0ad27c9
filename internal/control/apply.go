package control

import (
	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// installSnapshot stores a snapshot from the leader and replaces the state with it.
func (r *Replica) installSnapshot(s consensus.Snapshot) error {
	st, err := state.Decode(s.Data)
	if err != nil {
		return err
	}
	if err := r.disk.SaveSnapshot(s, nil); err != nil {
		return err
	}
	r.state = st
	r.groupClock = r.groupClock.advanceTo(st.Ledger.Time, clock.Now())
	r.termTimes = r.termTimes.atSnapshot(s.Meta, st.Ledger.Time)
	r.changes, r.changeBytes = nil, nil
	r.bytesSinceSnapshot = 0
	r.notifyAllBatches()
	r.publishRetiring()
	return nil
}

// apply applies a committed log entry and replies to its proposal, if there is one here.
func (r *Replica) apply(e consensus.Entry) error {
	var o state.Outcome
	r.termTimes.entry(e.Term)
	if e.Kind == consensus.EntryCommand {
		c, err := state.DecodeCommand(e.Data)
		if err != nil {
			return result.New(result.CodeOf(err), "log entry %d: %s", e.Index, result.From(err).Message)
		}
		before := r.state.Config.Version
		o = r.state.Apply(c)
		r.groupClock = r.groupClock.advanceTo(c.Time(), clock.Now())
		r.termTimes.command(c)
		r.noteDiscarded(r.state.Discarded())
		r.notifyBatchReaders(c)
		if c.RetireMark != nil {
			r.publishRetiring()
		}
		if v := r.state.Config.Version; v != before {
			r.changes = append(r.changes, newChange(v, c.WithoutRoutingSource()))
			r.changes = r.changes[max(0, len(r.changes)-maxChanges):]
			r.changeBytes = append(r.changeBytes, len(e.Data))
			r.trimChanges()
		}
	}
	r.bytesSinceSnapshot += len(e.Data)
	p := r.pendingProposals[e.Index]
	if p == nil {
		return nil
	}
	delete(r.pendingProposals, e.Index)
	if p.term != e.Term {
		p.end(state.Outcome{}, errEntryReplaced())
		return nil
	}
	p.end(o, nil)
	return nil
}
