package consensus

import "slices"

// disk is what a replica finds after a crash.
type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (d *disk) persist(r Ready) {
	if r.Snapshot != nil {
		d.snapshot = *r.Snapshot
		d.entries = nil
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - d.snapshot.Meta.Index - 1
		d.entries = append(slices.Clone(d.entries[:keep]), r.Entries...)
	}
	if r.HardState != nil {
		d.hard = *r.HardState
	}
}

// replica is one identity with its disk and its drifting clock.
type replica struct {
	id       ID
	address  string
	node     *Node // nil while down
	disk     disk
	rate     float64
	offset   Time
	lost     bool
	retiring bool // to be emptied
	frozen   bool
	deaf     bool // receives nothing
	mute     bool // sends nothing
	crashAt  int  // stage of the next work at which it crashes; 0 for none
	applied  uint64
	chain    uint64 // hash over the applied entries
	leaseEnd float64
}

func (r *replica) clock(real float64) Time { return r.offset + Time(real*r.rate*float64(unit)) }

// realAt is the real time at which the replica's clock shows t.
func (r *replica) realAt(t Time) float64 { return float64(t-r.offset) / r.rate / float64(unit) }
