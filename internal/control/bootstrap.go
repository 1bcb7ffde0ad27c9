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

// FirstIndex is the place in the log of the state that Init creates.
const InitialIndex = 1

// Init writes the data folder of one first voter. Every first voter must be
// given the same voters and operator key; then they form one group.
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

// NewIdentity names a replica that joins a running group. A lost data folder
// always comes back under a new identity.
func NewIdentity(daemon string) consensus.ID {
	return consensus.ID(daemon + "." + uuid.NewString()[:8])
}

// Join writes an empty data folder for a learner; the leader fills it.
func InitLearner(dir, cluster string, self consensus.ID) error {
	data, err := state.New().Encode()
	if err != nil {
		return err
	}
	s := consensus.Snapshot{Meta: consensus.SnapshotMeta{Members: consensus.Membership{}}, Data: data}
	return storage.Create(dir, storage.Identity{Cluster: cluster, ID: self}, s)
}
