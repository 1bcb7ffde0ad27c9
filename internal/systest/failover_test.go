package systest

import (
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The leader is isolated silently until its freshness lease has expired. The other daemons
// must elect a new leader and accept changes. Afterwards the old leader must rejoin as a
// follower without causing an election.
func TestIsolatedLeaderRejoinsWithoutElection(t *testing.T) {
	c := newCluster(t, "")
	old := c.leader(4)
	c.isolate(old)
	c.g.Eventually(func() int { return c.leader(4) }, 10*time.Second, 50*time.Millisecond).ShouldNot(BeElementOf(0, old))
	c.runOperator("account", "create", "made-while-cut")
	s, err := c.status(4)
	c.g.Expect(err).NotTo(HaveOccurred())
	// The isolated daemon cannot check the operator's key after its freshness lease has
	// expired.
	c.g.Eventually(func() error { _, err := c.status(old); return err }, 10*time.Second, 50*time.Millisecond).Should(MatchError(ContainSubstring("not-fresh")))
	c.heal(old)
	c.waitFresh(old)
	after, err := c.status(4)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(after.Group.Term).To(Equal(s.Group.Term))
	c.g.Expect(after.Group.Leader).To(Equal(s.Group.Leader))
}

// A frozen leader must be replaced. When it runs again it must become a follower and shut
// down gracefully.
func TestFrozenLeaderIsReplaced(t *testing.T) {
	c := newCluster(t, "")
	old := c.leader(4)
	c.freeze(old)
	replacement := 0
	c.g.Eventually(func() int {
		replacement = c.leader(4)
		return replacement
	}, 10*time.Second, 50*time.Millisecond).ShouldNot(BeElementOf(0, old))
	c.unfreeze(old)
	c.waitFresh(old)
	// A daemon that was frozen for less than its freshness lease is fresh at once, before it has
	// read what arrived meanwhile.
	c.g.Eventually(func() int { return c.leader(old) }, 10*time.Second, 5*time.Millisecond).Should(Equal(replacement))
	c.terminate(old)
	c.waitFresh(4)
}

// freshnessLease is the default freshness lease of an entry.
const freshnessLease = 2500 * time.Millisecond

// An isolated entry must reject keyed routes when its freshness lease has expired. An entry
// that restarts while it is isolated must never serve a keyed route.
func TestIsolatedEntryRejectsKeyedRoutesAfterFreshnessLease(t *testing.T) {
	c := newCluster(t, "")
	rejects := func(g Gomega) {
		_, err := c.status(5)
		g.Expect(err).To(MatchError(ContainSubstring("not-fresh")))
	}
	c.isolate(5)
	time.Sleep(freshnessLease + 200*time.Millisecond)
	c.g.Consistently(rejects, time.Second, 20*time.Millisecond).Should(Succeed())
	c.kill(5)
	c.start(5)
	time.Sleep(time.Second) // until it listens
	c.g.Consistently(rejects, 2*freshnessLease, 20*time.Millisecond).Should(Succeed())
	c.heal(5)
	c.waitFresh(5)
}

// An entry that has not received a change must not call itself fresh for longer than the
// freshness lease after the change was confirmed. Within the lease it may. Guards against a
// confirmed change that is not in force in time on an entry that serves keyed routes.
func TestEntryWithoutNewestChangeIsFreshOnlyWithinFreshnessLease(t *testing.T) {
	c := newCluster(t, "")
	freshWithoutChange := 0
	for round := range 3 {
		c.waitFresh(5)
		before, err := c.status(5)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.isolate(5)
		c.runOperator("account", "create", fmt.Sprint("made-while-cut-", round))
		confirmed := time.Now()
		c.g.Eventually(func() error {
			asked := time.Now()
			s, err := c.status(5)
			if err == nil && s.Fresh && s.ConfigVersion == before.ConfigVersion {
				freshWithoutChange++
				c.g.Expect(asked.Sub(confirmed)).To(BeNumerically("<", freshnessLease))
			}
			return err
		}, 10*time.Second, 20*time.Millisecond).Should(MatchError(ContainSubstring("not-fresh")))
		c.heal(5)
		c.waitConfigVersion(before.ConfigVersion+1, 5)
	}
	c.g.Expect(freshWithoutChange).To(BeNumerically(">", 0))
}

// All daemons are killed after more than a thousand changes. Each replica must restart from a
// snapshot and a short log, and no entry may show an older configuration than before.
func TestRestartOfAllDaemonsKeepsConfiguration(t *testing.T) {
	c := newCluster(t, "")
	versions := map[int]uint64{} // highest configuration version by entry
	checkVersions := func() {
		for i := 1; i <= daemons; i++ {
			if s, err := c.status(i); err == nil {
				c.g.Expect(s.ConfigVersion).To(BeNumerically(">=", versions[i]))
				versions[i] = s.ConfigVersion
			}
		}
	}
	var wg sync.WaitGroup
	for k := range 8 {
		wg.Go(func() {
			for n := range 132 {
				c.runOperator("account", "create", fmt.Sprintf("a%d-%d", k, n))
			}
		})
	}
	wg.Wait()
	lastEdit := time.Now()
	c.waitConfigVersion(8*132, 1, 2, 3, 4, 5, 6)
	t.Logf("all six daemons had the last edit %v after it", time.Since(lastEdit))
	checkVersions()
	for i := 1; i <= daemons; i++ {
		c.g.Expect(versions[i]).To(BeNumerically(">=", 8*132))
		c.kill(i)
	}
	start := time.Now()
	for i := 1; i <= daemons; i++ {
		c.start(i)
	}
	c.g.Eventually(func() bool {
		checkVersions()
		for i := 1; i <= daemons; i++ {
			if s, err := c.status(i); err != nil || !s.Fresh {
				return false
			}
		}
		return true
	}, 20*time.Second, 10*time.Millisecond).Should(BeTrue())
	t.Logf("all six daemons were fresh %v after their restart", time.Since(start))
	for i := 1; i <= replicas; i++ {
		logs, err := filepath.Glob(filepath.Join(c.data(i), "log-*"))
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(logs).To(HaveLen(1))
		c.g.Expect(logs[0]).NotTo(ContainSubstring("log-00000000000000000001"), "no snapshot was taken")
	}
}
