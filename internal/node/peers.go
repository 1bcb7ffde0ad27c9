package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/quarantine"
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
		daemons := slices.Clone(n.gossip.Live())
		slices.SortStableFunc(daemons, func(a, b member.Daemon) int { return cmp.Compare(far(a.Zone, n.cfg.Zone), far(b.Zone, n.cfg.Zone)) })
		for _, d := range daemons {
			if d.Replica != "" && d.PeerAddress != n.cfg.PeerAddress {
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

func far(zone, own string) int {
	if zone == own {
		return 0
	}
	return 1
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
	list := n.health.Order(n.replicaAddresses())
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

// others returns the peer addresses of all other daemons that are up.
func (n *Node) others() []string {
	var out []string
	for _, d := range n.gossip.Live() {
		if d.PeerAddress != n.cfg.PeerAddress {
			out = append(out, d.PeerAddress)
		}
	}
	return out
}

// spreader reaches all other daemons that are up.
type spreader struct{ n *Node }

// Broadcast implements quarantine.Spreader.
func (s spreader) Broadcast(method string, params any) { s.n.gossip.Broadcast(method, params) }

// Confirm implements quarantine.Spreader.
func (s spreader) Confirm(method string, params any) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range s.n.others() {
		wg.Go(func() { _, _ = peer.Call[quarantine.Ack](ctx, s.n.client, a, method, params) })
	}
	wg.Wait()
}

// leaderKnown reports whether this replica has heard from the leader lately.
func (n *Node) leaderKnown() bool {
	if n.replica == nil {
		return false
	}
	st := n.replica.Status()
	return st.Leader != "" && (st.Role != consensus.Leader || n.replica.Leadership().Valid())
}
