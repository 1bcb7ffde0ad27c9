package systest

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// wipeData deletes the data folder of a stopped daemon.
func (c *cluster) wipeData(i int) {
	c.g.Expect(os.RemoveAll(c.data(i))).To(Succeed())
}

// joinCluster runs the join command with the cluster id that init printed. It gives daemon i
// a new identity and returns it.
func (c *cluster) joinCluster(i int) string {
	c.t.Helper()
	out := c.runCLI("join", "--config", c.config(i), "--cluster", c.id)
	id, _, _ := strings.Cut(strings.TrimPrefix(out, "joined as "), ";")
	return id
}

// replaceReplica replaces the member that lost its disk: daemon i joins under a new
// identity, first as a learner and then as a voter, and the old member is removed.
func (c *cluster) replaceReplica(i int) {
	c.t.Helper()
	id := c.joinCluster(i)
	c.start(i)
	c.runOperator("member", "add", "--id", id, "--address", c.peer(i), "--zone", c.zone(i))
	c.g.Eventually(func() error {
		_, err := c.tryCLI(c.operatorArgs([]string{"member", "add", "--id", id, "--address", c.peer(i), "--zone", c.zone(i), "--voter"}, c.entries())...)
		return err
	}, 20*time.Second, 50*time.Millisecond).Should(Succeed())
	c.runOperator("member", "remove", "--id", fmt.Sprintf("d%d", i))
}

// A daemon that lost its disk must not start under its old identity. If it is replaced by a
// new member and then a second daemon loses its disk, no accepted change may be missing.
func TestSecondDiskLossAfterMemberReplacementKeepsData(t *testing.T) {
	c := newCluster(t, "")
	for i := range 30 {
		c.runOperator("account", "create", fmt.Sprintf("first-%d", i))
	}
	first := c.leader(4)%replicas + 1
	c.kill(first)
	c.wipeData(first)
	for _, command := range [][]string{{"serve", "--config", c.config(first)}, c.initArgs(first)} {
		_, err := c.tryCLI(command...)
		c.g.Expect(err).To(MatchError(ContainSubstring("apricotstream join")))
	}
	c.replaceReplica(first)
	c.runOperator("account", "create", "between")
	second := c.leader(4)
	if second == first {
		second = first%replicas + 1
	}
	c.kill(second)
	c.wipeData(second)
	c.g.Eventually(func() error {
		_, err := c.tryCLI(c.operatorArgs([]string{"account", "create", "after"}, []string{c.entry(4), c.entry(5)})...)
		return err
	}, 15*time.Second, 50*time.Millisecond).Should(Succeed())
	c.replaceReplica(second)
	c.waitFresh(1, 2, 3, 4, 5, 6)
	for i := 1; i <= daemons; i++ {
		list := c.runCLI(c.operatorArgs([]string{"account", "list"}, []string{c.entry(i)})...)
		c.g.Expect(list).To(And(ContainSubstring("between"), ContainSubstring("after")))
		for k := range 30 {
			c.g.Expect(list).To(ContainSubstring(fmt.Sprintf("first-%d", k)))
		}
	}
}
