package node

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Parameters of the choice of carriers.
const (
	// minCarriedSlots is the number of concurrency slots of all engines from which on the
	// leader has its runs carried by other daemons. It serves fewer itself, which saves the
	// way through another daemon.
	minCarriedSlots = 256
	// carrierListTTL is how long a list of carriers is used.
	carrierListTTL = 250 * time.Millisecond
	// unresponsiveCarrierFor is how long a carrier that did not answer is not chosen.
	unresponsiveCarrierFor = 3 * time.Second
)

// carrierPlacement implements batch.Placement. The carriers are the daemons with a data
// folder, which run on the larger VMs. An upstream keeps its carrier, and so its
// connections, as long as that one is up.
type carrierPlacement struct {
	n *Node

	mu           sync.Mutex
	listedAt     time.Time
	byZone       map[string][]string  // peer addresses of carriers
	all          []string             // of all zones
	regions      map[string]string    // of the carriers that obey home regions, by peer address
	unresponsive map[string]time.Time // until when, by peer address
}

func newCarrierPlacement(n *Node) *carrierPlacement {
	return &carrierPlacement{n: n, unresponsive: map[string]time.Time{}}
}

// CarrierOf implements batch.Placement.
func (p *carrierPlacement) CarrierOf(u upstream.Announcement, h *homes.Homes) string {
	byZone, all, regions := p.carriers()
	if address := highestWeight(u.ID, withinHomes(byZone[u.Zone], regions, h)); address != "" {
		return address
	}
	return highestWeight(u.ID, withinHomes(all, regions, h))
}

// ScorerFor implements batch.Placement. The carriers of all zones share the reward requests,
// so that each zone's upstreams get their part.
func (p *carrierPlacement) ScorerFor(reward string, h *homes.Homes) string {
	_, all, regions := p.carriers()
	return highestWeight(reward, withinHomes(all, regions, h))
}

// withinHomes returns the carriers in the regions that h allows. regions lacks those of older builds,
// which do not obey h.
func withinHomes(carriers []string, regions map[string]string, h *homes.Homes) []string {
	if h == nil {
		return carriers
	}
	return slices.DeleteFunc(slices.Clone(carriers), func(address string) bool { return !h.Allows(regions[address]) })
}

// Carriers implements batch.Placement. Another leader may have chosen any daemon with a data folder, also
// one that this leader would not choose now.
func (p *carrierPlacement) Carriers() []string {
	if p.n.engineSlots() < minCarriedSlots {
		return nil
	}
	var out []string
	for _, d := range p.n.gossip.Live() {
		if d.Replica != "" {
			out = append(out, d.PeerAddress)
		}
	}
	return out
}

// Unresponsive implements batch.Placement.
func (p *carrierPlacement) Unresponsive(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive[address] = time.Now().Add(unresponsiveCarrierFor)
	p.listedAt = time.Time{}
}

// carriers returns the carriers by availability zone and all of them. There are none while
// the leader can serve all engines itself.
func (p *carrierPlacement) carriers() (byZone map[string][]string, all []string, regions map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.listedAt) < carrierListTTL {
		return p.byZone, p.all, p.regions
	}
	p.listedAt, p.byZone, p.all, p.regions = now, map[string][]string{}, nil, map[string]string{}
	if p.n.engineSlots() < minCarriedSlots {
		return p.byZone, p.all, p.regions
	}
	members := p.n.follower.Members()
	usable := func(d member.Daemon) bool {
		return d.Replica != "" && !d.Draining && d.PeerAddress != p.n.cfg.PeerAddress && now.After(p.unresponsive[d.PeerAddress])
	}
	live := p.n.gossip.Live()
	for _, d := range live {
		if d.Level >= homes.MinLevel {
			p.regions[d.PeerAddress] = d.Region
		}
	}
	p.byZone, p.all = carriersOf(live, usable, func(d member.Daemon) bool {
		_, ok := members[consensus.ID(d.Replica)]
		return ok
	})
	return p.byZone, p.all, p.regions
}

// carriersOf returns the peer addresses of the usable daemons, by availability zone and of
// all zones. In a zone with standbys the members of the control group, which have the log
// to write, are left out.
func carriersOf(live []member.Daemon, usable, isMember func(member.Daemon) bool) (byZone map[string][]string, all []string) {
	byZone = map[string][]string{}
	members := map[string][]string{}
	zones := map[string]bool{}
	for _, d := range live {
		if !usable(d) {
			continue
		}
		zones[d.Zone] = true
		if isMember(d) {
			members[d.Zone] = append(members[d.Zone], d.PeerAddress)
		} else {
			byZone[d.Zone] = append(byZone[d.Zone], d.PeerAddress)
		}
	}
	for zone := range zones {
		if len(byZone[zone]) == 0 {
			byZone[zone] = members[zone]
		}
		all = append(all, byZone[zone]...)
	}
	return byZone, all
}

// highestWeight returns the address whose hash together with key is the highest, or "" if
// there is none. When an address goes, only its own keys move.
func highestWeight(key string, addresses []string) string {
	best, bestHash := "", uint64(0)
	for _, a := range addresses {
		if h := xxhash.Sum64String(key + "|" + a); best == "" || h > bestHash || h == bestHash && a < best {
			best, bestHash = a, h
		}
	}
	return best
}

// engineSlots returns the number of concurrency slots of all engines.
func (n *Node) engineSlots() int {
	t := n.Table()
	if t == nil {
		return 0
	}
	slots := map[string]int{}
	for _, s := range t.Config.Services {
		if s.Engine != nil {
			slots[s.Name] = s.Engine.Slots
		}
	}
	sum := 0
	for _, u := range n.directory.Known() {
		sum += slots[u.Service]
	}
	return sum
}
