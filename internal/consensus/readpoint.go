package consensus

// ReadPoint is a log index with a time: Index covers every command committed before
// AsOf, which is a reading of this replica's own clock.
type ReadPoint struct {
	AsOf  Time
	Index uint64
}

// ReadPoint returns the newest read point. It returns false if this replica has none,
// or if it is the leader and doesn't hold the lease. Read points need no extra messages:
// every reply to the leader carries this replica's clock. The leader returns that reading
// with its next append and says whether it held its lease when it sent the append.
// Therefore the commit index in that append is no older than the reading.
func (n *Node) ReadPoint() (ReadPoint, bool) {
	if n.role == Leader {
		_, ok := n.LeaseUntil()
		return ReadPoint{AsOf: n.now, Index: n.commit}, ok
	}
	return n.readPoint, n.readPoint.Index > 0
}

// updateReadPoint updates the read point from an accepted append. A clock reading of an
// earlier incarnation of this replica belongs to another clock and is ignored.
func (n *Node) updateReadPoint(m Message) {
	if !m.LeaseHeld || m.EchoIncarnation != n.incarnation || m.EchoClock <= n.readPoint.AsOf {
		return
	}
	n.readPoint = ReadPoint{AsOf: m.EchoClock, Index: m.Commit}
}
