package control

import (
	"encoding/json"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/state"
)

// largeConfig is a configuration with n routes.
func largeConfig(n int) *state.Config {
	c := state.NewConfig()
	c.Version, c.Routing = 1, largeChange(n).Command.RoutingPut.Configuration
	return c
}

// Followers must read the same reply in whichever form it was written.
func TestSyncReplyEncodesLikeJSON(t *testing.T) {
	config := largeConfig(3)
	var encoding configEncoding
	for name, reply := range map[string]SyncReply{
		"nothing new":   {Cluster: "c", Held: time.Second, Age: 3 * time.Millisecond},
		"no cluster":    {},
		"one change":    {Cluster: "c", Changes: []Change{largeChange(2)}},
		"two changes":   {Cluster: "c\"", Changes: []Change{largeChange(2), largeChange(1)}, Members: consensus.Membership{"a": {ID: "a", Address: "h:1", Voter: true}}},
		"configuration": {Cluster: "c", Config: config, configJSON: encoding.of(config), Unproven: true},
		"decoded":       {Cluster: "c", Config: config, Held: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			plain, err := json.Marshal(reply)
			g.Expect(err).NotTo(HaveOccurred())
			encoded, err := reply.EncodeJSON()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(encoded).To(MatchJSON(plain))
		})
	}
}

// The load of a configuration of 1,500 routes that dozens of followers of one replica need
// as a whole at the same moment. Encoded for each of them, it reached entries late.
func TestLargeConfigurationIsEncodedOnceForAllFollowers(t *testing.T) {
	const followers = 30
	g := NewWithT(t)
	config := largeConfig(1500)
	var encoding configEncoding
	reply := SyncReply{Cluster: "c", Config: config, configJSON: encoding.of(config)}
	first, err := reply.EncodeJSON()
	g.Expect(err).NotTo(HaveOccurred())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range followers {
		again := SyncReply{Cluster: "c", Config: config, configJSON: encoding.of(config)}
		b, err := again.EncodeJSON()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b).To(HaveLen(len(first)))
	}
	runtime.ReadMemStats(&after)
	// One copy for each follower, and as much again for everything else.
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<=", 2*followers*len(first)))
	g.Expect(encoding.of(largeConfig(1))()).NotTo(HaveLen(len(first)), "another configuration")
}
