package consensus

import "slices"

// disk is the durable state of a simulated replica.
type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

// persist stores what r requires to be durable.
func (d *disk) persist(r Ready) {
	if r.Snapshot != nil {
		d.snapshot = *r.Snapshot
		d.entries = nil
	}
	if len(r.Entries) > 0 {
		unchanged := r.Entries[0].Index - d.snapshot.Meta.Index - 1
		d.entries = append(slices.Clone(d.entries[:unchanged]), r.Entries...)
	}
	if r.HardState != nil {
		d.hard = *r.HardState
	}
}

// holds reports whether d holds the committed entry e.
func (d *disk) holds(e Entry) bool {
	i := e.Index - d.snapshot.Meta.Index - 1
	return e.Index <= d.snapshot.Meta.Index || i < uint64(len(d.entries)) && d.entries[i].Term == e.Term
}

// simReplica simulates one replica with its disk and its drifting clock.
type simReplica struct {
	id               ID
	address          string
	node             *Node // nil while down
	disk             disk
	clockRate        float64 // 1: no drift
	clockOffset      Time
	wiped            bool   // its disk is lost for good
	lostDisk         disk   // what that disk held
	waitingRun       uint32 // run of the process that waits to join at its address; 0: none
	removalRequested bool   // to be removed from the cluster and wiped
	frozen           bool
	dropsIncoming    bool // loses all messages to it
	dropsOutgoing    bool // loses all messages from it
	crashStage       int  // stage of the next processReady at which it crashes; 0: none
	applied          uint64
	appliedHash      uint64  // hash over the applied entries
	leaseEnd         float64 // real time
}

// clock returns the reading of the replica's clock at a real time.
func (r *simReplica) clock(realTime float64) Time {
	return r.clockOffset + Time(realTime*r.clockRate*float64(clockTicksPerUnit))
}

// realTimeAt returns the real time at which the replica's clock shows t.
func (r *simReplica) realTimeAt(t Time) float64 {
	return float64(t-r.clockOffset) / r.clockRate / float64(clockTicksPerUnit)
}
