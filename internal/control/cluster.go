package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/storage"
)

const (
	// joinRetryInterval is the delay between two attempts to find the control group.
	joinRetryInterval = 100 * time.Millisecond
	// joinTriesPerLogLine is the number of attempts from one log line to the next, which
	// take about two seconds.
	joinTriesPerLogLine = 20
)

// InitFounder writes the data folder of one of the initial voters. Unlike Init it needs no
// operator key. founders holds the peer addresses of all initial voters. Each of them
// derives the same cluster ID and membership from the same founders. A founder that
// restarts before its folder was synced derives the same replica ID again. InitFounder
// fails with SettingInvalid if self is not among the founders.
func InitFounder(folder *storage.Folder, self string, founders []string) (storage.Identity, error) {
	founders = slices.Clone(founders)
	slices.Sort(founders)
	members := consensus.Membership{}
	for _, a := range founders {
		id := founderID(a)
		members[id] = consensus.Member{ID: id, Address: a, Voter: true}
	}
	if !members.IsVoter(founderID(self)) {
		return storage.Identity{}, result.New(result.SettingInvalid, "%s is not among the founders", self)
	}
	data, err := state.New().Encode()
	if err != nil {
		return storage.Identity{}, err
	}
	sum := sha256.Sum256(members.Encode())
	id := storage.Identity{Cluster: hex.EncodeToString(sum[:8]), ID: founderID(self)}
	meta := consensus.SnapshotMeta{Index: InitialIndex, Term: 1, Members: members}
	return id, folder.Create(id, consensus.Snapshot{Meta: meta, Data: data})
}

func founderID(address string) consensus.ID { return consensus.ID("f." + address) }

// JoinCluster writes the data folder of a learner of the running control group. It asks
// the replicas at the addresses that addresses returns for the cluster ID, until one of
// them replies or ctx ends.
func JoinCluster(ctx context.Context, folder *storage.Folder, daemon string, client *peer.Client, addresses func() []string, logger *log.Logger) (storage.Identity, error) {
	cluster, err := findCluster(ctx, client, addresses, logger)
	if err != nil {
		return storage.Identity{}, err
	}
	id := storage.Identity{Cluster: cluster, ID: NewIdentity(daemon)}
	s, err := learnerSnapshot()
	if err != nil {
		return id, err
	}
	return id, folder.CreateAnew(id, s)
}
