package consensus

import "math"

// Ready is the work that the caller must do, in the order that the package documentation
// describes.
type Ready struct {
	HardState *HardState // nil when unchanged
	Entries   []Entry    // to append durably; they replace the stored entries from the same index on
	Snapshot  *Snapshot  // to store durably and load into the state machine
	Messages  []Message  // to send once the above is durable
	Committed []Entry    // to apply once the above is durable
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil &&
		len(r.Messages) == 0 && len(r.Committed) == 0
}

// Ready returns the outstanding work. The caller calls Advance once it is done.
func (n *Node) Ready() Ready {
	if n.role == Leader && n.broadcastPending {
		n.broadcastAppend()
	}
	n.broadcastPending = false
	r := Ready{Messages: n.outbox, Snapshot: n.receivedSnapshot}
	n.outbox = nil
	n.receivedSnapshot = nil
	if hs := n.hardState(); hs != n.lastHardState {
		r.HardState = &hs
		n.lastHardState = hs
	}
	if n.log.stable < n.log.lastIndex() {
		r.Entries = n.log.slice(n.log.stable+1, int(n.log.lastIndex()-n.log.stable), math.MaxInt)
	}
	if n.applied < n.commit {
		r.Committed = n.log.slice(n.applied+1, int(n.commit-n.applied), math.MaxInt)
	}
	return r
}

// Advance tells the node that the caller has done the work in r.
func (n *Node) Advance(r Ready) {
	if k := len(r.Entries); k > 0 {
		n.log.stable = max(n.log.stable, r.Entries[k-1].Index)
	}
	if k := len(r.Committed); k > 0 {
		n.applied = max(n.applied, r.Committed[k-1].Index)
	}
	if n.role == Leader {
		n.progress[n.id].match = n.log.stable
		n.advanceCommit()
	}
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
}
