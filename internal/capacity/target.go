package capacity

import (
	"math"

	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Utilization of the concurrency slots of all upstreams.
const (
	// targetUtilization is the utilization above which more upstreams are ordered.
	targetUtilization = 0.7
	// releaseUtilization is the utilization below which upstreams are released. The
	// distance to targetUtilization damps flapping.
	releaseUtilization = 0.5
)

// place identifies where upstreams run: one class of upstreams in one zone.
type place struct{ zone, class string }

// counts holds a number for each place, such as that of its upstreams.
type counts map[place]int

func (c counts) zone(z string) int {
	return c[place{z, state.ClassRegular}] + c[place{z, state.ClassCheap}]
}

func (c counts) total() int {
	n := 0
	for _, k := range c {
		n += k
	}
	return n
}

// availableFunc reports whether upstreams can be ordered for a place.
type availableFunc func(place) bool

// targetCounts returns the numbers of upstreams needed for demand if its requests may use
// the given share of the concurrency slots. demand is the number of running and waiting
// requests. The floors are filled first. Of the rest, cheap upstreams are used up to the
// configured cheap share. They are spread over the zones so that, if all cheap upstreams
// of a zone are lost, the remaining ones still have a slot for every request. If a class
// is not available in a zone, other zones and then regular upstreams are used instead.
func targetCounts(c document.Capacity, demand int, share float64, available availableFunc) counts {
	out := counts{}
	for _, z := range c.Zones {
		out[place{z, state.ClassRegular}] = c.Floor
	}
	floors := out.total()
	slots := float64(max(c.Concurrency, 1))
	n := int(math.Ceil(float64(demand) / (slots * share)))
	n = min(max(n, floors), c.Ceiling*len(c.Zones))
	needed := int(math.Ceil(float64(demand) / slots))
	cheap := min(int(c.CheapShare*float64(n)), n-floors)
	spreadOverZones(c, out, cheap, state.ClassCheap, n-needed, available)
	spreadOverZones(c, out, n-out.total(), state.ClassRegular, n, available)
	return out
}

// spreadOverZones adds up to n upstreams of class to out, one zone after the other, with
// at most perZone of the class in each zone.
func spreadOverZones(c document.Capacity, out counts, n int, class string, perZone int, available availableFunc) {
	for n > 0 {
		before := n
		for _, z := range c.Zones {
			p := place{z, class}
			if n > 0 && out.zone(z) < c.Ceiling && out[p] < perZone && available(p) {
				out[p]++
				n--
			}
		}
		if n == before {
			return
		}
	}
}
