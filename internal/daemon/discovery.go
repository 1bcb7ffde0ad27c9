package daemon

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/member"
)

// replicaAddresses returns the peer addresses of the other replicas, those in this
// daemon's zone first, followed by the replicas that run and the peers of the settings.
func (d *Daemon) replicaAddresses() []string {
	members := d.follower.Members()
	var list []consensus.Member
	for _, id := range members.IDs() {
		if id != d.identity.ID {
			list = append(list, members[id])
		}
	}
	member.SortZoneFirst(list, d.cfg.Zone, func(m consensus.Member) string { return m.Zone })
	var out []string
	for _, m := range list {
		out = append(out, m.Address)
	}
	// The others are a last resort: all known replicas, and the peers of the settings, may have
	// been replaced while this daemon was disconnected.
	var running []string
	for _, r := range member.Replicas(d.gossip.Live()) {
		running = append(running, r.PeerAddress)
	}
	for _, a := range slices.Concat(running, d.cfg.Peers) {
		if a != d.cfg.PeerAddress && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// sources returns the replicas from which the follower reads.
func (d *Daemon) sources() []control.Source {
	return control.AllSources(d.replica, d.client, d.replicaAddresses(), d.health)
}

// grantorAddresses returns the peer addresses of the replicas that grant quota shares,
// including this daemon's own.
func (d *Daemon) grantorAddresses() []string {
	if d.replica == nil {
		return d.replicaAddresses()
	}
	return append([]string{d.cfg.PeerAddress}, d.replicaAddresses()...)
}

// leadership returns the leadership of this daemon's replica; without a replica it is
// empty.
func (d *Daemon) leadership() control.Leadership {
	if d.replica == nil {
		return control.Leadership{}
	}
	return d.replica.Leadership()
}

// leads returns the term of the leader lease that this daemon holds.
func (d *Daemon) leads() (term uint64, ok bool) {
	l := d.leadership()
	return l.Term, l.Valid()
}

// leaderAddress returns the peer address of the leader that the replica knows, or "".
func (d *Daemon) leaderAddress() string {
	if d.replica == nil {
		return ""
	}
	return d.replica.LeaderAddress()
}

// entryShare returns the part of the upstreams' slots that belongs to this entry.
func (d *Daemon) entryShare() float64 {
	return member.NewWeighting(member.Entries(d.gossip.Live(), d.cfg.Zone)).Share(d.cfg.ID)
}

// startupGracePeriod is how long after the start the list of daemons may be incomplete.
const startupGracePeriod = 2 * time.Second

// ownerAlive reports whether heartbeats show that the daemon that made a claim still
// runs. owner is the incarnation of that daemon, followed by "/" and the claim's own
// part.
func (d *Daemon) ownerAlive(owner string) bool {
	incarnation, _, _ := strings.Cut(owner, "/")
	if incarnation == d.incarnation {
		return true
	}
	if time.Since(d.started) < startupGracePeriod {
		return true // the list of daemons may not be complete yet
	}
	for _, m := range d.gossip.Live() {
		if fmt.Sprintf("%s:%d", m.ID, m.Incarnation) == incarnation {
			return true
		}
	}
	return false
}
