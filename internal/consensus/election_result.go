package consensus

import (
	"maps"
	"slices"
)

// ElectionResult describes the elections that this replica has started and lost since its
// process started.
type ElectionResult struct {
	Failed   int  // number of elections that timed out without a quorum
	PreVote  bool // whether the last of them ended before its vote
	Granted  []ID // replicas that granted their vote or pre-vote in it, with this one
	Rejected []ID // replicas that refused it
}

// recordFailedElection records the election in progress as failed.
func (n *Node) recordFailedElection() {
	if n.role != PreCandidate && n.role != Candidate {
		return
	}
	n.election = ElectionResult{
		Failed: n.election.Failed + 1, PreVote: n.role == PreCandidate,
		Granted: slices.Sorted(maps.Keys(n.votes)), Rejected: slices.Sorted(maps.Keys(n.rejections)),
	}
}
