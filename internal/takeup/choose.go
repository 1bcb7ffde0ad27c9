package takeup

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Replica is a daemon that can keep records.
type Replica struct {
	ID          string
	Incarnation int64 // of its process; another one has no records
	Zone        string
	Address     string // peer address
}

// ranked returns the replicas in the order in which they keep the records of a stream, by
// rendezvous hashing: all daemons that know the same replicas agree on it, and the loss of one
// replica moves only its own records. The first two are of different availability zones, if
// there are several.
func ranked(k Key, replicas []Replica) []Replica {
	score := make(map[string]uint64, len(replicas))
	for _, r := range replicas {
		h := xxhash.New()
		_, _ = h.Write(k[:])
		_, _ = h.WriteString(r.ID)
		score[r.ID] = h.Sum64()
	}
	out := slices.SortedFunc(slices.Values(replicas), func(a, b Replica) int {
		return cmp.Or(cmp.Compare(score[b.ID], score[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	for i := range out {
		if out[i].Zone != out[0].Zone {
			second := out[i]
			out = slices.Insert(slices.Delete(out, i, i+1), 1, second)
			break
		}
	}
	return out
}

// hashReplicas identifies a list of processes.
func hashReplicas(replicas []Replica) uint64 {
	h := xxhash.New()
	for _, r := range replicas {
		_, _ = h.WriteString(r.ID + "#" + strconv.FormatInt(r.Incarnation, 36) + "|")
	}
	return h.Sum64()
}
