package control

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/google/uuid"

	"github.com/apricotstream/apricotstream/internal/account"
	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// InitialIndex is the log index of the snapshot that Init and InitFounder create.
const InitialIndex = 1

// Init writes the data folder of one of the initial voters. All of them must be given
// the same voters and operator key to form one control group, because the cluster ID is
// derived from these. Init fails with SettingInvalid if self is not among the voters.
func Init(dir string, self consensus.ID, voters consensus.Membership, operatorKey string) (storage.Identity, error) {
	if !voters.IsVoter(self) {
		return storage.Identity{}, result.New(result.SettingInvalid, "%s is not among the voters", self)
	}
	st := state.New()
	hash := account.Hash(operatorKey)
	st.Config.Keys[hash] = state.Key{ID: account.ID(hash), Hash: hash, Operator: true}
	st.Config.Version = 1
	data, err := st.Encode()
	if err != nil {
		return storage.Identity{}, err
	}
	sum := sha256.Sum256(append(voters.Encode(), data...))
	id := storage.Identity{Cluster: hex.EncodeToString(sum[:8]), ID: self}
	meta := consensus.SnapshotMeta{Index: InitialIndex, Term: 1, Members: voters}
	return id, storage.Create(dir, id, consensus.Snapshot{Meta: meta, Data: data})
}

// NewIdentity returns the ID of a replica that joins a running control group. A replica
// that lost its data folder always rejoins under a new ID.
func NewIdentity(daemon string) consensus.ID {
	return consensus.ID(daemon + "." + uuid.NewString()[:8])
}

// InitLearner writes an empty data folder for a learner. The leader sends the state.
func InitLearner(dir, cluster string, self consensus.ID) error {
	s, err := learnerSnapshot()
	if err != nil {
		return err
	}
	return storage.CreateAnew(dir, storage.Identity{Cluster: cluster, ID: self}, s)
}

// learnerSnapshot returns the first snapshot of a learner: no members and the empty state.
func learnerSnapshot() (consensus.Snapshot, error) {
	data, err := state.New().Encode()
	return consensus.Snapshot{Meta: consensus.SnapshotMeta{Members: consensus.Membership{}}, Data: data}, err
}
