package node

import (
	"maps"
	"slices"

	"github.com/apricotstream/apricotstream/internal/duty"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/routing"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// methodTally carries an entry's counts to the replicas.
const methodTally = "node.tally" // notice: duty.Tally

// pool implements batch.Pool.
type pool struct{ n *Node }

func (p pool) Known() []upstream.Announcement { return p.n.directory.Known() }
func (p pool) Loading(id string) bool         { return p.n.holdings.Loading(id) }

func (p pool) Versions(a upstream.Announcement) map[string]uint64 { return p.n.holdings.Versions(a) }

func (p pool) Seen(id, model string, version uint64) { p.n.holdings.Seen(id, model, version) }

func (p pool) Slots(a upstream.Announcement) int {
	if t := p.n.Table(); t != nil {
		if s, ok := t.Config.Service(a.Service); ok && s.Engine != nil && s.Engine.Slots > 0 {
			return s.Engine.Slots
		}
	}
	return max(a.Concurrency, 1)
}

func (p pool) RecordDemand(model string, tokens int, minVersion uint64) {
	newest := p.n.follower.Config().ModelVersions[model]
	p.n.demandMu.Lock()
	defer p.n.demandMu.Unlock()
	p.n.lag[model] = newest - min(minVersion, newest)
	old, ok := p.n.demand[model]
	if !ok {
		old = float64(tokens)
	}
	p.n.demand[model] = old + demandWeight*(float64(tokens)-old)
}

// demandWeight is the weight of the newest batch job in a model's demand.
const demandWeight = 0.3

// published implements duty.Published.
type published struct{ n *Node }

func (p published) ModelVersions() map[string]uint64 { return p.n.follower.Config().ModelVersions }

func (p published) Demand() map[string]float64 {
	p.n.demandMu.Lock()
	defer p.n.demandMu.Unlock()
	return maps.Clone(p.n.demand)
}

// Needed expects of the next work of a model that it allows versions as far behind
// the newest as the last work did.
func (p published) Needed() map[string]uint64 {
	out := map[string]uint64{}
	p.n.demandMu.Lock()
	defer p.n.demandMu.Unlock()
	for model, newest := range p.ModelVersions() {
		if lag, ok := p.n.lag[model]; ok {
			out[model] = newest - min(lag, newest)
		}
	}
	return out
}

func (p published) Services(model string) map[string]bool {
	out := map[string]bool{}
	t := p.n.Table()
	if t == nil {
		return out
	}
	for _, s := range t.Config.Services {
		if s.Engine != nil && slices.Contains(s.Engine.Models, model) {
			out[s.Name] = mayMix(t.Config, s.Name)
		}
	}
	return out
}

// mayMix reports whether samples of the service may come from several versions.
func mayMix(c *routing.Configuration, service string) bool {
	for i := range c.Routes {
		r := &c.Routes[i]
		if !r.SingleVersion {
			continue
		}
		if slices.ContainsFunc(r.Splits, func(s routing.Split) bool { return s.Service == service }) {
			return false
		}
	}
	return true
}

// registerTallies takes the entries' counts and prepares the usage duty.
func (n *Node) registerTallies() {
	if n.cfg.UsageInterval <= 0 || n.outside.Provider == nil {
		return
	}
	n.usage = duty.NewUsage(n.term(), n.cfg.UsageInterval, n.replica, n.outside.Provider, n.log.WithPrefix("usage"))
	peer.HandleNotice(n.server, methodTally, n.usage.Take)
}

// sendTally sends the counts of this entry to all replicas: the leader among
// them uses it, and the next one must know it too.
func (n *Node) sendTally() {
	t := n.counter.Tally()
	if len(t.Intervals) == 0 {
		return
	}
	var replicas []string
	for _, d := range member.Replicas(n.gossip.Live()) {
		replicas = append(replicas, d.PeerAddress)
	}
	n.client.NotifyAll(replicas, methodTally, t)
}
