package control

import (
	"fmt"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// heardWithin is how old the newest message of a voter may be for the voter to count as heard. A
// voter without a leader sends to all others at least that often.
const heardWithin = 3 * time.Second

// leaderLostAfter is the time without contact after which a replica counts as without a leader,
// even if it has not learned that the leader it knows is gone: a learner never starts an election.
const leaderLostAfter = 2 * consensus.DefaultElectionTimeout

// noLeaderKnown begins the error of a replica that cannot relay a call. Its standing follows.
const noLeaderKnown = "this replica knows no leader"

// Kinds of a standing, as in log lines.
const (
	standingOutside       = "outside" // not in the membership that the replica knows, if any
	standingLearner       = "learner"
	standingWithoutQuorum = "voter-without-quorum" // hears too few voters for an election
	standingWithQuorum    = "voter-with-quorum"
)

// standing is what a replica may do in the control group, by what it knows itself.
type standing struct {
	kind            string
	role            consensus.Role
	leader          consensus.ID // "": none is known and in contact
	noLeaderFor     time.Duration
	term            uint64
	voters, members int
	heard           []consensus.ID // voters that are heard, with this replica; only of a voter without a leader
	silent          []string       // the other voters, each with the time since its last message or since the start
}

// hasLeader reports whether the replica leads, or knows a leader and is in contact with it.
func hasLeader(st *consensus.Status, now consensus.Time) bool {
	return st.Role == consensus.Leader || st.Leader != "" && now < st.Contact.Leader+leaderLostAfter
}

// standingOf returns the standing at now, on the clock of the replica's consensus core.
func standingOf(st *consensus.Status, now consensus.Time) standing {
	s := standing{
		kind: standingOutside, role: st.Role, term: st.Term, voters: st.Members.Voters(), members: len(st.Members),
		noLeaderFor: max(0, now-st.Contact.Leader),
	}
	if hasLeader(st, now) {
		s.leader = st.Leader
	}
	self, isMember := st.Members[st.ID]
	if !isMember {
		return s
	}
	if !self.Voter {
		s.kind = standingLearner
		return s
	}
	for _, id := range st.Members.IDs() {
		if !st.Members.IsVoter(id) {
			continue
		}
		// A voter whose last message is that of the lost leader has not been heard since.
		at := st.Contact.Heard[id]
		if id == st.ID || at > st.Contact.Leader && now < at+heardWithin {
			s.heard = append(s.heard, id)
			continue
		}
		s.silent = append(s.silent, fmt.Sprintf("%s for %s", id, seconds(now-at)))
	}
	s.kind = standingWithoutQuorum
	if len(s.heard) >= st.Members.Quorum() {
		s.kind = standingWithQuorum
	}
	return s
}

// String returns the standing for an error message, which ends up among those of other replicas in
// one log line.
func (s standing) String() string {
	text := "not a member of the group"
	switch s.kind {
	case standingLearner:
		text = "learner"
	case standingWithQuorum, standingWithoutQuorum:
		text = "voter"
		if s.leader == "" {
			text = fmt.Sprintf("voter, hears %d of %d voters", len(s.heard), s.voters)
		}
	}
	switch {
	case s.role == consensus.Leader:
		text += ", leads"
	case s.leader != "":
		text += fmt.Sprintf(", heard %s %s ago", s.leader, seconds(s.noLeaderFor))
	default:
		text += ", no leader for " + seconds(s.noLeaderFor)
	}
	return fmt.Sprintf("%s (term %d, %d members)", text, s.term, s.members)
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }

// standing returns the standing of this replica now.
func (r *Replica) standing() standing {
	st := r.Status()
	return standingOf(&st, r.now())
}
