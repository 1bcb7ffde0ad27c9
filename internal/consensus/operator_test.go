package consensus

import (
	"fmt"
	"slices"
)

// loseDisk destroys the disk of r for good and starts a replica with a new ID, at a new
// address if moved is set and at the same one otherwise. It does nothing while there is no
// leader, or if no quorum would have its disks.
func (s *simCluster) loseDisk(r *simReplica, moved bool) {
	l := s.leader()
	if l == nil || r.wiped {
		return
	}
	for _, m := range []Membership{l.node.members, l.node.MembersAt(l.node.commit)} {
		if !s.hasQuorum(m, r) {
			return
		}
	}
	s.wipe(r)
	address := r.address
	if moved {
		address = fmt.Sprint("m", s.identitiesAdded)
	}
	s.addEmptyReplica(address)
}

// hasQuorum reports whether the voters of m that have their disks form a quorum without lost.
func (s *simCluster) hasQuorum(m Membership, lost *simReplica) bool {
	intact := 0
	for id, x := range m {
		if x.Voter && !s.replicas[id].wiped && (lost == nil || id != lost.id) {
			intact++
		}
	}
	return intact >= m.Quorum()
}

// wipe stops r for good and deletes its disk.
func (s *simCluster) wipe(r *simReplica) {
	s.crash(r)
	r.wiped = true
	r.lostDisk, r.disk = r.disk, disk{}
}

// addEmptyReplica starts a replica with a new ID and an empty disk.
func (s *simCluster) addEmptyReplica(address string) {
	id := ID(fmt.Sprint("n", s.identitiesAdded))
	s.identitiesAdded++
	s.add(id, address, disk{snapshot: Snapshot{Meta: SnapshotMeta{Members: Membership{}}}})
}

// requestRemoval requests that r is removed from the cluster and wiped. It does nothing
// while there is no leader or another removal is in progress. An empty replica starts at
// another address.
func (s *simCluster) requestRemoval(r *simReplica) {
	for _, other := range s.replicas {
		if other.removalRequested && !other.wiped {
			return
		}
	}
	if r.wiped || s.leader() == nil {
		return
	}
	r.removalRequested = true
	s.addEmptyReplica(fmt.Sprint("e", s.identitiesAdded))
}

// repairMembership proposes the next membership change that an operator would make: it
// replaces, removes, adds or promotes one replica.
func (s *simCluster) repairMembership() {
	l := s.leader()
	if l == nil {
		return
	}
	s.wipeRemoved(l)
	next := l.node.members.Clone()
	for _, id := range s.order {
		r := s.replicas[id]
		m, in := next[id]
		replacement := s.replacement(next, r)
		switch {
		case r.wiped && m.Voter && replacement != nil && s.rnd.IntN(2) == 0:
			delete(next, id)
			replacement.address = r.address
			next[replacement.id] = Member{ID: replacement.id, Address: m.Address, Voter: true}
		case (r.wiped || r.removalRequested) && in && (!m.Voter || next.Voters() > 3):
			delete(next, id)
		case !r.wiped && !r.removalRequested && !in:
			next[id] = Member{ID: id, Address: r.address}
		case !r.wiped && !r.removalRequested && in && !m.Voter:
			next[id] = Member{ID: id, Address: r.address, Voter: true}
		default:
			continue
		}
		break
	}
	exchange := !l.node.members.ChangesAtMostOneVoter(next)
	if s.hasQuorum(next, nil) {
		if _, _, err := l.node.ProposeMembers(l.clock(s.realTime), next); err == nil && exchange {
			s.checkExchange(l, next)
		}
	}
	s.processReady(l)
}

// replacement returns a learner in m that may replace the given replica, or nil if there is none
// or if the given replica isn't wiped. It is the one at the same address. If nobody has that
// address, any learner may move there. It may have joined before the disk was lost: then only the
// log that it holds keeps what the lost voter had counted for.
func (s *simCluster) replacement(m Membership, wiped *simReplica) *simReplica {
	if !wiped.wiped {
		return nil
	}
	vacant := !slices.ContainsFunc(s.order, func(id ID) bool { return !s.replicas[id].wiped && s.replicas[id].address == wiped.address })
	for _, id := range s.order {
		x, in := m[id]
		if r := s.replicas[id]; in && !x.Voter && !r.wiped && !r.removalRequested && (vacant || r.address == wiped.address) {
			return r
		}
	}
	return nil
}

// wipeRemoved wipes the replicas whose requested removal is committed.
func (s *simCluster) wipeRemoved(l *simReplica) {
	committed := l.node.MembersAt(l.node.commit)
	for _, id := range s.order {
		r := s.replicas[id]
		_, in := committed[id]
		_, proposed := l.node.members[id]
		if r.removalRequested && !r.wiped && !in && !proposed {
			s.wipe(r)
		}
	}
}

// proposeVoterChange proposes to change r, and with two also a second replica, from voter
// to learner or back. At least three voters remain, and a quorum has its disks. A change of two voters must be
// rejected, because no disk was lost.
func (s *simCluster) proposeVoterChange(r *simReplica, two bool) {
	for _, id := range s.order {
		l := s.replicas[id]
		if l.node == nil || l.frozen || l.node.role != Leader {
			continue
		}
		next := l.node.members.Clone()
		s.toggleVoter(next, r)
		if two {
			s.toggleVoter(next, s.replicas[s.order[s.rnd.IntN(len(s.order))]])
		}
		if next.Voters() < 3 || !s.hasQuorum(next, nil) {
			continue
		}
		allowed := l.node.members.ChangesAtMostOneVoter(next)
		if _, _, err := l.node.ProposeMembers(l.clock(s.realTime), next); err == nil && !allowed {
			s.fail("%s accepted a change of two voters at once", l.id)
		}
		s.processReady(l)
	}
}

// toggleVoter changes r from voter to learner or back. It skips wiped replicas, because
// no operator would make one a voter.
func (s *simCluster) toggleVoter(m Membership, r *simReplica) {
	if x, ok := m[r.id]; ok && !r.wiped {
		x.Voter = !x.Voter
		m[r.id] = x
	}
}
