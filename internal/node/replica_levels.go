package node

import (
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/member"
)

// levelSettlingTime is how long after its start a daemon may not know all replicas that are up.
const levelSettlingTime = 3 * time.Second

// replicaLevels remembers the level of each replica by its peer address, also while it is down: it may come
// back with the same build.
type replicaLevels struct {
	mu        sync.Mutex
	byAddress map[string]int
}

// note records the levels of the live replicas.
func (r *replicaLevels) note(live []member.Daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byAddress == nil {
		r.byAddress = map[string]int{}
	}
	for _, d := range live {
		if d.Replica != "" {
			r.byAddress[d.PeerAddress] = d.Level
		}
	}
}

// common returns the lowest level of the live daemons and of the members of the control group, as far as they
// are known, or 0 if one is not known and this daemon has not run for levelSettlingTime.
func (r *replicaLevels) common(live []member.Daemon, members consensus.Membership, up time.Duration) int {
	r.note(live)
	level := member.CommonLevel(live)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(members) == 0 && up < levelSettlingTime {
		return 0
	}
	for _, m := range members {
		known, ok := r.byAddress[m.Address]
		switch {
		case ok:
			level = min(level, known)
		case up < levelSettlingTime:
			return 0
		}
	}
	return level
}

// noteReplicas records the regions and levels of the live replicas.
func (n *Node) noteReplicas() {
	n.noteReplicaRegions()
	n.replicaLevels.note(n.gossip.Live())
}

// replicaLevel returns the level of log entries that all replicas can read, those included that are down.
func (n *Node) replicaLevel() int {
	return n.replicaLevels.common(n.gossip.Live(), n.follower.Members(), time.Since(n.started))
}
