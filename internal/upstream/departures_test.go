package upstream

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against requests to an upstream that has said in an answer that it leaves. Random
// orders of heartbeats, withdrawals, answers, announcements that another daemon kept from
// before, and time: an incarnation that has left is never listed again, and a new one under
// the same id is listed as soon as it is announced.
func TestDepartedIncarnationIsNeverListedAgain(t *testing.T) {
	const ids = 3
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Now()
		r := NewRegistry()
		left := map[string]int64{}   // model: newest incarnation that has left
		newest := map[string]int64{} // newest incarnation drawn so far
		seq := map[string]uint64{}
		var sent []Announcement // may come back at any later time
		check := func() {
			for _, a := range r.Known(now) {
				if a.Incarnation <= left[a.ID] {
					rt.Fatalf("%s is listed as incarnation %d, but %d has left", a.ID, a.Incarnation, left[a.ID])
				}
			}
		}
		announce := func(id string, incarnation int64) Announcement {
			seq[id]++
			a := newAnnouncement(id, incarnation, seq[id])
			a.Address = "10.0.0." + id + ":80"
			sent = append(sent, a)
			return a
		}
		id := rapid.Custom(func(rt *rapid.T) string { return fmt.Sprint(rapid.IntRange(1, ids).Draw(rt, "id")) })
		rt.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"heartbeat": func(rt *rapid.T) {
				id := id.Draw(rt, "id")
				r.Record(now, announce(id, max(newest[id], 1)))
			},
			"start": func(rt *rapid.T) {
				id := id.Draw(rt, "id")
				newest[id]++
				r.Record(now, announce(id, newest[id]))
				listed := false
				for _, a := range r.Known(now) {
					listed = listed || a.ID == id && a.Incarnation == newest[id]
				}
				if !listed && newest[id] > left[id] && newest[id] > 1 {
					rt.Fatalf("new incarnation %d of %s is not listed", newest[id], id)
				}
			},
			"withdrawal": func(rt *rapid.T) {
				id := id.Draw(rt, "id")
				a := announce(id, max(newest[id], 1))
				a.Leaving = true
				r.Record(now, a)
			},
			"answer": func(rt *rapid.T) {
				if len(sent) == 0 {
					return
				}
				a := rapid.SampledFrom(sent).Draw(rt, "asked")
				_, changed := r.RecordDeparture(now, a)
				if changed != (a.Incarnation > left[a.ID]) {
					rt.Fatalf("departure of %s %d: changed is %v with %d gone", a.ID, a.Incarnation, changed, left[a.ID])
				}
				left[a.ID] = max(left[a.ID], a.Incarnation)
			},
			"late": func(rt *rapid.T) {
				if len(sent) > 0 {
					r.Record(now, rapid.SampledFrom(sent).Draw(rt, "late"))
				}
			},
			"time": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*tombstoneTTL)).Draw(rt, "pause")))
			},
		})
	})
}

// Guards against a departure that is forgotten with the tombstone of its incarnation: then
// an old announcement from another daemon would bring the upstream back.
func TestDepartureOutlastsTombstone(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := NewRegistry()
	a := newAnnouncement("a", 5, 7)
	r.Record(now, a)
	r.RecordDeparture(now, a)
	g.Expect(r.Known(now)).To(BeEmpty())
	withdrawn := a
	withdrawn.Leaving = true
	r.Record(now, withdrawn)
	now = now.Add(tombstoneTTL + time.Second)
	g.Expect(r.Known(now)).To(BeEmpty())
	g.Expect(r.All()).To(BeEmpty(), "the tombstone has expired")
	g.Expect(r.Record(now, a)).To(BeTrue(), "another daemon still held the announcement")
	g.Expect(r.Known(now)).To(BeEmpty())
	g.Expect(r.All()).To(Equal([]Announcement{a}), "departures are not exchanged")
}

// Guards against memory that grows with every departure: the one that was not mentioned for
// the longest time is dropped first, so those whose announcements still come are kept.
func TestDeparturesAreBounded(t *testing.T) {
	g := NewWithT(t)
	const limit = 10
	d := NewDepartures(limit)
	now := time.Now()
	for i := range 5 * limit {
		now = now.Add(time.Second)
		g.Expect(d.Record(now, fmt.Sprint("u", i), 1)).To(BeTrue())
		d.Mention(now, "u0")
		g.Expect(len(d.Snapshot())).To(BeNumerically("<=", limit))
	}
	g.Expect(d.Left("u0", 1)).To(BeTrue(), "still announced")
	g.Expect(d.Left(fmt.Sprint("u", 5*limit-1), 1)).To(BeTrue())
	g.Expect(d.Left("u1", 1)).To(BeFalse(), "never mentioned again")
}

// A departure takes effect on the lists before Observe returns, is logged once, and says
// what was believed before.
func TestDepartureIsRecordedAtOnceAndLoggedOnce(t *testing.T) {
	for _, c := range []struct {
		before  string
		prepare func(d *Directory, a Announcement)
	}{
		{"ready", func(*Directory, Announcement) {}},
		{"silent", func(*Directory, Announcement) { time.Sleep(5 * time.Second) }},
		{"leaving", func(d *Directory, a Announcement) { a.Leaving = true; d.record(a, true) }},
		{"unknown", func(*Directory, Announcement) { time.Sleep(time.Hour) }},
		{"replaced", func(d *Directory, a Announcement) { a.Incarnation++; d.record(a, true) }},
	} {
		t.Run(c.before, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var out bytes.Buffer
				d := NewDirectory(nil)
				a := newAnnouncement("a", 5, 7)
				d.record(a, true)
				c.prepare(d, a)
				d.Expire()
				r := DepartureRecorder{Directory: d, Log: log.New(&out)}
				counted := departuresSeen.Get()
				g.Expect(r.Left(a)).To(BeFalse())
				r.Observe(Sighting{Upstream: a, Request: "q1", Status: 503})
				g.Expect(r.Left(a)).To(BeTrue())
				for _, k := range append(d.Known(), d.Live()...) {
					g.Expect(k.Incarnation).To(BeNumerically(">", a.Incarnation))
				}
				d.record(newAnnouncement("a", 5, 8), true)
				r.Observe(Sighting{Upstream: a, Request: "q2", Status: 200})
				g.Expect(departuresSeen.Get() - counted).To(Equal(uint64(1)))
				line := strings.TrimSpace(out.String())
				g.Expect(strings.Count(line, "\n")).To(BeZero(), "one line")
				g.Expect(line).To(And(ContainSubstring("upstream=a service=s incarnation=5"), ContainSubstring("answered=q1 status=503 before="+c.before)))
			})
		})
	}
}
