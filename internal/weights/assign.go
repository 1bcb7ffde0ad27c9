package weights

import (
	"cmp"
	"maps"
	"slices"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Assignment says which model's new versions an engine loads.
type Assignment map[string]string // model by engine id

// Assign divides the engines of a service among its models in proportion to
// demand, at least one each while there are enough. Loading every model's new
// versions everywhere would take the store several times as long as the versions
// last. An engine keeps its model where the shares allow it, and a model's
// engines are spread over the availability zones.
func Assign(old Assignment, engines []upstream.Announcement, demand map[string]float64) Assignment {
	models := slices.Sorted(maps.Keys(demand))
	out := Assignment{}
	if len(models) == 0 {
		return out
	}
	quota := shares(models, demand, len(engines))
	count := map[string]int{}
	zones := map[string]map[string]int{}
	take := func(e upstream.Announcement, m string) {
		out[e.ID] = m
		count[m]++
		if zones[m] == nil {
			zones[m] = map[string]int{}
		}
		zones[m][e.Zone]++
	}
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b upstream.Announcement) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range engines {
		if m, ok := old[e.ID]; ok && count[m] < quota[m] {
			take(e, m)
		}
	}
	for _, e := range engines {
		if _, ok := out[e.ID]; ok {
			continue
		}
		best := ""
		for _, m := range models {
			if count[m] >= quota[m] {
				continue
			}
			if best == "" || zones[m][e.Zone] < zones[best][e.Zone] {
				best = m
			}
		}
		if best != "" {
			take(e, best)
		}
	}
	return out
}

// Inferred reads from what the engines hold which models they have followed so
// far: the one whose held version lags least behind the published one. An engine
// that fits several models equally is left out. A new leader begins with it.
func InferAssignment(held map[string]map[string]uint64, published map[string]uint64) Assignment {
	out := Assignment{}
	for id, versions := range held {
		best, least, unique := "", uint64(0), false
		for model, v := range versions {
			newest, ok := published[model]
			if !ok {
				continue
			}
			lag := newest - min(v, newest)
			switch {
			case best == "" || lag < least:
				best, least, unique = model, lag, true
			case lag == least:
				unique = false
			}
		}
		if unique {
			out[id] = best
		}
	}
	return out
}

// shares divides n engines by demand: to each model half of an equal share first,
// so that the loss of an engine leaves it another, as far as they go; then the next
// one to the model that has the fewest for its demand.
func shares(models []string, demand map[string]float64, n int) map[string]int {
	quota := map[string]int{}
	order := slices.Clone(models)
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(demand[b], demand[a]) })
	least := max(1, min((n+2*len(models)-1)/(2*len(models)), n/len(models)))
	for _, m := range order {
		quota[m] = min(least, n)
		n -= quota[m]
	}
	for ; n > 0; n-- {
		best := order[0]
		for _, m := range order[1:] {
			if demand[m]/float64(quota[m]+1) > demand[best]/float64(quota[best]+1) {
				best = m
			}
		}
		quota[best]++
	}
	return quota
}
