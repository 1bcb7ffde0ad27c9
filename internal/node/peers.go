package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/reach"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/takeup"
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

// replicaAddresses returns the peer addresses of the other replicas: the live members of the
// control group first, with this node's zone before the others, then its other members,
// then the founders and the standbys as a last resort. Each node has another order among the
// members of a zone: otherwise all of a zone's daemons would ask the same one.
func (n *Node) replicaAddresses() []string {
	members := n.follower.Members()
	var addresses, standbys []string
	if n.gossip != nil {
		daemons := member.Replicas(n.gossip.Live())
		sortByHash(daemons, n.cfg.ID)
		member.SortZoneFirst(daemons, n.cfg.Zone, func(d member.Daemon) string { return d.Zone })
		for _, d := range daemons {
			if _, ok := members[consensus.ID(d.Replica)]; !ok && len(members) > 0 {
				standbys = append(standbys, d.PeerAddress)
			} else if d.PeerAddress != n.cfg.PeerAddress {
				addresses = append(addresses, d.PeerAddress)
			}
		}
	}
	for _, id := range members.IDs() {
		addresses = appendUnique(addresses, members[id].Address, n.cfg.PeerAddress)
	}
	for _, a := range slices.Concat(n.cfg.Founders, standbys) {
		addresses = appendUnique(addresses, a, n.cfg.PeerAddress)
	}
	return addresses
}

// recordKeepers returns the live replicas, which keep the origins of streams.
func (n *Node) recordKeepers() []takeup.Replica {
	var out []takeup.Replica
	for _, d := range member.Replicas(n.gossip.Live()) {
		out = append(out, takeup.Replica{ID: d.ID, Incarnation: d.Incarnation, Zone: d.Zone, Address: d.PeerAddress})
	}
	return out
}

// Daemons returns the ids of the daemons that this node knows to be up, itself included.
func (n *Node) Daemons() []string {
	var out []string
	for _, d := range n.gossip.Live() {
		out = append(out, d.ID)
	}
	return out
}

// helpers returns the other daemons that pass connections to upstreams on.
func (n *Node) helpers() []reach.Helper {
	return reach.HelpersOf(n.gossip.Live(), n.cfg.PeerAddress)
}

// sortByHash sorts daemons in an order that depends on who asks.
func sortByHash(daemons []member.Daemon, asker string) {
	slices.SortFunc(daemons, func(a, b member.Daemon) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(asker+"|"+a.ID), xxhash.Sum64String(asker+"|"+b.ID)), cmp.Compare(a.ID, b.ID))
	})
}

// isMember reports whether this node runs a replica that is a member of the control group,
// as far as it knows. Before it knows any member, every replica counts as one.
func (n *Node) isMember() bool {
	if n.replica == nil {
		return false
	}
	members := n.follower.Members()
	_, ok := members[n.identity.Load().ID]
	return ok || len(members) == 0
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
	var local *control.Replica
	if n.isMember() {
		local = n.replica // a standby's configuration is that of an earlier time
	}
	return control.AllSources(local, n.client, n.replicaAddresses(), n.health)
}

// pullFirst pulls the upstreams from several replicas and repeats this until at least one
// has answered: a restarted node must not use upstreams that are leaving. It asks them at the same
// time, because one that is not up yet may stay silent until the timeout.
func (n *Node) pullFirst(ctx context.Context) {
	for ctx.Err() == nil {
		pulled := 0
		for sources := n.directorySources(); len(sources) > 0 && pulled < firstPulls; {
			asked := sources[:min(len(sources), firstPulls-pulled)]
			sources = sources[len(asked):]
			pulled += n.pullFrom(ctx, asked)
		}
		if pulled > 0 {
			return
		}
		periodic.Pause(ctx, firstPullRetryDelay)
	}
}

// pullFrom pulls the upstreams from replicas and returns how many have answered.
func (n *Node) pullFrom(ctx context.Context, replicas []string) int {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var answered atomic.Int64
	var wg sync.WaitGroup
	for _, a := range replicas {
		wg.Go(func() {
			if n.directory.Pull(ctx, n.client, a) == nil {
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	return int(answered.Load())
}

// refreshUpstreams merges the announcements that several replicas hold now. It returns an error
// unless a majority of those that it asked has answered.
func (n *Node) refreshUpstreams(ctx context.Context) error {
	var replicas []string
	for _, d := range member.Replicas(n.gossip.Live()) {
		replicas = appendUnique(replicas, d.PeerAddress, n.cfg.PeerAddress)
	}
	rand.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	replicas = replicas[:min(len(replicas), refreshedFrom)]
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	results := make(chan error, len(replicas))
	for _, a := range replicas {
		go func() { results <- n.directory.Pull(ctx, n.client, a) }()
	}
	asked, answered := len(replicas), 0
	for range replicas {
		if <-results == nil {
			answered++
		}
	}
	if n.replica != nil { // upstreams announce themselves here, too
		asked++
		answered++
	}
	if 2*answered <= asked {
		n.log.Warn("Replicas do not tell which upstreams serve.", "asked", asked, "answered", answered)
		return result.New(result.NoQuorum, "%d of %d replicas have answered", answered, asked)
	}
	return nil
}

// directorySources returns the peer addresses of the daemons that upstreams send their
// announcements to, those in this node's zone first.
func (n *Node) directorySources() []string {
	daemons := member.Replicas(n.gossip.Live())
	member.SortZoneFirst(daemons, n.cfg.Zone, func(d member.Daemon) string { return d.Zone })
	var out []string
	for _, d := range daemons {
		out = appendUnique(out, d.PeerAddress, n.cfg.PeerAddress)
	}
	for _, a := range n.cfg.Founders {
		out = appendUnique(out, a, n.cfg.PeerAddress)
	}
	return out
}

// pullDirectory merges the announcements that a random replica holds. The replicas receive
// them first. In a large deployment, where each pull returns many announcements and notices
// are rarely lost, only one of largePullDivisor calls pulls, and from
// few replicas, those in the zone first.
func (n *Node) pullDirectory(ctx context.Context) {
	sources := n.directorySources()
	if n.gossip.Large() {
		if rand.IntN(largePullDivisor) > 0 {
			return
		}
		sources = sources[:min(len(sources), firstPulls)]
	}
	list := n.health.Sorted(sources)
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
