package weights

import (
	"cmp"
	"maps"
	"slices"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Assignment maps engines to the model whose new versions they load.
type Assignment map[string]string // model by engine id

// Assign divides the engines of a service among its models in proportion to demand, with
// at least one engine for each model if there are enough engines. If every engine loaded
// the new versions of every model, the weight store would need several times as long as
// the time between two versions. An engine keeps the model that it has in old as long as
// the model does not exceed its quota. The engines of a model are spread over the
// availability zones.
func Assign(old Assignment, engines []upstream.Announcement, demand map[string]float64) Assignment {
	models := slices.Sorted(maps.Keys(demand))
	out := Assignment{}
	if len(models) == 0 {
		return out
	}
	quota := engineQuotas(models, demand, len(engines))
	count := map[string]int{}
	zones := map[string]map[string]int{}
	assign := func(e upstream.Announcement, m string) {
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
			assign(e, m)
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
			assign(e, best)
		}
	}
	return out
}

// InferAssignment derives from the versions that the engines hold which model each engine
// has been loading: the one whose held version is the least behind the published one. It
// leaves out engines that fit several models equally. A new leader starts with the
// result.
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

// engineQuotas divides n engines among the models by demand. Each model first gets half
// of an equal share, rounded up, and at least one engine as far as the engines suffice.
// With more than two engines for each model that is at least two, so that a model still
// has an engine after the loss of one. Each remaining engine goes to the model that has
// the fewest engines for its demand.
func engineQuotas(models []string, demand map[string]float64, n int) map[string]int {
	quota := map[string]int{}
	order := slices.Clone(models)
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(demand[b], demand[a]) })
	minimum := max(1, min((n+2*len(models)-1)/(2*len(models)), n/len(models)))
	for _, m := range order {
		quota[m] = min(minimum, n)
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
