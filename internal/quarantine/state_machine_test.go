package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/testkit"
)

// Daemons that receive each other's notices late, more than once and in any order must
// have the same record once all have arrived. An older notice must not undo a release.
func TestMergeOfNoticesConvergesInAnyOrder(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		now := time.Unix(1000, 0)
		ms := []*StateMachine{NewStateMachine(), NewStateMachine(), NewStateMachine()}
		var notices []Record
		for i, op := range rapid.SliceOfN(rapid.IntRange(0, 11), 1, 30).Draw(rt, "ops") {
			now = now.Add(time.Second)
			m := ms[op%3]
			switch {
			case op < 3:
				c := LateCrash{Upstream: fmt.Sprint("u", op), Zone: fmt.Sprint("z", i%2), At: now}
				notices = append(notices, m.RecordLateCrash(now, "fp", c))
			case op < 6:
				notices = append(notices, m.RecordCrash(now, "fp", fmt.Sprint("u", op)))
			case op < 9:
				if r, ok := m.Clear(now, "fp"); ok {
					notices = append(notices, r)
				}
			case len(notices) > 0:
				m.Merge(now, notices[i%len(notices)])
			}
		}
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "order"), 1))
		for _, m := range ms {
			for _, i := range rnd.Perm(len(notices)) {
				m.Merge(now, notices[i])
				m.Merge(now, notices[rnd.IntN(len(notices))])
			}
		}
		for _, m := range ms[1:] {
			g.Expect(m.Record(now, "fp").equal(ms[0].Record(now, "fp"))).To(BeTrue())
		}
	})
}

func TestOneCrashMakesSuspectAndTwoQuarantine(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	m := NewStateMachine()
	m.RecordCrash(now, "fp", "u1#1")
	m.RecordCrash(now, "fp", "u1#1") // the same crash, recorded twice
	g.Expect(m.Record(now, "fp").Suspect()).To(BeTrue())
	g.Expect(m.Record(now, "fp").Blocked()).To(BeFalse())
	m.RecordCrash(now, "fp", "u1#2") // its next incarnation
	g.Expect(m.Record(now, "fp").Blocked()).To(BeTrue())
	late := m.Record(now, "fp")
	_, ok := m.Clear(now, "fp")
	g.Expect(ok).To(BeTrue())
	g.Expect(m.Merge(now, late)).To(BeFalse())
	g.Expect(m.Record(now, "fp").Blocked()).To(BeFalse())

	m.RecordCrash(now, "other", "u1#1")
	g.Expect(m.Record(now.Add(suspicionTTL+time.Second), "other").Suspect()).To(BeFalse())
	g.Expect(m.List(now.Add(2 * quarantineTTL))).To(BeEmpty())

	g.Expect(m.Reserve(now, Reservation{Upstream: "u1", Owner: "b"})).To(BeTrue())
	g.Expect(m.Reserved(now)).To(Equal([]string{"u1"}))
	g.Expect(m.Reserved(now.Add(reservationTTL + time.Second))).To(BeEmpty())
	for i := range maxRecords + 5 {
		m.RecordCrash(now.Add(time.Duration(i)), fmt.Sprint("fp", i), "u1#1")
	}
	g.Expect(len(m.records)).To(Equal(maxRecords))
}
