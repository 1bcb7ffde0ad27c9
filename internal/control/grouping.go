package control

import (
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// Times of changes to the control group.
const (
	// voterDeadAfter is how long a voter is silent before a caught-up learner
	// takes its place: longer than a restart of a process, shorter than the time
	// in which a replaced VM must count again.
	voterDeadAfter = 2 * time.Second
	// learnerDeadAfter is how long a silent learner is kept.
	learnerDeadAfter = 15 * time.Second
)

// GroupView is what the leader knows when it looks after the control group.
type MembershipView struct {
	Self      consensus.ID
	Members   consensus.Membership
	Match     map[consensus.ID]uint64 // highest durable index by replica
	Commit    uint64
	Live      []consensus.Member             // replicas that run now, by their own account
	SilentFor map[consensus.ID]time.Duration // how long members have not been live
	Retiring  map[consensus.ID]bool          // replicas to empty
	Voters    int                            // wanted number of voters
}

// Next returns the membership after the next repair step; false when nothing is
// to be done. Each step changes one member.
func (v MembershipView) NextChange() (consensus.Membership, string, bool) {
	for _, step := range []func() (consensus.Membership, string, bool){v.add, v.replace, v.promote, v.demote, v.forget} {
		if next, why, ok := step(); ok {
			return next, why, true
		}
	}
	return nil, "", false
}

// add takes a running replica in as a learner.
func (v MembershipView) add() (consensus.Membership, string, bool) {
	for _, m := range v.Live {
		if _, ok := v.Members[m.ID]; ok || v.Retiring[m.ID] {
			continue
		}
		next := v.Members.Clone()
		m.Voter = false
		next[m.ID] = m
		return next, "replica " + string(m.ID) + " joins as a learner", true
	}
	return nil, "", false
}

// replace gives the vote of a replica whose disk was lost to the new replica
// that runs at the same address: the old one can never run again.
func (v MembershipView) replace() (consensus.Membership, string, bool) {
	for _, l := range v.learners() {
		for _, id := range v.Members.IDs() {
			old := v.Members[id]
			if id == l.ID || old.Address != l.Address || v.live(id) {
				continue
			}
			next := v.Members.Clone()
			delete(next, id)
			if old.Voter {
				l.Voter = true
				next[l.ID] = l
			}
			return next, "replica " + string(l.ID) + " replaces " + string(id) + ", which lost its disk", true
		}
	}
	return nil, "", false
}

// promote makes a learner a voter where votes are missing.
func (v MembershipView) promote() (consensus.Membership, string, bool) {
	sound := 0
	for _, id := range v.Members.IDs() {
		if v.Members.IsVoter(id) && !v.leaving(id) {
			sound++
		}
	}
	if sound >= v.Voters {
		return nil, "", false
	}
	learners := v.learners()
	zones := map[string]int{}
	for id, m := range v.Members {
		if m.Voter && !v.leaving(id) {
			zones[m.Zone]++
		}
	}
	slices.SortStableFunc(learners, func(a, b consensus.Member) int { return zones[a.Zone] - zones[b.Zone] })
	for _, l := range learners {
		if v.Retiring[l.ID] {
			continue
		}
		l.Voter = true
		next := v.Members.Clone()
		next[l.ID] = l
		return next, "replica " + string(l.ID) + " becomes a voter", true
	}
	return nil, "", false
}

// demote removes a voter that is dead or to be emptied once enough others vote.
func (v MembershipView) demote() (consensus.Membership, string, bool) {
	if v.Members.Voters() <= v.Voters {
		return nil, "", false
	}
	var surplus consensus.ID
	for _, id := range v.Members.IDs() {
		if !v.Members.IsVoter(id) {
			continue
		}
		if v.leaving(id) {
			return v.without(id), "voter " + string(id) + " is dead or to be emptied", true
		}
		if id != v.Self {
			surplus = id
		}
	}
	if surplus == "" {
		return nil, "", false
	}
	next := v.Members.Clone()
	m := next[surplus]
	m.Voter = false
	next[surplus] = m
	return next, "voter " + string(surplus) + " is not needed", true
}

// forget drops learners that do not run any more, or are to be emptied.
func (v MembershipView) forget() (consensus.Membership, string, bool) {
	for _, id := range v.Members.IDs() {
		m := v.Members[id]
		if m.Voter || id == v.Self {
			continue
		}
		if v.SilentFor[id] > learnerDeadAfter || v.Retiring[id] {
			return v.without(id), "learner " + string(id) + " is gone", true
		}
	}
	return nil, "", false
}

// leaving reports whether the voter should give up its vote.
func (v MembershipView) leaving(id consensus.ID) bool {
	return v.SilentFor[id] > voterDeadAfter || v.Retiring[id]
}

func (v MembershipView) live(id consensus.ID) bool {
	return slices.ContainsFunc(v.Live, func(m consensus.Member) bool { return m.ID == id })
}

// learners lists the running learners that hold everything committed.
func (v MembershipView) learners() []consensus.Member {
	var out []consensus.Member
	for _, id := range v.Members.IDs() {
		m := v.Members[id]
		if !m.Voter && v.live(id) && v.Match[id] >= v.Commit {
			out = append(out, m)
		}
	}
	return out
}

func (v MembershipView) without(id consensus.ID) consensus.Membership {
	next := v.Members.Clone()
	delete(next, id)
	return next
}
