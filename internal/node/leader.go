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

// methodCounts is the peer method that sends an entry's request counts to the replicas.
const methodCounts = "node.tally" // notice with a duty.RequestCounts

// engineDirectory implements batch.Pool.
type engineDirectory struct{ n *Node }

func (d engineDirectory) Known() []upstream.Announcement { return d.n.directory.Known() }
func (d engineDirectory) Loading(id string) bool         { return d.n.holdings.Loading(id) }

func (d engineDirectory) Versions(a upstream.Announcement) map[string]uint64 {
	return d.n.holdings.Versions(a)
}

func (d engineDirectory) Seen(id, model string, version uint64) {
	d.n.holdings.Seen(id, model, version)
}

// Slots returns the concurrency slots of an engine: those that its service configures, or
// else its announced concurrency.
func (d engineDirectory) Slots(a upstream.Announcement) int {
	if t := d.n.Table(); t != nil {
		if s, ok := t.Config.Service(a.Service); ok && s.Engine != nil && s.Engine.Slots > 0 {
			return s.Engine.Slots
		}
	}
	return max(a.Concurrency, 1)
}

// Asked updates a model's demand, a moving average of the tokens of its batch jobs, and
// records how far behind the newest version the batch job allows.
func (d engineDirectory) RecordDemand(model string, tokens int, minVersion uint64) {
	newest := d.n.follower.Config().ModelVersions[model]
	d.n.demandMu.Lock()
	defer d.n.demandMu.Unlock()
	d.n.versionLag[model] = newest - min(minVersion, newest)
	old, ok := d.n.demand[model]
	if !ok {
		old = float64(tokens)
	}
	d.n.demand[model] = old + demandWeight*(float64(tokens)-old)
}

// demandWeight is the weight of the newest batch job in the moving average of a model's
// demand.
const demandWeight = 0.3

// publishedModels implements duty.PublishedModels.
type publishedModels struct{ n *Node }

func (p publishedModels) ModelVersions() map[string]uint64 {
	return p.n.follower.Config().ModelVersions
}

func (p publishedModels) Demand() map[string]float64 {
	p.n.demandMu.Lock()
	defer p.n.demandMu.Unlock()
	return maps.Clone(p.n.demand)
}

// MinVersions assumes that the next batch job of a model allows versions as far behind the
// newest one as the last batch job did.
func (p publishedModels) MinVersions() map[string]uint64 {
	out := map[string]uint64{}
	p.n.demandMu.Lock()
	defer p.n.demandMu.Unlock()
	for model, newest := range p.ModelVersions() {
		if versionLag, ok := p.n.versionLag[model]; ok {
			out[model] = newest - min(versionLag, newest)
		}
	}
	return out
}

func (p publishedModels) Services(model string) map[string]bool {
	out := map[string]bool{}
	t := p.n.Table()
	if t == nil {
		return out
	}
	for _, s := range t.Config.Services {
		if s.Engine != nil && slices.Contains(s.Engine.Models, model) {
			out[s.Name] = allowsMixedVersions(t.Config, s.Name)
		}
	}
	return out
}

// allowsMixedVersions reports whether the samples of a service may come from several weight
// versions: no route to the service requires a single version.
func allowsMixedVersions(c *routing.Configuration, service string) bool {
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

// registerUsage creates the usage duty and the handler that receives the entries' request
// counts. It does nothing if usage reports are disabled.
func (n *Node) registerUsage() {
	if n.cfg.UsageInterval <= 0 || n.dependencies.Provider == nil {
		return
	}
	n.usage = duty.NewUsage(n.term(), n.cfg.UsageInterval, n.replica, n.dependencies.Provider, n.log.WithPrefix("usage"))
	peer.HandleNotice(n.server, methodCounts, n.usage.Record)
}

// sendCounts sends the request counts of this entry to all replicas. The leader commits
// them, and the next leader must have them too.
func (n *Node) sendCounts() {
	t := n.counter.RequestCounts()
	if len(t.Intervals) == 0 {
		return
	}
	var replicas []string
	for _, d := range member.Replicas(n.gossip.Live()) {
		replicas = append(replicas, d.PeerAddress)
	}
	n.client.NotifyAll(replicas, methodCounts, t)
}
