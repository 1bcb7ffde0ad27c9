package consensus

import (
	"encoding/json"
	"maps"
	"slices"
)

// Member is one replica of the cluster.
type Member struct {
	ID      ID     `json:"id"`
	Address string `json:"address"` // peer address, IP:port
	Zone    string `json:"zone"`    // availability zone
	Voter   bool   `json:"voter"`   // false for a learner
}

// Membership is the set of replicas, keyed by ID.
type Membership map[ID]Member

// Clone returns an independent copy.
func (m Membership) Clone() Membership {
	return maps.Clone(m)
}

// IDs returns all replica IDs in ascending order.
func (m Membership) IDs() []ID {
	return slices.Sorted(maps.Keys(m))
}

// HasAddress reports whether a member has the address.
func (m Membership) HasAddress(address string) bool {
	for _, x := range m {
		if x.Address == address {
			return true
		}
	}
	return false
}

// Voters returns the number of voters.
func (m Membership) Voters() int {
	n := 0
	for _, x := range m {
		if x.Voter {
			n++
		}
	}
	return n
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id ID) bool {
	return m[id].Voter
}

// Quorum returns the size of the smallest majority of the voters.
func (m Membership) Quorum() int {
	return m.Voters()/2 + 1
}

// ChangesAtMostOneVoter reports whether the voter sets of m and next differ by at most
// one voter. Any quorum of m then overlaps any quorum of next.
func (m Membership) ChangesAtMostOneVoter(next Membership) bool {
	return len(m.votersNotIn(next))+len(next.votersNotIn(m)) <= 1
}

// ReplacesOneVoter reports whether next replaces one voter by another at the same
// address and leaves all other voters as they are. The caller guarantees that the old
// voter's disk is lost. The old voter can then never vote again, so every quorum of m
// that can still form includes as many voters common to m and next as a quorum needs.
func (m Membership) ReplacesOneVoter(next Membership) bool {
	removed, added := m.votersNotIn(next), next.votersNotIn(m)
	return len(removed) == 1 && len(added) == 1 && removed[0].Address == added[0].Address
}

// votersNotIn returns the voters of m that aren't voters in other.
func (m Membership) votersNotIn(other Membership) []Member {
	var out []Member
	for id, x := range m {
		if x.Voter && !other.IsVoter(id) {
			out = append(out, x)
		}
	}
	return out
}

// Encode returns m as the payload of an EntryMembership.
func (m Membership) Encode() []byte {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // cannot happen: m holds only strings and bools
	}
	return b
}

// DecodeMembership decodes the payload of an EntryMembership.
func DecodeMembership(b []byte) (Membership, error) {
	var m Membership
	err := json.Unmarshal(b, &m)
	return m, err
}
