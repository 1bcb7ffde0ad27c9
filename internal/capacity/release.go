package capacity

import (
	"cmp"
	"slices"

	"github.com/apricotstream/apricotstream/internal/state"
)

// planRelease releases at most one upstream. A zone above its ceiling releases at once;
// otherwise an upstream is released if the load has needed fewer for idleReleaseDelay.
// Cheap upstreams are released first, and no zone falls below its floor.
func (p *planner) planRelease() {
	c := p.Doc.Capacity
	needed := targetCounts(c, p.demand, releaseUtilization, p.available)
	idle := conditionDuration(p.tracker.idle, p.Doc.Name, p.Now, p.counted.total() > needed.total())
	for _, o := range p.releaseCandidates() {
		if p.neededForFloor(o) || !p.overCeiling(o.Zone) && idle < idleReleaseDelay {
			continue
		}
		p.recordTransition(o, state.OrderReleasing, "not needed")
		p.counted[place{o.Zone, o.Class}]--
		delete(p.tracker.idle, p.Doc.Name)
		return
	}
}

// neededForFloor reports whether the upstream of o is needed for the floor of its zone.
func (p *planner) neededForFloor(o state.Order) bool {
	if o.Class != state.ClassRegular || !slices.Contains(p.Doc.Capacity.Zones, o.Zone) {
		return false
	}
	return p.counted[place{o.Zone, o.Class}] <= p.Doc.Capacity.Floor
}

// overCeiling reports whether a zone must lose an upstream: it is not among the zones of
// the service, or its upstreams plus those missing from its floor exceed its ceiling.
func (p *planner) overCeiling(zone string) bool {
	c := p.Doc.Capacity
	if !slices.Contains(c.Zones, zone) {
		return true
	}
	missing := max(c.Floor-p.counted[place{zone, state.ClassRegular}], 0)
	return p.counted.zone(zone)+missing > c.Ceiling
}

// releaseCandidates returns the running orders in the order of release: cheap before
// regular, then the zone with the most upstreams, then the upstream with the fewest
// running requests.
func (p *planner) releaseCandidates() []state.Order {
	var out []state.Order
	for _, o := range p.billable {
		if _, live := p.live[o.ID]; live && o.State == state.OrderRunning {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b state.Order) int {
		return cmp.Or(
			cmp.Compare(a.Class, b.Class), // "cheap" before "regular"
			cmp.Compare(p.counted.zone(b.Zone), p.counted.zone(a.Zone)),
			cmp.Compare(p.live[a.ID].Running, p.live[b.ID].Running),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}
