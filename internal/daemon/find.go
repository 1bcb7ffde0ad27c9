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

// replicaAddresses lists the replicas known, the own zone first; before any is
// known, the peers of the settings.
func (d *Daemon) replicaAddresses() []string {
	members := d.follower.Members()
	if len(members) == 0 {
		return d.set.Peers
	}
	var list []consensus.Member
	for _, id := range members.IDs() {
		if id != d.identity.ID {
			list = append(list, members[id])
		}
	}
	member.SortZoneFirst(list, d.set.Zone, func(m consensus.Member) string { return m.Zone })
	var out []string
	for _, m := range list {
		out = append(out, m.Address)
	}
	// The settings stay a last resort: all known replicas may have been
	// replaced while this daemon was cut off.
	for _, a := range d.set.Peers {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

func (d *Daemon) sources() []control.Source {
	return control.AllSources(d.replica, d.client, d.replicaAddresses(), d.health)
}

// grantors are the replicas to ask for shares of limits, this one included.
func (d *Daemon) grantors() []string {
	if d.replica == nil {
		return d.replicaAddresses()
	}
	return append([]string{d.set.PeerAddress}, d.replicaAddresses()...)
}

// leadership is that of the own replica; none without one.
func (d *Daemon) leadership() control.Leadership {
	if d.replica == nil {
		return control.Leadership{}
	}
	return d.replica.Leadership()
}

// entries counts the daemons that share the upstreams now.
func (d *Daemon) entries() int {
	return len(member.Entries(d.gossip.Live(), d.set.Zone))
}

// joinTime is how long after the start the list of daemons may lack some that
// are up.
const joinTime = 2 * time.Second

// alive reports whether the daemon that made a claim still runs, as far as the
// heartbeats tell. owner is an incarnation followed by the claim's own part.
func (d *Daemon) alive(owner string) bool {
	incarnation, _, _ := strings.Cut(owner, "/")
	if incarnation == d.incarnation {
		return true
	}
	if time.Since(d.started) < joinTime {
		return true // the list of daemons may not be whole yet
	}
	for _, m := range d.gossip.Live() {
		if fmt.Sprintf("%s:%d", m.ID, m.Incarnation) == incarnation {
			return true
		}
	}
	return false
}
