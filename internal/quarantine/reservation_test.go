package quarantine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against two owners that both hold an upstream, or an end of a reservation that frees
// that of another owner, whatever the order in which the daemons learn of them.
func TestOneOfTwoReservationsOfAnUpstreamHolds(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	a, b := Reservation{Upstream: "u", Owner: "a"}, Reservation{Upstream: "u", Owner: "b"}
	ofA, ofB := NewStateMachine(), NewStateMachine()
	g.Expect(ofA.Reserve(now, a)).To(BeTrue())
	g.Expect(ofB.Reserve(now, b)).To(BeTrue())
	g.Expect(ofA.MergeReservation(now, b)).To(BeFalse())
	g.Expect(ofB.MergeReservation(now, a)).To(BeTrue())
	for _, m := range []*StateMachine{ofA, ofB} {
		m.Free(b)
		g.Expect(m.Holds(now, a)).To(BeTrue())
		g.Expect(m.Holds(now, b)).To(BeFalse())
		g.Expect(m.Reserve(now, b)).To(BeFalse(), "reserved already")
		later := now.Add(reservationTTL + time.Second)
		g.Expect(m.Holds(later, a)).To(BeFalse())
		g.Expect(m.Reserve(later, b)).To(BeTrue())
	}
}
