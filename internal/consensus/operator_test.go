package consensus

import "fmt"

// lose takes a voter's disk for good, once no other loss waits for repair. A
// new identity takes its place, at the same address or at another one.
func (s *schedule) lose(r *replica, moved bool) {
	l := s.leader()
	if l == nil || r.lost {
		return
	}
	for _, m := range []Membership{l.node.members, l.node.MembersAt(l.node.commit)} {
		for id, x := range m {
			if x.Voter && s.replicas[id].lost {
				return
			}
		}
	}
	s.wipe(r)
	address := r.address
	if moved {
		address = fmt.Sprint("m", s.joined)
	}
	s.join(address)
}

// wipe ends a replica for good.
func (s *schedule) wipe(r *replica) {
	s.crash(r)
	r.lost = true
	r.disk = disk{}
}

// join starts an empty replica under a new identity.
func (s *schedule) join(address string) {
	id := ID(fmt.Sprint("n", s.joined))
	s.joined++
	s.add(id, address, disk{snapshot: Snapshot{Meta: SnapshotMeta{Members: Membership{}}}})
}

// retire asks for one replica to be emptied, while no other one is; an empty one
// joins at another address.
func (s *schedule) retire(r *replica) {
	for _, other := range s.replicas {
		if other.retiring && !other.lost {
			return
		}
	}
	if r.lost || s.leader() == nil {
		return
	}
	r.retiring = true
	s.join(fmt.Sprint("e", s.joined))
}

// operate repairs the membership by one step, as an operator does.
func (s *schedule) operate() {
	l := s.leader()
	if l == nil {
		return
	}
	s.empty(l)
	next := l.node.members.Clone()
	for _, id := range s.order {
		r := s.replicas[id]
		m, in := next[id]
		heir := s.heir(next, r)
		switch {
		case r.lost && m.Voter && heir != nil && s.rnd.IntN(2) == 0:
			delete(next, id)
			next[heir.id] = Member{ID: heir.id, Address: heir.address, Voter: true}
		case (r.lost || r.retiring) && in && (!m.Voter || next.Voters() > 3):
			delete(next, id)
		case !r.lost && !r.retiring && !in:
			next[id] = Member{ID: id, Address: r.address}
		case !r.lost && !r.retiring && in && !m.Voter:
			next[id] = Member{ID: id, Address: r.address, Voter: true}
		default:
			continue
		}
		break
	}
	_, _, _ = l.node.ProposeMembers(l.clock(s.real), next)
	s.work(l)
}

// heir returns the learner at the address of a lost replica, if there is one.
func (s *schedule) heir(m Membership, lost *replica) *replica {
	for _, id := range s.order {
		x, in := m[id]
		if r := s.replicas[id]; in && !x.Voter && !r.lost && lost.lost && r.address == lost.address {
			return r
		}
	}
	return nil
}

// empty wipes the replica that has left the committed membership on request.
func (s *schedule) empty(l *replica) {
	committed := l.node.MembersAt(l.node.commit)
	for _, id := range s.order {
		r := s.replicas[id]
		_, in := committed[id]
		_, proposed := l.node.members[id]
		if r.retiring && !r.lost && !in && !proposed {
			s.wipe(r)
		}
	}
}

// flip asks for a change of one or two replicas between voter and learner; two
// must be refused: nobody lost a disk. At least three voters stay.
func (s *schedule) flip(r *replica, two bool) {
	for _, id := range s.order {
		l := s.replicas[id]
		if l.node == nil || l.frozen || l.node.role != Leader {
			continue
		}
		next := l.node.members.Clone()
		s.toggle(next, r)
		if two {
			s.toggle(next, s.replicas[s.order[s.rnd.IntN(len(s.order))]])
		}
		if next.Voters() < 3 {
			continue
		}
		apart := l.node.members.ChangesAtMostOneVoter(next)
		if _, _, err := l.node.ProposeMembers(l.clock(s.real), next); err == nil && !apart {
			s.fail("%s changed two votes at once", l.id)
		}
		s.work(l)
	}
}

// toggle leaves a lost identity alone: no operator makes it a voter.
func (s *schedule) toggle(m Membership, r *replica) {
	if x, ok := m[r.id]; ok && !r.lost {
		x.Voter = !x.Voter
		m[r.id] = x
	}
}
