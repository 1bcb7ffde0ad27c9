package control

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/routing"
	"github.com/apricotstream/apricotstream/internal/state"
)

// largeChange is a change to a configuration of n routes.
func largeChange(n int) Change {
	c := &routing.Configuration{Version: 7}
	for i := range n {
		c.Routes = append(c.Routes, routing.Route{Name: fmt.Sprint("r", i), Host: "h", Prefix: fmt.Sprintf("/p%d/", i)})
	}
	return newChange(7, state.Command{RoutingPut: &state.RoutingPut{Configuration: c}})
}

// The load of a configuration that grows by 1,400 routes: dozens of followers ask a replica
// for it at the same moment. Encoded anew for each of them, it takes longer than they wait,
// they ask again, and the replica never gets done.
func TestChangeIsEncodedOnceForAllFollowers(t *testing.T) {
	g := NewWithT(t)
	c := largeChange(1500)
	first, err := json.Marshal(SyncReply{Changes: []Change{c}})
	g.Expect(err).NotTo(HaveOccurred())
	c.Command.RoutingPut.Configuration.Routes[0].Name = "changed later"
	again, err := json.Marshal(SyncReply{Changes: []Change{c}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(again) == string(first)).To(BeTrue(), "the same bytes")

	var decoded SyncReply
	g.Expect(json.Unmarshal(first, &decoded)).To(Succeed())
	g.Expect(decoded.Changes[0].Version).To(Equal(uint64(7)))
	g.Expect(decoded.Changes[0].Command.RoutingPut.Configuration.Routes).To(HaveLen(1500))
	passedOn, err := json.Marshal(decoded)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(passedOn) == string(first)).To(BeTrue(), "a decoded change can be sent on")
}
