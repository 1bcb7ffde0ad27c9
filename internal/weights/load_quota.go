package weights

import "github.com/apricotstream/apricotstream/internal/upstream"

// loadQuota counts how many more upstreams may start to load while enough keep serving,
// in total and by zone.
type loadQuota struct {
	total int
	zone  map[string]int
}

// newLoadQuota returns the quota for the live upstreams minus the loads in progress.
// minServingShare is the share of upstreams that must not be loading.
func newLoadQuota(live []upstream.Announcement, loads map[string]load, minServingShare float64) loadQuota {
	size, loadingByZone := map[string]int{}, map[string]int{}
	loading := 0
	for _, u := range live {
		size[u.Zone]++
		if _, ok := loads[u.ID]; ok {
			loadingByZone[u.Zone]++
			loading++
		}
	}
	q := loadQuota{total: maxLoading(len(live), minServingShare) - loading, zone: map[string]int{}}
	for z, n := range size {
		q.zone[z] = maxLoading(n, minServingShare) - loadingByZone[z]
	}
	return q
}

// maxLoading returns how many of n upstreams may load at once. It is at least 1, because
// otherwise no upstream would ever load a new version.
func maxLoading(n int, minServingShare float64) int {
	return max(1, int(float64(n)*(1-minServingShare)))
}

func (q *loadQuota) available(zone string) bool { return q.total > 0 && q.zone[zone] > 0 }

func (q *loadQuota) reserve(zone string) {
	q.total--
	q.zone[zone]--
}
