package consensus

import (
	"fmt"
	"slices"
)

// apply checks what comes out as committed against all that came out before.
func (s *schedule) apply(r *replica, rd Ready) {
	if rd.Snapshot != nil {
		r.applied = rd.Snapshot.Meta.Index
		r.chain = s.chainAt(r.applied)
		if got := string(rd.Snapshot.Data); got != fmt.Sprint(r.chain) && r.applied > 1 {
			s.fail("%s installed a wrong snapshot at %d", r.id, r.applied)
		}
	}
	for _, e := range rd.Committed {
		if e.Index != r.applied+1 {
			s.fail("%s applies %d after %d", r.id, e.Index, r.applied)
			return
		}
		r.applied = e.Index
		r.chain = r.chain*31 + e.Term*7 + uint64(len(e.Data)) + e.Index
		i := int(e.Index) - 2
		if i == len(s.committed) {
			s.committed = append(s.committed, e)
			s.chains = append(s.chains, r.chain)
			s.known = append(s.known, r.node.term)
			s.when = append(s.when, s.real)
		}
		if c := s.committed[i]; c.Term != e.Term || string(c.Data) != string(e.Data) {
			s.fail("%s applies another entry at %d", r.id, e.Index)
		}
	}
}

// check holds after every step: one leader in a term, which has every committed
// entry, and one valid lease at a time in real time. A lease counts as valid
// until the end that was handed out, even if its holder has stepped down since.
func (s *schedule) check(r *replica) {
	s.checkReadPoint(r)
	n := r.node
	if n.role != Leader {
		return
	}
	if old, ok := s.leaders[n.term]; ok && old != r.id {
		s.fail("%s and %s lead in term %d", old, r.id, n.term)
	} else if !ok {
		s.leaders[n.term] = r.id
		s.checkComplete(r)
	}
	until, ok := n.LeaseUntil()
	if !ok {
		return
	}
	r.leaseEnd = max(r.leaseEnd, r.realAt(until))
	if int(n.commit) < len(s.committed)+1 {
		s.fail("%s would read at %d under its lease, %d are committed", r.id, n.commit, len(s.committed)+1)
	}
	for id, o := range s.replicas {
		if id != r.id && o.leaseEnd > s.real {
			s.fail("%s has a lease, and %s has one until %.1f", r.id, id, o.leaseEnd)
		}
	}
}

// checkReadPoint verifies that a read point covers all that was committed before
// it, in real time.
func (s *schedule) checkReadPoint(r *replica) {
	p, ok := r.node.ReadPoint()
	if !ok {
		return
	}
	// The first committed entry has index 2.
	before := slices.IndexFunc(s.when, func(at float64) bool { return at >= r.realAt(p.AsOf) })
	if before < 0 {
		before = len(s.when)
	}
	if p.Index < uint64(before)+1 {
		s.fail("%s reads at %d as of %.1f, when %d were committed", r.id, p.Index, r.realAt(p.AsOf), before+1)
	}
}

func (s *schedule) checkComplete(r *replica) {
	for i, e := range s.committed {
		if e.Index < r.node.log.snapshot.Index || s.known[i] >= r.node.term {
			continue
		}
		if t, ok := r.node.log.term(e.Index); !ok || t != e.Term {
			s.fail("new leader %s of term %d lacks committed entry %d", r.id, r.node.term, e.Index)
		}
	}
}

// checkLogs verifies log matching between all durable logs.
func (s *schedule) checkLogs() {
	seen := map[[2]uint64][2]string{}
	for _, id := range s.order {
		d := s.replicas[id].disk
		before := d.snapshot.Meta.Term
		for _, e := range d.entries {
			at := [2]uint64{e.Index, e.Term}
			is := [2]string{string(e.Data), fmt.Sprint(before)}
			if was, ok := seen[at]; ok && was != is {
				s.fail("logs differ at index %d of term %d", e.Index, e.Term)
			}
			seen[at] = is
			before = e.Term
		}
	}
}
