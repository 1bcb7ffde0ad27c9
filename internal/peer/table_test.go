package peer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against connections of daemons that are closed before those that never carried a message.
func TestConnectionsWithoutAMessageAreClosedFirst(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	x := newTable[string](6)
	for i, c := range []string{"idle", "in use", "in a frame", "relayed", "silent", "new"} {
		x.open(at(i), c)
	}
	x.complete(at(10), "idle")
	x.complete(at(11), "in a frame")
	x.resize("in a frame", 100)
	g.Expect(x.relay(at(12), "relayed")).To(BeTrue())
	x.complete(at(60), "in use")
	var order []string
	for i, c := range []string{"a", "b", "c", "d"} {
		victim, tooMany := x.open(at(100+i), c)
		g.Expect(tooMany).To(BeTrue())
		order = append(order, victim)
		if victim != c {
			x.ended(victim)
			x.complete(at(100+i), c)
		}
	}
	g.Expect(order).To(Equal([]string{"silent", "new", "idle", "d"}), "no other has been idle for a minute")
}

// Guards against memory that is taken from frames of daemons.
func TestOnlyFirstMessagesGiveMemoryBack(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x := newTable[string](10)
	for i, c := range []string{"daemon", "empty", "first", "second"} {
		x.open(now.Add(time.Duration(i)*time.Second), c)
	}
	x.complete(now, "daemon")
	for _, c := range []string{"daemon", "first", "second"} {
		x.resize(c, 100)
	}
	victim, found := x.holder("second")
	g.Expect(victim).To(Equal("first"))
	g.Expect(found).To(BeTrue())
	x.close("first")
	_, found = x.holder("second")
	g.Expect(found).To(BeFalse(), "neither the daemon nor the one that asks is a victim")
	g.Expect(x.freeing).To(BeEquivalentTo(100))
	g.Expect(x.ended("first")).To(BeEquivalentTo(100))
	g.Expect(x.freeing).To(BeZero())
}

// Guards against relayed connections that leave no room for calls and notices.
func TestRelayedConnectionsLeaveRoomForOthers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x := newTable[int](6)
	admitted := 0
	for c := range 6 {
		x.open(now, c)
		if x.relay(now, c) {
			admitted++
		}
	}
	g.Expect(admitted).To(Equal(3))
	x.ended(0)
	g.Expect(x.relay(now, 5)).To(BeTrue())
}

// Guards against a single large first message that is kept out, and against many that take the memory.
func TestOneFirstMessageMayBeLargeButNotMany(t *testing.T) {
	g := NewWithT(t)
	x := newTable[int](6)
	for c := range 3 {
		x.open(time.Unix(1000, 0), c)
	}
	g.Expect(x.crowded(0, 1000, 100)).To(BeFalse())
	x.resize(0, 60)
	g.Expect(x.crowded(0, 1000, 100)).To(BeFalse())
	g.Expect(x.crowded(1, 40, 100)).To(BeFalse())
	g.Expect(x.crowded(1, 41, 100)).To(BeTrue())
	x.complete(time.Unix(1000, 0), 0)
	g.Expect(x.crowded(1, 41, 100)).To(BeFalse(), "the others are complete")
	g.Expect(x.crowded(0, 41, 100)).To(BeFalse())
}

// Guards against memory that stays taken, and against more connections than there may be, whatever
// connections do.
func TestTableKeepsToItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 5
		x, held := newTable[int](most), map[int]int64{}
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "s")) * time.Second)
			c := rapid.IntRange(1, 9).Draw(t, "connection")
			switch _, open := x.connections[c]; rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				if !open {
					x.open(now, c)
				}
			case 1:
				if open {
					held[c] = rapid.Int64Range(0, 9).Draw(t, "bytes")
					x.resize(c, held[c])
				}
			case 2:
				x.complete(now, c)
			case 3:
				x.relay(now, c)
			case 4:
				if got := x.ended(c); got != held[c] {
					t.Fatalf("%d bytes given back instead of %d", got, held[c])
				}
				delete(held, c)
			case 5:
				x.close(c)
			}
			if x.len() > most || x.relayed > most/2 {
				t.Fatalf("%d connections, %d relayed", x.len(), x.relayed)
			}
		}
		for c := range x.connections {
			x.ended(c)
		}
		if x.len() != 0 || x.relayed != 0 || x.closing != 0 || x.freeing != 0 || x.first != 0 {
			t.Fatalf("the table is not empty: %+v", x)
		}
	})
}

// Guards against frames of calls that share memory and together exceed it, wait for each other, are passed
// by others for ever, or leave memory reserved.
func TestReservationsAreGivenInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		const limit = 100
		x := newTable[int](100)
		sizes := rapid.SliceOfN(rapid.Int64Range(1, 150), 1, 20).Draw(rt, "sizes")
		var waiting, running []int
		for c := range sizes {
			x.open(time.Unix(int64(c), 0), c)
			x.complete(time.Unix(int64(c), 0), c)
			if !x.reserve(c, sizes[c], limit) {
				waiting = append(waiting, c)
				continue
			}
			g.Expect(waiting).To(BeEmpty(), "%d passes others", c)
			running = append(running, c)
		}
		for len(running) > 0 {
			var sum int64
			for _, c := range running {
				sum += sizes[c]
			}
			g.Expect(x.reserved).To(Equal(sum))
			g.Expect(sum <= limit || len(running) == 1).To(BeTrue(), "%d bytes for %d frames", sum, len(running))
			end := rapid.IntRange(0, len(running)-1).Draw(rt, "end")
			c := running[end]
			running = append(running[:end:end], running[end+1:]...)
			switch rapid.IntRange(0, 2).Draw(rt, "way") {
			case 0:
				x.ended(c)
			case 1:
				x.unreserve(c)
			default:
				_, reserved := x.detach(c)
				x.ended(c)
				x.reserved -= reserved
			}
			var left []int
			for _, c := range rapid.Permutation(waiting).Draw(rt, "asking") {
				if x.reserve(c, sizes[c], limit) {
					running = append(running, c)
				} else {
					left = append(left, c)
				}
			}
			for _, c := range running {
				for _, other := range left {
					g.Expect(c).To(BeNumerically("<", other), "one passes another")
				}
			}
			waiting = left
		}
		g.Expect(waiting).To(BeEmpty())
		g.Expect(x.reserved).To(BeZero())
	})
}
