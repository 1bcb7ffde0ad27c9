package consensus

import "maps"

// Contact describes what a replica has received from the others. Its times are on the clock given
// to Tick.
type Contact struct {
	// Leader is the time of the newest contact with a leader, or of this replica's own leadership.
	// Before the first it is when the Node was created.
	Leader Time
	// Heard is the time of the newest message of each member from which one has arrived. It is
	// nil while a leader is known and in contact. Only voters get messages without a leader.
	Heard map[ID]Time
	// LastTerm is the term of the last log entry, MembershipIndex the log index of the newest
	// membership or, if that is part of the snapshot, of the snapshot.
	LastTerm        uint64
	MembershipIndex uint64
}

// recordReceipt records that a message of a member has arrived. An answer that a voter is absent
// comes from another process.
func (n *Node) recordReceipt(m Message) {
	if _, ok := n.members[m.From]; !ok || m.Absent {
		return
	}
	n.heard[m.From] = n.now
	if len(n.heard) > len(n.members) {
		maps.DeleteFunc(n.heard, func(id ID, _ Time) bool {
			_, ok := n.members[id]
			return !ok
		})
	}
}

func (n *Node) contact() Contact {
	c := Contact{Leader: n.lastLeaderContact, LastTerm: n.log.lastTerm(), MembershipIndex: n.log.lastChangeIndex()}
	if n.role == Leader {
		c.Leader = n.now
	} else if n.leader == "" || !n.leaderLeaseMayBeActive() {
		c.Heard = maps.Clone(n.heard)
	}
	return c
}
