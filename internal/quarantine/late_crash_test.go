package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a request that crashes upstreams late and is never held back, and against a sound
// one that is held back because the upstreams of a zone failed together.
func TestThreeCrashesQuarantineHoweverLate(t *testing.T) {
	at := func(zone string, after time.Duration) LateCrash {
		return LateCrash{Zone: zone, At: time.Unix(1000, 0).Add(after)}
	}
	const moment = zoneFailureWindow / 2
	for _, c := range []struct {
		name    string
		early   int
		late    []LateCrash
		blocked bool
	}{
		{name: "two late ones", late: []LateCrash{at("a", 0), at("b", 0)}},
		{name: "three late ones at different times", late: []LateCrash{at("a", 0), at("a", time.Minute), at("a", 2*time.Minute)}, blocked: true},
		{name: "three late ones in different zones", late: []LateCrash{at("a", 0), at("b", 0), at("c", 0)}, blocked: true},
		{name: "a whole zone", late: []LateCrash{at("a", 0), at("a", moment), at("a", 2*moment), at("a", 0)}},
		{name: "a whole zone and another upstream", late: []LateCrash{at("a", 0), at("a", moment), at("a", 0), at("b", 0)}},
		{name: "the same request twice at two upstreams of a zone", late: []LateCrash{at("a", 0), at("a", 0), at("a", time.Minute), at("a", time.Minute)}, blocked: true},
		{name: "an early one and a late one", early: 1, late: []LateCrash{at("a", 0)}},
		{name: "an early one and two late ones", early: 1, late: []LateCrash{at("a", 0), at("b", 0)}, blocked: true},
	} {
		g := NewWithT(t)
		now := time.Unix(1000, 0)
		m := NewStateMachine()
		for i := range c.early {
			m.RecordCrash(now, "fp", fmt.Sprint("early", i))
		}
		for i, l := range c.late {
			l.Upstream = fmt.Sprint("u", i)
			m.RecordLateCrash(now, "fp", l)
			m.RecordLateCrash(now, "fp", l) // the same crash, recorded twice
		}
		g.Expect(m.Record(now, "fp").Blocked()).To(Equal(c.blocked), c.name)
		g.Expect(m.Record(now, "fp").Suspect()).To(Equal(!c.blocked), c.name)
		_, cleared := m.Clear(now, "fp")
		g.Expect(cleared).To(BeTrue(), c.name)
		g.Expect(m.Record(now, "fp").Crashed()).To(BeFalse(), c.name)
	}
}

// sharedNotices counts the records that a table sends.
type sharedNotices struct{ records int }

func (s *sharedNotices) Broadcast(_ string, params any) { s.records += len(params.(Share).Records) }
func (s *sharedNotices) Confirm(string, any) []Ack      { return nil }

// Guards against a failing zone whose many streams are repeated by every daemon for minutes.
func TestOnlyTheRecorderRepeatsASingleLateCrash(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	sent := &sharedNotices{}
	recorder, other := NewTable(clock, sent), NewTable(clock, nil)
	other.apply(Share{Records: []Record{recorder.RecordLateCrash("fp", "u", 1, "z", now)}})
	g.Expect(sent.records).To(Equal(1))
	g.Expect(recorder.repeated()).To(HaveLen(1))
	g.Expect(other.repeated()).To(BeEmpty())
	now = now.Add(lateShareTime + time.Second)
	g.Expect(recorder.repeated()).To(BeEmpty())
	for _, upstream := range []string{"v", "w"} {
		now = now.Add(time.Minute)
		other.RecordLateCrash("fp", upstream, 1, "z", now)
	}
	now = now.Add(time.Hour)
	g.Expect(other.repeated()).To(HaveLen(1), "one that is held back is repeated by all")
}
