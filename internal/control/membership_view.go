package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// Timeouts for changes of the control group's membership.
const (
	// voterDeadAfter is how long a voter must be silent before a caught-up learner
	// replaces it, unless it is known to have lost its disk. It is longer than a restart
	// of a process and shorter than the time within which a replaced VM must have a vote
	// again.
	voterDeadAfter = 2 * time.Second
	// learnerDeadAfter is how long a learner may be silent before it is removed.
	learnerDeadAfter = 15 * time.Second
)

// MembershipView is the input for the next membership change: what the leader knows about
// the replicas of the control group.
type MembershipView struct {
	Self    consensus.ID
	Members consensus.Membership
	Match   map[consensus.ID]uint64 // highest durable index of the replicas that answer
	Commit  uint64
	// RecentCommit is what Commit was a short time ago. A learner that holds the entries up
	// to there may become an additional voter.
	RecentCommit uint64
	// TakeoverIndex is, by voter, the index up to which a learner must hold the log to take over
	// its vote if it has lost its disk.
	TakeoverIndex map[consensus.ID]uint64
	Live          []consensus.Member             // replicas that announce themselves as running
	SilentFor     map[consensus.ID]time.Duration // time since each member last answered the leader
	Retiring      map[consensus.ID]bool          // replicas that are being retired
	Voters        int                            // desired number of voters
	// MaxMembers bounds the members. Replicas beyond it stay standbys: they hold no log, and
	// join when a member is gone for good, or when fewer than repairMembers members run.
	MaxMembers int
}

// NextChange returns the membership after the next membership change and the reason for
// the change. It returns false when no change is needed. Each change concerns one member,
// or exchanges a member for its successor at the same address.
func (v MembershipView) NextChange() (consensus.Membership, string, bool) {
	for _, change := range []func() (consensus.Membership, string, bool){v.replaceLostReplica, v.promoteLearner, v.addSuccessor, v.removeOrDemoteVoter, v.evictLearner, v.addLearner, v.removeLearner} {
		if next, reason, ok := change(); ok {
			return next, reason, true
		}
	}
	return nil, "", false
}

// addSuccessor adds a replica that runs at the address of a member, which has lost its disk, as a
// learner.
func (v MembershipView) addSuccessor() (consensus.Membership, string, bool) {
	return v.join(func(m consensus.Member) bool { return v.Members.HasAddress(m.Address) })
}

// addLearner adds a running replica that is not a member yet as a learner while there is room.
func (v MembershipView) addLearner() (consensus.Membership, string, bool) {
	return v.join(func(consensus.Member) bool { return v.hasRoom() })
}

// join adds a running replica for which may returns true as a learner, from the zone with the
// fewest running members.
func (v MembershipView) join(may func(consensus.Member) bool) (consensus.Membership, string, bool) {
	zones := map[string]int{}
	for id, m := range v.Members {
		if !v.silent(id) {
			zones[m.Zone]++
		}
	}
	var best *consensus.Member
	for i, m := range v.Live {
		if _, ok := v.Members[m.ID]; ok || v.Retiring[m.ID] || !may(m) {
			continue
		}
		if best == nil || zones[m.Zone] < zones[best.Zone] {
			best = &v.Live[i]
		}
	}
	if best == nil {
		return nil, "", false
	}
	next := v.Members.Clone()
	m := *best
	m.Voter = false
	next[m.ID] = m
	return next, "replica " + string(m.ID) + " joins as a learner", true
}

// hasRoom reports whether a replica may join that succeeds no member at its address.
func (v MembershipView) hasRoom() bool {
	return len(v.Members) < v.MaxMembers || v.running() < v.repairMembers() && v.listed() < v.MaxMembers+v.Voters
}

// listed returns the number of members that announce themselves as running. A leader that hears
// few of them may be cut off itself.
func (v MembershipView) listed() int {
	n := 0
	for id := range v.Members {
		if v.live(id) {
			n++
		}
	}
	return n
}

// repairMembers returns the number of members that must run before MaxMembers keeps a replica out:
// the voters, and a successor for each of them that may be gone at the same time. Otherwise
// members that are gone would keep out the successors of voters.
func (v MembershipView) repairMembers() int { return v.Voters + v.Voters/2 }

// running returns the number of members that are not silent.
func (v MembershipView) running() int {
	n := 0
	for id := range v.Members {
		if !v.silent(id) {
			n++
		}
	}
	return n
}

// replaceLostReplica replaces a replica that lost its disk with a learner that runs at the same
// address. The learner gets the vote of the old replica, if it had one and the learner holds
// the log up to TakeoverIndex. The old replica can never run again.
func (v MembershipView) replaceLostReplica() (consensus.Membership, string, bool) {
	for _, id := range v.Members.IDs() {
		old := v.Members[id]
		for _, l := range v.learnersWith(v.TakeoverIndex[id]) {
			if id == l.ID || old.Address != l.Address || v.live(id) {
				continue
			}
			next := v.without(id)
			if old.Voter {
				l.Voter = true
				next[l.ID] = l
			}
			return next, "replica " + string(l.ID) + " replaces " + string(id) + ", which lost its disk", true
		}
	}
	return nil, "", false
}

// promoteLearner makes a caught-up learner a voter when there are too few healthy voters.
// It prefers the zone with the fewest of them.
func (v MembershipView) promoteLearner() (consensus.Membership, string, bool) {
	healthy := 0
	for _, id := range v.Members.IDs() {
		if v.Members.IsVoter(id) && !v.shouldLeave(id) {
			healthy++
		}
	}
	if healthy >= v.Voters {
		return nil, "", false
	}
	caughtUpLearners := v.learnersWith(v.RecentCommit)
	zones := map[string]int{}
	for id, m := range v.Members {
		if m.Voter && !v.shouldLeave(id) {
			zones[m.Zone]++
		}
	}
	slices.SortStableFunc(caughtUpLearners, func(a, b consensus.Member) int { return zones[a.Zone] - zones[b.Zone] })
	for _, l := range caughtUpLearners {
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

// removeOrDemoteVoter acts when there are more voters than desired. It removes a voter
// that has lost its disk or is being retired, and makes a silent one a learner, which
// catches up if it returns. If there is none, it makes the voter a learner that has been silent for
// the longest time, but not while a voter does not run: that one may be dead.
func (v MembershipView) removeOrDemoteVoter() (consensus.Membership, string, bool) {
	if v.Members.Voters() <= v.Voters {
		return nil, "", false
	}
	var surplus consensus.ID
	allLive := true
	for _, id := range v.Members.IDs() {
		if !v.Members.IsVoter(id) {
			continue
		}
		if v.Retiring[id] || v.lost(id) {
			return v.without(id), "voter " + string(id) + " has lost its disk or is being retired", true
		}
		if v.shouldLeave(id) {
			return v.demoted(id), "voter " + string(id) + " is silent and becomes a learner", true
		}
		if id != v.Self {
			if surplus == "" || v.SilentFor[id] >= v.SilentFor[surplus] {
				surplus = id
			}
			allLive = allLive && v.live(id)
		}
	}
	if surplus == "" || !allLive {
		return nil, "", false
	}
	return v.demoted(surplus), "voter " + string(surplus) + " is surplus and becomes a learner", true
}

// evictLearner removes the learner that has been silent for the longest time while there are
// more than MaxMembers members, or more silent learners than voters are desired. If it returns, it
// joins again with the log that it has.
func (v MembershipView) evictLearner() (consensus.Membership, string, bool) {
	gone := slices.DeleteFunc(v.Members.IDs(), func(id consensus.ID) bool {
		return v.Members.IsVoter(id) || !v.silent(id) || v.live(id)
	})
	if len(gone) == 0 || len(v.Members) <= v.MaxMembers && len(gone) <= v.Voters {
		return nil, "", false
	}
	longest := slices.MaxFunc(gone, func(a, b consensus.ID) int { return cmp.Compare(v.SilentFor[a], v.SilentFor[b]) })
	return v.without(longest), "learner " + string(longest) + " is silent and makes room", true
}

// removeLearner removes a learner that no longer runs or is being retired.
func (v MembershipView) removeLearner() (consensus.Membership, string, bool) {
	for _, id := range v.Members.IDs() {
		m := v.Members[id]
		if m.Voter || id == v.Self {
			continue
		}
		if v.SilentFor[id] > learnerDeadAfter && !v.live(id) || v.Retiring[id] {
			return v.without(id), "learner " + string(id) + " is dead or being retired", true
		}
	}
	return nil, "", false
}

// silentMembers returns the members that have been silent for voterDeadAfter.
func (v MembershipView) silentMembers() map[consensus.ID]bool {
	out := map[consensus.ID]bool{}
	for id := range v.SilentFor {
		out[id] = v.silent(id)
	}
	return out
}

// shouldLeave reports whether the voter should lose its vote.
func (v MembershipView) shouldLeave(id consensus.ID) bool {
	return v.silent(id) || v.Retiring[id] || v.lost(id)
}

// silent reports whether the member has not answered for voterDeadAfter.
func (v MembershipView) silent(id consensus.ID) bool { return v.SilentFor[id] > voterDeadAfter }

// lost reports whether the replica has lost its disk: another one runs at its address.
func (v MembershipView) lost(id consensus.ID) bool {
	_, ok := v.successor(id)
	return ok
}

// successor returns the replica that runs at the address of a replica that has lost its disk.
func (v MembershipView) successor(id consensus.ID) (consensus.Member, bool) {
	i := slices.IndexFunc(v.Live, func(m consensus.Member) bool { return m.ID != id && m.Address == v.Members[id].Address })
	if i < 0 || v.live(id) {
		return consensus.Member{}, false
	}
	return v.Live[i], true
}

func (v MembershipView) live(id consensus.ID) bool {
	return slices.ContainsFunc(v.Live, func(m consensus.Member) bool { return m.ID == id })
}

// learnersWith lists the running learners that answer and hold the log entries up to index i.
func (v MembershipView) learnersWith(i uint64) []consensus.Member {
	var out []consensus.Member
	for _, id := range v.Members.IDs() {
		m := v.Members[id]
		if match, answers := v.Match[id]; !m.Voter && v.live(id) && answers && match >= i {
			out = append(out, m)
		}
	}
	return out
}

// demoted returns the membership in which a voter is a learner.
func (v MembershipView) demoted(id consensus.ID) consensus.Membership {
	next := v.Members.Clone()
	m := next[id]
	m.Voter = false
	next[id] = m
	return next
}

func (v MembershipView) without(id consensus.ID) consensus.Membership {
	next := v.Members.Clone()
	delete(next, id)
	return next
}
