package systest

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// editUntilAccepted returns how long an edit at entry i took, resends included.
func (c *cluster) editUntilAccepted(i int, name string) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		if _, err := c.tryCLI(c.opArgs([]string{"account", "create", name}, []string{c.entry(i)})...); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// inForce returns how long until every given entry has the configuration of
// entry i.
func (c *cluster) inForce(i int, entries []int) time.Duration {
	start := time.Now()
	want, _ := c.status(i)
	for _, j := range entries {
		for s, err := c.status(j); err != nil || s.ConfigVersion < want.ConfigVersion; s, err = c.status(j) {
			if time.Since(start) > time.Minute {
				return time.Since(start)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	return time.Since(start)
}

func report(b *testing.B, name string, ds []time.Duration) {
	slices.Sort(ds)
	b.ReportMetric(float64(ds[len(ds)/2].Milliseconds()), name+"-p50-ms")
	b.ReportMetric(float64(ds[len(ds)-1].Milliseconds()), name+"-worst-ms")
}

// BenchmarkFailover kills the leader and edits at once: the time until the edit
// is accepted, and until it is active on the five entries left.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, "")
	var accepted, everywhere []time.Duration
	for n := range b.N {
		l := c.leader(4)
		c.kill(l)
		a := c.editUntilAccepted(4, fmt.Sprintf("failover-%d", n))
		left := slices.DeleteFunc([]int{1, 2, 3, 4, 5, 6}, func(i int) bool { return i == l })
		accepted = append(accepted, a)
		everywhere = append(everywhere, a+c.inForce(4, left))
		c.start(l)
		c.waitFresh(l)
	}
	report(b, "accepted", accepted)
	report(b, "everywhere", everywhere)
}

// BenchmarkInForce edits a healthy system: the time until the edit is active
// on all six entries.
func BenchmarkInForce(b *testing.B) {
	c := newCluster(b, "")
	var all []time.Duration
	for n := range b.N {
		a := c.editUntilAccepted(1+n%daemons, fmt.Sprintf("edit-%d", n))
		all = append(all, a+c.inForce(1+n%daemons, []int{1, 2, 3, 4, 5, 6}))
	}
	report(b, "everywhere", all)
}
