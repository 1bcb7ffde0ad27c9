package consensus

import (
	"encoding/json"
	"maps"
	"slices"
)

// Member is one replica of the group.
type Member struct {
	ID      ID     `json:"id"`
	Address string `json:"address"` // peer address, IP:port
	Zone    string `json:"zone"`    // availability zone
	Voter   bool   `json:"voter"`   // false for a learner
}

// Membership is the set of replicas by identity.
type Membership map[ID]Member

// Clone returns an independent copy.
func (m Membership) Clone() Membership {
	return maps.Clone(m)
}

// IDs returns all identities in ascending order.
func (m Membership) IDs() []ID {
	return slices.Sorted(maps.Keys(m))
}

// Voters counts the voters.
func (m Membership) Voters() int {
	n := 0
	for _, x := range m {
		if x.Voter {
			n++
		}
	}
	return n
}

// IsVoter reports whether id may vote.
func (m Membership) IsVoter(id ID) bool {
	return m[id].Voter
}

// Quorum is the smallest majority of the voters.
func (m Membership) Quorum() int {
	return m.Voters()/2 + 1
}

// OneApart reports whether the voter sets of m and next differ by at most one
// voter, which makes any two of their quorums overlap.
func (m Membership) ChangesAtMostOneVoter(next Membership) bool {
	return len(m.votersNotIn(next))+len(next.votersNotIn(m)) <= 1
}

// Exchanges reports whether next gives the vote of one member to another at the
// same address and changes no other vote. The caller guarantees that the old
// member's disk is gone: it can never vote again, so that every quorum of m that
// can still form holds a quorum's worth of voters common to both.
func (m Membership) ReplacesOneVoter(next Membership) bool {
	lost, won := m.votersNotIn(next), next.votersNotIn(m)
	return len(lost) == 1 && len(won) == 1 && lost[0].Address == won[0].Address
}

// votersNotIn returns the voters of m that are none in other.
func (m Membership) votersNotIn(other Membership) []Member {
	var out []Member
	for id, x := range m {
		if x.Voter && !other.IsVoter(id) {
			out = append(out, x)
		}
	}
	return out
}

// Encode returns the entry payload of m.
func (m Membership) Encode() []byte {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // only strings and bools: cannot fail
	}
	return b
}

// DecodeMembership reads an entry payload.
func DecodeMembership(b []byte) (Membership, error) {
	var m Membership
	err := json.Unmarshal(b, &m)
	return m, err
}
