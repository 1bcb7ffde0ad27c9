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
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/storage"
)

const (
	// joinPause is the pause between tries to find the running group.
	joinPause = 100 * time.Millisecond
	// logTries is the number of tries between two lines of log: about two seconds.
	logTries = 20
)

// Form writes the data folder of one of the first voters, without an operator:
// every one of them derives the same group from the same founders, given by
// peer address. A founder that restarts before its folder was synced derives
// the same identity again.
func InitFounder(dir, self string, founders []string) (storage.Identity, error) {
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
	return id, storage.Create(dir, id, consensus.Snapshot{Meta: meta, Data: data})
}

func founderID(address string) consensus.ID { return consensus.ID("f." + address) }

// Enlist writes the data folder of a learner of the running group, once any of
// the replicas at addresses says which group that is. It asks until ctx ends.
func JoinCluster(ctx context.Context, dir, daemon string, client *peer.Client, addresses []string, logger *log.Logger) (storage.Identity, error) {
	for tries := 0; ; tries++ {
		for _, a := range addresses {
			ask, cancel := context.WithTimeout(ctx, callTimeout)
			reply, err := peer.Call[MembersReply](ask, client, a, MethodMembers, MembersRequest{})
			cancel()
			if err != nil || reply.Cluster == "" {
				if tries%logTries == 0 {
					logger.Info("Waiting for the control group.", "asked", a, "err", err)
				}
				continue
			}
			id := storage.Identity{Cluster: reply.Cluster, ID: NewIdentity(daemon)}
			return id, InitLearner(dir, id.Cluster, id.ID)
		}
		if !periodic.Pause(ctx, joinPause) {
			return storage.Identity{}, ctx.Err()
		}
	}
}
