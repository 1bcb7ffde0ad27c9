package node

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/member"
)

func storeDaemons(zones, perZone int) []member.Daemon {
	var out []member.Daemon
	for z := range zones {
		for i := range perZone {
			id := fmt.Sprintf("s%d-%d", z, i)
			out = append(out, member.Daemon{ID: id, Zone: fmt.Sprint("z", z), PeerAddress: id, Replica: id})
		}
	}
	return append(out, member.Daemon{ID: "entry", Zone: "z0", PeerAddress: "entry"})
}

// Members of the control group write the log; where there are standbys these carry the runs,
// and where there are none the members do.
func TestStandbysCarryRunsBeforeMembers(t *testing.T) {
	g := NewWithT(t)
	all := func(member.Daemon) bool { return true }
	usable := func(d member.Daemon) bool { return d.Replica != "" }
	byZone, carriers := carriersOf(storeDaemons(3, 3), usable, func(d member.Daemon) bool { return d.ID == "s0-0" || d.Zone == "z1" })
	g.Expect(byZone["z0"]).To(ConsistOf("s0-1", "s0-2"))
	g.Expect(byZone["z1"]).To(HaveLen(3))
	g.Expect(carriers).To(HaveLen(8))
	byZone, carriers = carriersOf(nil, usable, all)
	g.Expect(byZone).To(BeEmpty())
	g.Expect(carriers).To(BeEmpty())
}

// The load of 77 engines on 40 carriers: when one carrier goes, the engines of the others keep
// theirs, and with it their connections.
func TestEnginesKeepTheirCarrier(t *testing.T) {
	g := NewWithT(t)
	var addresses []string
	for i := range 40 {
		addresses = append(addresses, fmt.Sprint("10.0.0.", i))
	}
	count := map[string]int{}
	moved := 0
	without := slices.Delete(slices.Clone(addresses), 7, 8)
	for e := range 77 {
		engine := fmt.Sprint("engine-", e)
		before := highestWeight(engine, addresses)
		count[before]++
		if before != highestWeight(engine, without) {
			moved++
			g.Expect(before).To(Equal(addresses[7]))
		}
	}
	g.Expect(moved).To(Equal(count[addresses[7]]))
	for a, n := range count {
		g.Expect(n).To(BeNumerically("<=", 8), a)
	}
	g.Expect(highestWeight("x", nil)).To(BeEmpty())
}

// The load of a zone's 51 entries that all follow a member of the control group: each member
// must have its share of them, and with one gone the others share its part.
func TestFollowersOfAZoneAreSpreadOverItsMembers(t *testing.T) {
	g := NewWithT(t)
	members := storeDaemons(1, 3)[:3]
	first, second := map[string]int{}, map[string]int{}
	for i := range 51 {
		order := slices.Clone(members)
		sortByHash(order, fmt.Sprint("front-", i))
		first[order[0].ID]++
		if order[0].ID == members[0].ID {
			second[order[1].ID]++
		}
	}
	for _, m := range members {
		g.Expect(first[m.ID]).To(BeNumerically(">=", 8), m.ID)
	}
	g.Expect(second).To(HaveLen(2))
}

// Guards against a carrier outside the home regions, or one of an older build, that gets the body of
// an item.
func TestCarriersStayInHomeRegions(t *testing.T) {
	g := NewWithT(t)
	regions := map[string]string{"a": "r", "b": "far"} // c is of an older build
	g.Expect(withinHomes([]string{"a", "b", "c"}, regions, homes.Of([]string{"r"}))).To(Equal([]string{"a"}))
	g.Expect(withinHomes([]string{"a", "b", "c"}, regions, nil)).To(HaveLen(3))
}
