package member

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
)

// Parameters of the distribution of notices.
const (
	// maxDirect is the number of other daemons up to which a notice is sent to each of them.
	// Beyond it every daemon would hold a connection to every other one.
	maxDirect = 80
	// relayDelay is the shortest time between two batches of a daemon to the relays, and of a
	// relay to its availability zone. A notice waits for both at most.
	relayDelay = 80 * time.Millisecond
	// maxQueuedRelay bounds the notices that wait for the next batch. Further ones are lost,
	// as on a lossy network.
	maxQueuedRelay = 4096
)

var noticesDiscarded = metrics.NewCounter("apricotstream_member_notices_discarded_total")

// RelayedNotice is a notice to all daemons on its way through a relay.
type RelayedNotice struct {
	From   string          `json:"f"` // peer address of the sender, to which it is not passed on
	Method string          `json:"m"`
	Params json.RawMessage `json:"p"`
}

// Relays returns one daemon of each availability zone, through which a notice reaches the
// daemons of that zone. All daemons that hold the same descriptions choose the same ones.
// Replicas come first, because they run on larger VMs; draining daemons come last. The
// daemons for which avoid returns true are left out.
func Relays(live []Daemon, avoid func(id string) bool) map[string]Daemon {
	out := map[string]Daemon{}
	rank := map[string]uint64{}
	for _, d := range live {
		if avoid(d.ID) {
			continue
		}
		r := xxhash.Sum64String(d.ID) >> 2
		if d.Replica != "" {
			r |= 1 << 62
		}
		if !d.Draining {
			r |= 1 << 63
		}
		if best, ok := out[d.Zone]; !ok || r > rank[d.Zone] || r == rank[d.Zone] && d.ID < best.ID {
			out[d.Zone], rank[d.Zone] = d, r
		}
	}
	return out
}

// batcher collects notices and hands them over in batches, the first at once and the next
// ones at least delay apart.
type batcher struct {
	delay time.Duration
	send  func([]RelayedNotice)

	mu      sync.Mutex
	queued  []RelayedNotice
	pending bool // a timer is set
	sentAt  time.Time
}

// add queues notices for the next batch.
func (b *batcher) add(ns ...RelayedNotice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if room := maxQueuedRelay - len(b.queued); len(ns) > room {
		noticesDiscarded.Add(len(ns) - room)
		ns = ns[:room]
	}
	b.queued = append(b.queued, ns...)
	if b.pending {
		return
	}
	b.pending = true
	time.AfterFunc(max(0, b.delay-time.Since(b.sentAt)), b.flush)
}

func (b *batcher) flush() {
	b.mu.Lock()
	ns := b.queued
	b.queued, b.pending, b.sentAt = nil, false, time.Now()
	b.mu.Unlock()
	b.send(ns)
}

// Broadcast sends a notice to every other daemon that is up. In a large deployment it goes
// through one relay in each availability zone, together with others.
func (g *Gossip) Broadcast(method string, params any) {
	if !g.Large() {
		g.client.NotifyAll(g.Others(), method, params)
		return
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return // cannot happen: all notices are plain structs
	}
	g.outgoing.add(RelayedNotice{From: g.self().PeerAddress, Method: method, Params: raw})
}

// Large reports whether the deployment is so large that notices go through relays.
func (g *Gossip) Large() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.table.others) > g.maxDirect
}

// relays returns the peer address of the relay of each availability zone.
func (g *Gossip) relays() map[string]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]string{}
	for zone, d := range Relays(g.table.Live(), g.table.suspects) {
		out[zone] = d.PeerAddress
	}
	return out
}

// sendToRelays sends a batch to the relays. If this daemon is one, it passes the batch on.
func (g *Gossip) sendToRelays(ns []RelayedNotice) {
	own := g.self().PeerAddress
	var others []string
	for _, relay := range g.relays() {
		if relay == own {
			g.toZone.add(ns...)
		} else {
			others = append(others, relay)
		}
	}
	g.client.NotifyAll(others, MethodRelay, ns)
}

// sendToZone sends a batch to the other daemons of this daemon's availability zone.
func (g *Gossip) sendToZone(ns []RelayedNotice) {
	g.client.NotifyAll(g.zone(g.self().Zone), MethodRelayed, ns)
}

// zone returns the peer addresses of the other daemons of an availability zone.
func (g *Gossip) zone(name string) []string {
	own := g.self().PeerAddress
	var out []string
	for _, d := range g.Live() {
		if d.Zone == name && d.PeerAddress != own {
			out = append(out, d.PeerAddress)
		}
	}
	return out
}

// handleRelay processes a batch and passes it on to the availability zone, whether or not
// this daemon would choose itself as the relay.
func (g *Gossip) handleRelay(ns []RelayedNotice, dispatch func(method string, params json.RawMessage)) {
	g.toZone.add(ns...)
	g.handleRelayed(ns, dispatch)
}

// handleRelayed processes the notices of a batch, except those that this daemon sent. Batches
// are not nested.
func (g *Gossip) handleRelayed(ns []RelayedNotice, dispatch func(method string, params json.RawMessage)) {
	own := g.self().PeerAddress
	for _, n := range ns {
		if n.From != own && !strings.HasPrefix(n.Method, relayPrefix) {
			dispatch(n.Method, n.Params)
		}
	}
}
