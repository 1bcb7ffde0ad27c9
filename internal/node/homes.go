package node

import (
	"cmp"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/routing"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

var jobsOutsideHomes = metrics.NewCounter("apricotstream_batch_jobs_outside_homes_total")

// RegionOf returns the region of an upstream, empty if it is not known.
func (n *Node) RegionOf(a upstream.Announcement) string { return n.directory.RegionOf(a) }

// Zones returns the regions of the availability zones that this node knows. The map must not be
// changed.
func (n *Node) Zones() map[string]string { return n.cfg.Zones }

// Entries returns the caller addresses that a caller should use, see member.AnswerWithin: those in
// the home regions of the routes that the caller asks for, or else those in the region of this node.
func (n *Node) Entries(c member.Caller, h *homes.Homes) []string {
	var out []string
	for _, d := range member.AnswerWithin(n.gossip.Live(), cmp.Or(h, n.ownRegion), c) {
		out = append(out, d.CallerAddress)
	}
	return out
}

// checkHomes returns why a configuration with home regions cannot be written now, and logs the
// routes whose requests will be rejected.
func (n *Node) checkHomes(c *routing.Configuration) error {
	if !c.HasHomes() {
		return nil
	}
	level := n.Level()
	if err := homes.CheckLevel(level); err != nil {
		n.log.Warn("Configuration with home regions rejected.", "version", c.Version, "level", level, "needed", homes.MinLevel)
		return err
	}
	unserved, first := 0, ""
	for i := range c.Routes {
		r := &c.Routes[i]
		h := homes.Of(r.Homes)
		for _, s := range r.Splits {
			if h != nil && s.Weight > 0 && !n.hasUpstream(s.Service, h) {
				unserved++
				first = cmp.Or(first, r.Name)
			}
		}
	}
	if unserved > 0 {
		n.log.Warn("Routes lead to services without upstreams in their home regions.", "version", c.Version, "shares", unserved, "first_route", first)
	}
	return nil
}

func (n *Node) hasUpstream(service string, h *homes.Homes) bool {
	return slices.ContainsFunc(n.Upstreams(service), func(a upstream.Announcement) bool { return h.Allows(a.Region) })
}

// checkJobHomes returns why a batch job with home regions cannot be accepted now: a daemon of an
// older build would ignore them, a replica elsewhere would get the bodies of its items, or there is
// no upstream for it.
func (n *Node) checkJobHomes(b *state.Batch) error {
	if b.Homes == nil {
		return nil
	}
	level := n.Level()
	err := homes.CheckLevel(level)
	outside := n.replicaOutside(b.Homes)
	switch {
	case err != nil:
	case outside != "":
		err = result.NewRetryAfter(result.NoUpstream, homesRetryAfter, "replica %s, which would store the batch job, is not in its home regions (%v)", outside, b.Homes)
	case !n.hasUpstream(b.Service, b.Homes):
		err = result.NewRetryAfter(result.NoUpstream, homesRetryAfter, "no upstream of %s is in the home regions of the batch job (%v)", b.Service, b.Homes)
	default:
		return nil
	}
	jobsOutsideHomes.Inc()
	n.log.Warn("Batch job rejected because of its home regions.", "batch", b.ID, "account", b.Account, "homes", b.Homes.String(), "level", level, "outside", outside, "code", int(result.CodeOf(err)))
	return err
}

// replicaOutside returns a replica that is not in a home region, or "". A member of the control group
// that is down counts too: it gets the log when it is back.
func (n *Node) replicaOutside(h *homes.Homes) string {
	for _, d := range member.Replicas(n.gossip.Live()) {
		if !h.Allows(d.Region) {
			return d.ID
		}
	}
	n.replicaRegions.note(n.gossip.Live())
	members := n.follower.Members()
	for _, id := range members.IDs() {
		if region := n.replicaRegions.of(members[id].Address); !h.Allows(region) {
			return string(id)
		}
	}
	return ""
}

// replicaRegions remembers the regions of replicas by their peer addresses, those of replicas that
// are down included. Founders of a control group have no zone in its membership.
type replicaRegions struct {
	mu        sync.Mutex
	byAddress map[string]string
}

// note records the regions of the live replicas.
func (r *replicaRegions) note(live []member.Daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byAddress == nil {
		r.byAddress = map[string]string{}
	}
	for _, d := range live {
		if d.Replica != "" {
			r.byAddress[d.PeerAddress] = d.Region
		}
	}
}

// of returns the region of the replica at an address, empty if it has not been live since the start.
func (r *replicaRegions) of(address string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byAddress[address]
}

// noteReplicaRegions records the regions of the live replicas while home regions are configured.
func (n *Node) noteReplicaRegions() {
	if t := n.Table(); t != nil && t.HasHomes {
		n.replicaRegions.note(n.gossip.Live())
	}
}
