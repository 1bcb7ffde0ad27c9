package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// zoneFailureWindow is the time within which upstreams of one availability zone fail together.
const zoneFailureWindow = time.Second

// LateCrash is a crash of an upstream that had run the request for long, or whose daemon had ended
// the request just before.
type LateCrash struct {
	Upstream string    `json:"upstream"` // incarnation
	Zone     string    `json:"zone"`     // availability zone of the upstream
	At       time.Time `json:"at"`       // wall clock time at which the request was cut off
}

func (c LateCrash) equal(o LateCrash) bool {
	return c.Upstream == o.Upstream && c.Zone == o.Zone && c.At.Equal(o.At)
}

// mergeLate returns the union of a and b, sorted by upstream. Of two entries of one upstream the
// earlier one is kept.
func mergeLate(a, b []LateCrash) []LateCrash {
	out := slices.Concat(a, b)
	slices.SortFunc(out, func(x, y LateCrash) int {
		return cmp.Or(cmp.Compare(x.Upstream, y.Upstream), x.At.Compare(y.At), cmp.Compare(x.Zone, y.Zone))
	})
	return slices.CompactFunc(out, func(x, y LateCrash) bool { return x.Upstream == y.Upstream })
}

// countLate returns the number of crashes in late, without those of the upstreams in early. The
// same sound request of many callers runs on many upstreams. When those of an availability zone
// fail together, that says as little as the crash of one, so the largest such group counts once.
func countLate(late []LateCrash, early []string) int {
	late = slices.DeleteFunc(slices.Clone(late), func(c LateCrash) bool { return slices.Contains(early, c.Upstream) })
	slices.SortFunc(late, func(a, b LateCrash) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), a.At.Compare(b.At)) })
	largest := 0
	for first := 0; first < len(late); {
		next := first + 1
		for next < len(late) && late[next].Zone == late[first].Zone && late[next].At.Sub(late[first].At) <= zoneFailureWindow {
			next++
		}
		largest = max(largest, next-first)
		first = next
	}
	return len(late) - max(largest-1, 0)
}
