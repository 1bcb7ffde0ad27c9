package weights

import "github.com/apricotstream/apricotstream/internal/upstream"

// room counts how many more upstreams may load while enough go on serving.
type room struct {
	total int
	zone  map[string]int
}

func newRoom(live []upstream.Announcement, loads map[string]load, keep float64) room {
	size, busy := map[string]int{}, map[string]int{}
	all := 0
	for _, u := range live {
		size[u.Zone]++
		if _, ok := loads[u.ID]; ok {
			busy[u.Zone]++
			all++
		}
	}
	r := room{total: mayLoad(len(live), keep) - all, zone: map[string]int{}}
	for z, n := range size {
		r.zone[z] = mayLoad(n, keep) - busy[z]
	}
	return r
}

// mayLoad is how many of n may load at once; one always may, or nothing would
// ever change.
func mayLoad(n int, keep float64) int {
	return max(1, int(float64(n)*(1-keep)))
}

func (r *room) left(zone string) bool { return r.total > 0 && r.zone[zone] > 0 }

func (r *room) take(zone string) {
	r.total--
	r.zone[zone]--
}
