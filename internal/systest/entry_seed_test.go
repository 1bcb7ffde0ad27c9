package systest

import (
	"os"
	"regexp"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a daemon that never becomes fresh because its settings name no replica that still
// exists, although the gossip lists all replicas.
func TestDaemonThatKnowsOnlyAnEntryFindsTheReplicas(t *testing.T) {
	c := newCluster(t, "")
	const restarted, named = 6, 5
	c.kill(restarted)
	settings, err := os.ReadFile(c.config(restarted))
	c.g.Expect(err).NotTo(HaveOccurred())
	peers := regexp.MustCompile(`(?m)^addresses = .*$`)
	c.g.Expect(peers.Match(settings)).To(BeTrue())
	settings = peers.ReplaceAll(settings, []byte("addresses = "+c.peer(named)))
	c.g.Expect(os.WriteFile(c.config(restarted), settings, 0o600)).To(Succeed())
	c.start(restarted)
	c.waitFresh(restarted)
}
