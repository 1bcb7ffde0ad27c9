package node

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

// seeds returns the peer addresses through which the gossip finds other daemons: those of
// the founders and of the last known membership, without this node.
func (n *Node) seeds() []string {
	seeds := slices.DeleteFunc(slices.Clone(n.cfg.Founders), func(a string) bool { return a == n.cfg.PeerAddress })
	members := n.follower.Members()
	for _, id := range members.IDs() {
		seeds = appendUnique(seeds, members[id].Address, n.cfg.PeerAddress)
	}
	return seeds
}

// replicaAddresses returns the peer addresses of the other replicas: the live ones first,
// with this node's zone before the others, then those of the last known membership, then
// the founders as a last resort.
func (n *Node) replicaAddresses() []string {
	var addresses []string
	if n.gossip != nil {
		daemons := member.Replicas(n.gossip.Live())
		member.SortZoneFirst(daemons, n.cfg.Zone, func(d member.Daemon) string { return d.Zone })
		for _, d := range daemons {
			if d.PeerAddress != n.cfg.PeerAddress {
				addresses = append(addresses, d.PeerAddress)
			}
		}
	}
	members := n.follower.Members()
	for _, id := range members.IDs() {
		addresses = appendUnique(addresses, members[id].Address, n.cfg.PeerAddress)
	}
	for _, a := range n.cfg.Founders {
		addresses = appendUnique(addresses, a, n.cfg.PeerAddress)
	}
	return addresses
}

// appendUnique appends an address unless it is this node's own or already in the list.
func appendUnique(list []string, a, own string) []string {
	if a == own || slices.Contains(list, a) {
		return list
	}
	return append(list, a)
}

// sources returns the replicas from which the follower reads, best first.
func (n *Node) sources() []control.Source {
	return control.AllSources(n.replica, n.client, n.replicaAddresses(), n.health)
}

// pullFirst pulls the upstreams from all replicas and repeats this until at least one has
// answered: a restarted node must not use upstreams that are leaving.
func (n *Node) pullFirst(ctx context.Context) {
	for ctx.Err() == nil {
		pulled := false
		for _, a := range n.replicaAddresses() {
			pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
			err := n.directory.Pull(pullCtx, n.client, a)
			cancel()
			pulled = pulled || err == nil
		}
		if pulled {
			return
		}
		periodic.Pause(ctx, firstPullRetryDelay)
	}
}

// pullDirectory merges the announcements that a random replica holds. The replicas receive
// them first.
func (n *Node) pullDirectory(ctx context.Context) {
	list := n.health.Sorted(n.replicaAddresses())
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	a := list[rand.IntN(len(list))]
	if err := n.directory.Pull(ctx, n.client, a); err != nil {
		n.log.Debug("Failed to pull the upstreams of a replica.", "with", a, "err", err.Error())
	}
}
