package node

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

// seeds are the founders but this node.
func (n *Node) seeds() []string {
	return slices.DeleteFunc(slices.Clone(n.cfg.Founders), func(a string) bool { return a == n.cfg.PeerAddress })
}

// replicaAddresses lists the other replicas, the own zone first; the founders
// stay a last resort.
func (n *Node) replicaAddresses() []string {
	var live []string
	if n.gossip != nil {
		daemons := member.Replicas(n.gossip.Live())
		member.SortZoneFirst(daemons, n.cfg.Zone, func(d member.Daemon) string { return d.Zone })
		for _, d := range daemons {
			if d.PeerAddress != n.cfg.PeerAddress {
				live = append(live, d.PeerAddress)
			}
		}
	}
	members := n.follower.Members()
	for _, id := range members.IDs() {
		live = appendNew(live, members[id].Address, n.cfg.PeerAddress)
	}
	for _, a := range n.cfg.Founders {
		live = appendNew(live, a, n.cfg.PeerAddress)
	}
	return live
}

func appendNew(list []string, a, own string) []string {
	if a == own || slices.Contains(list, a) {
		return list
	}
	return append(list, a)
}

// sources lists the replicas to follow, best first.
func (n *Node) sources() []control.Source {
	return control.AllSources(n.replica, n.client, n.replicaAddresses(), n.health)
}

// catchUp learns of upstreams from every replica that answers, until one does:
// a restarted node must not use upstreams that are leaving.
func (n *Node) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		learned := false
		for _, a := range n.replicaAddresses() {
			ask, cancel := context.WithTimeout(ctx, callTimeout)
			err := n.directory.Pull(ask, n.client, a)
			cancel()
			learned = learned || err == nil
		}
		if learned {
			return
		}
		periodic.Pause(ctx, catchUpPause)
	}
}

// pull compares what is known of upstreams with a replica, which hears of them
// first.
func (n *Node) pull(ctx context.Context) {
	list := n.health.Sorted(n.replicaAddresses())
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a := list[rand.IntN(len(list))]
	if err := n.directory.Pull(ctx, n.client, a); err != nil {
		n.log.Debug("Upstreams not compared.", "with", a, "err", err.Error())
	}
}

// leaderKnown reports whether this replica has heard from the leader lately.
func (n *Node) leaderKnown() bool {
	if n.replica == nil {
		return false
	}
	st := n.replica.Status()
	return st.Leader != "" && (st.Role != consensus.Leader || n.replica.Leadership().Valid())
}
