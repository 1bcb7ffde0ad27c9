package consensus

import (
	"fmt"
	"slices"
)

// apply applies the snapshot and the committed entries of rd to r. It checks them against
// what the replicas have applied before: the same index must hold the same entry
// everywhere.
func (s *simCluster) apply(r *simReplica, rd Ready) {
	if rd.Snapshot != nil {
		r.applied = rd.Snapshot.Meta.Index
		r.appliedHash = s.appliedHashAt(r.applied)
		if got := string(rd.Snapshot.Data); got != fmt.Sprint(r.appliedHash) && r.applied > 1 {
			s.fail("%s installed a wrong snapshot at index %d", r.id, r.applied)
		}
	}
	for _, e := range rd.Committed {
		if e.Index != r.applied+1 {
			s.fail("%s applies index %d after index %d", r.id, e.Index, r.applied)
			return
		}
		r.applied = e.Index
		r.appliedHash = r.appliedHash*31 + e.Term*7 + uint64(len(e.Data)) + e.Index
		i := int(e.Index) - 2
		if i == len(s.committed) {
			s.committed = append(s.committed, e)
			s.appliedHashes = append(s.appliedHashes, r.appliedHash)
			s.firstAppliedTerms = append(s.firstAppliedTerms, r.node.term)
			s.firstAppliedAt = append(s.firstAppliedAt, s.realTime)
		}
		if c := s.committed[i]; c.Term != e.Term || string(c.Data) != string(e.Data) {
			s.fail("%s applies another entry than other replicas at index %d", r.id, e.Index)
		}
	}
}

// check verifies the invariants that must hold after every step: a term has at most one
// leader, a new leader has every committed entry, and at most one lease is valid at any
// real time. A lease counts as valid until the end that LeaseUntil returned, even if its
// holder has stepped down since.
func (s *simCluster) check(r *simReplica) {
	s.checkReadPoint(r)
	n := r.node
	if n.role != Leader {
		return
	}
	if old, ok := s.leaderByTerm[n.term]; ok && old != r.id {
		s.fail("%s and %s are both leader in term %d", old, r.id, n.term)
	} else if !ok {
		s.leaderByTerm[n.term] = r.id
		s.checkLeaderCompleteness(r)
	}
	until, ok := n.LeaseUntil()
	if !ok {
		return
	}
	r.leaseEnd = max(r.leaseEnd, r.realTimeAt(until))
	if int(n.commit) < len(s.committed)+1 {
		s.fail("%s would read at index %d under its lease, but index %d is committed", r.id, n.commit, len(s.committed)+1)
	}
	for id, o := range s.replicas {
		if id != r.id && o.leaseEnd > s.realTime {
			s.fail("%s holds a lease while %s holds one until %.1f", r.id, id, o.leaseEnd)
		}
	}
}

// checkReadPoint verifies that a read point covers every entry that was committed before
// it in real time.
func (s *simCluster) checkReadPoint(r *simReplica) {
	p, ok := r.node.ReadPoint()
	if !ok {
		return
	}
	// The first committed entry has index 2.
	before := slices.IndexFunc(s.firstAppliedAt, func(at float64) bool { return at >= r.realTimeAt(p.AsOf) })
	if before < 0 {
		before = len(s.firstAppliedAt)
	}
	if p.Index < uint64(before)+1 {
		s.fail("%s has a read point at index %d as of %.1f, when index %d was committed", r.id, p.Index, r.realTimeAt(p.AsOf), before+1)
	}
}

// checkLeaderCompleteness verifies that the new leader r has every entry that was first
// applied in an earlier term.
func (s *simCluster) checkLeaderCompleteness(r *simReplica) {
	for i, e := range s.committed {
		if e.Index < r.node.log.snapshot.Index || s.firstAppliedTerms[i] >= r.node.term {
			continue
		}
		if t, ok := r.node.log.term(e.Index); !ok || t != e.Term {
			s.fail("new leader %s of term %d lacks committed entry %d", r.id, r.node.term, e.Index)
		}
	}
}

// checkExchange verifies that after the exchange of a lost voter a quorum of next has stored every
// committed entry, where other voters count that have lost their disks since.
func (s *simCluster) checkExchange(l *simReplica, next Membership) {
	for _, e := range s.committed {
		stored := 0
		for id, m := range next {
			if r := s.replicas[id]; m.Voter && (r.disk.holds(e) || r.lostDisk.holds(e)) {
				stored++
			}
		}
		if stored < next.Quorum() {
			s.fail("%s exchanges a lost voter, but %d of the new voters %v have stored entry %d", l.id, stored, next, e.Index)
		}
	}
}

// checkLogMatching verifies the log matching property for all durable logs: entries with
// the same index and term have the same data and the same previous term.
func (s *simCluster) checkLogMatching() {
	seen := map[[2]uint64][2]string{}
	for _, id := range s.order {
		d := s.replicas[id].disk
		prevTerm := d.snapshot.Meta.Term
		for _, e := range d.entries {
			position := [2]uint64{e.Index, e.Term}
			content := [2]string{string(e.Data), fmt.Sprint(prevTerm)}
			if other, ok := seen[position]; ok && other != content {
				s.fail("logs differ at index %d of term %d", e.Index, e.Term)
			}
			seen[position] = content
			prevTerm = e.Term
		}
	}
}
