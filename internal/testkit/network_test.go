package testkit

import (
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a daemon that can't listen because another test or an outgoing connection
// already uses its address and port.
func TestReservedNetworkIsNotSharedWithOtherTestsOrOutgoingConnections(t *testing.T) {
	g := NewWithT(t)
	taken := map[string]bool{}
	for range 3 {
		prefix, release, err := ReserveNetwork()
		g.Expect(err).NotTo(HaveOccurred())
		defer release()
		g.Expect(taken[prefix]).To(BeFalse(), prefix)
		taken[prefix] = true
	}
	b, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	g.Expect(err).NotTo(HaveOccurred())
	var firstEphemeral, lastEphemeral int
	_, err = fmt.Sscan(string(b), &firstEphemeral, &lastEphemeral)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lockPort).To(BeNumerically("<", firstEphemeral))
}
