package systest

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// editUntilAccepted creates a client account at entry i. It resends the request until the
// entry accepts it or a minute has passed, and returns the time that it took.
func (c *cluster) editUntilAccepted(i int, name string) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		if _, err := c.tryCLI(c.operatorArgs([]string{"account", "create", name}, []string{c.entry(i)})...); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// activationDelay waits until every given entry has the configuration of entry i or a minute
// has passed. It returns the time that it took.
func (c *cluster) activationDelay(i int, entries []int) time.Duration {
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

// reportDurations reports the median and the maximum of durations.
func reportDurations(b *testing.B, name string, durations []time.Duration) {
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Milliseconds()), name+"-p50-ms")
	b.ReportMetric(float64(durations[len(durations)-1].Milliseconds()), name+"-worst-ms")
}

// BenchmarkFailover kills the leader and edits the configuration immediately. It measures the
// time until the edit is accepted, and until it is active on the five remaining entries.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, "")
	var accepted, everywhere []time.Duration
	for n := range b.N {
		killed := c.leader(4)
		c.kill(killed)
		a := c.editUntilAccepted(4, fmt.Sprintf("failover-%d", n))
		remaining := slices.DeleteFunc([]int{1, 2, 3, 4, 5, 6}, func(i int) bool { return i == killed })
		accepted = append(accepted, a)
		everywhere = append(everywhere, a+c.activationDelay(4, remaining))
		c.start(killed)
		c.waitFresh(killed)
	}
	reportDurations(b, "accepted", accepted)
	reportDurations(b, "everywhere", everywhere)
}

// BenchmarkActivation edits the configuration of a healthy system. It measures the time until
// the edit is active on all six entries.
func BenchmarkActivation(b *testing.B) {
	c := newCluster(b, "")
	var all []time.Duration
	for n := range b.N {
		a := c.editUntilAccepted(1+n%daemons, fmt.Sprintf("edit-%d", n))
		all = append(all, a+c.activationDelay(1+n%daemons, []int{1, 2, 3, 4, 5, 6}))
	}
	reportDurations(b, "everywhere", all)
}
