package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a path that has failed being tried by each request, and being probed by all of
// them at once.
func TestFailedPathIsRelayedAndProbedRarely(t *testing.T) {
	g := NewWithT(t)
	p := NewPaths()
	g.Expect(p.Failed(at(0), "u")).To(BeTrue())
	probes := 0
	for ms := range 10_000 {
		relayed, probe := p.Relayed(at(ms), "u")
		g.Expect(relayed).To(BeTrue())
		if probe {
			probes++
			g.Expect(p.Failed(at(ms), "u")).To(BeFalse(), "known already")
		}
	}
	g.Expect(probes).To(BeNumerically("<=", 8))
	g.Expect(probes).To(BeNumerically(">=", 4))
}

// Guards against a link that comes and goes each second being trusted at once each time: the time
// for which probes must succeed grows.
func TestPathThatComesAndGoesIsTrustedLater(t *testing.T) {
	g := NewWithT(t)
	p := NewPaths()
	now := 0
	returnsAfter := func() int {
		p.Failed(at(now), "u")
		for ms := now; ; ms += 50 {
			if p.Connected(at(ms), "u") {
				defer func() { now = ms + 100 }()
				return ms - now
			}
		}
	}
	g.Expect(returnsAfter()).To(BeNumerically("~", 500, 50))
	g.Expect(returnsAfter()).To(BeNumerically("~", 1000, 50))
	g.Expect(returnsAfter()).To(BeNumerically("~", 2000, 50))
	g.Expect(returnsAfter()).To(BeNumerically("~", 4000, 50))
	g.Expect(returnsAfter()).To(BeNumerically("~", 4000, 50))
	now += int(flapWindow.Milliseconds())
	g.Expect(returnsAfter()).To(BeNumerically("~", 500, 50), "sound for a while")
}

// Guards against each path waiting for a failure of its own when the link of the daemon has failed,
// and against a crashed upstream bringing the others into doubt.
func TestLostLinkBringsAllPathsIntoDoubt(t *testing.T) {
	g := NewWithT(t)
	p := NewPaths()
	for _, a := range []string{"u", "v", "w"} {
		p.Connected(at(0), a)
	}
	relayed := func(ms int, address string) bool { r, _ := p.Relayed(at(ms), address); return r }

	p.Failed(at(100), "u")
	p.Down(at(150), "u") // another daemon does not reach it either
	g.Expect(relayed(200, "u")).To(BeFalse(), "ejected by those who pick upstreams, if it stays down")
	g.Expect(relayed(200, "v")).To(BeFalse())

	p.Failed(at(300), "u")
	g.Expect(p.Relaying(at(310), "u", at(305))).To(BeTrue())
	g.Expect(p.Relaying(at(320), "u", at(315))).To(BeFalse(), "known")
	p.Connected(at(330), "w") // heard since
	g.Expect(relayed(340, "v")).To(BeTrue())
	g.Expect(relayed(340, "w")).To(BeFalse())
	p.Connected(at(400), "v")
	g.Expect(relayed(410, "v")).To(BeFalse())
	g.Expect(relayed(420, "x")).To(BeTrue(), "never heard")
	g.Expect(relayed(420+int(doubtTime.Milliseconds()), "x")).To(BeFalse(), "doubted no more")
}

// Guards against a daemon helping others while its own links are lost, and against one crashed
// upstream, or several while others are heard, being taken for that.
func TestSeveredDaemonNeedsSeveralUnreachedAndNoneHeard(t *testing.T) {
	g := NewWithT(t)
	p := NewPaths()
	p.Connected(at(0), "w")
	p.Failed(at(100), "u")
	p.Failed(at(110), "u")
	g.Expect(p.Unreached()).To(BeNil())
	p.Connected(at(120), "w")
	p.Failed(at(130), "v")
	g.Expect(p.Unreached()).To(BeNil(), "one was heard between the failures")
	p.Failed(at(140), "u")
	g.Expect(p.Unreached()).To(ConsistOf("u", "v"))
	p.hear(p.get(at(150), "w"), at(150))
	g.Expect(p.Unreached()).To(BeNil())
}

// Guards against unbounded memory when upstreams come and go at new addresses.
func TestPathsThatAreNotUsedAreForgotten(t *testing.T) {
	g := NewWithT(t)
	p := NewPaths()
	for i := range 3600 {
		p.Failed(start.Add(time.Duration(i)*time.Second), fmt.Sprint("u", i))
	}
	g.Expect(len(p.byAddress)).To(BeNumerically("<=", 2*int(pathRetention.Seconds())+1))
	g.Expect(len(p.unreached)).To(BeNumerically("<=", 2*int(pathRetention.Seconds())+1))
}

// Guards against a herd on one helper, and against both first helpers being in a zone that may have
// lost its links as a whole: 148 of 246 daemons choose among the others.
func TestHelpersAreSpread(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	var all []Helper
	for i := range 246 {
		all = append(all, Helper{Address: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%5), Severed: i < 148})
	}
	for i := range 45 {
		all = append(all, Helper{Address: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%5), Replica: true})
	}
	first := map[string]int{}
	const connections = 148 * 4
	for range connections {
		chosen := chooseHelpers(rnd, all, func(string) bool { return false })
		g.Expect(chosen).To(HaveLen(maxHelpers))
		for _, h := range chosen {
			g.Expect(h.Severed).To(BeFalse())
		}
		g.Expect(chosen[0].Zone).NotTo(Equal(chosen[1].Zone))
		g.Expect(chosen[0].Replica || chosen[1].Replica).To(BeFalse())
		g.Expect(chosen[2].Replica).To(BeTrue())
		first[chosen[0].Address]++
	}
	for address, n := range first {
		g.Expect(n).To(BeNumerically("<=", 20), address)
	}

	few := []Helper{{Address: "e1", Zone: "z1"}, {Address: "r1", Zone: "z1", Replica: true}, {Address: "r2", Zone: "z2", Replica: true}}
	first = map[string]int{}
	for range 300 {
		first[chooseHelpers(rnd, few, func(string) bool { return false })[0].Address]++
	}
	for _, h := range few {
		g.Expect(first[h.Address]).To(BeNumerically(">", 60), "the only entry that is left does not get all")
	}
	g.Expect(chooseHelpers(rnd, few, func(a string) bool { return a == "e1" })).To(HaveLen(2))
	g.Expect(chooseHelpers(rnd, nil, nil)).To(BeEmpty())
}
