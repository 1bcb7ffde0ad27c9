package batch

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// drawnRun is a run of an item with the whole text that it led to.
type drawnRun struct {
	output RetainedOutput
	text   []string
	known  bool // it and all runs that it continues are known, and of one software version
}

// drawRuns draws runs that begin the text or continue that of an earlier run, from any event of it. No
// two runs generate the same events. Some continue at another software version, which must not count.
func drawRuns(rt *rapid.T) []drawnRun {
	var runs []drawnRun
	for i := range rapid.IntRange(1, 6).Draw(rt, "runs") {
		var before []string
		known := rapid.IntRange(0, 4).Draw(rt, "lost") > 0
		software := rapid.SampledFrom([]string{"v1", "v2", upstream.SoftwareUnknown}).Draw(rt, "software")
		if i > 0 && rapid.Bool().Draw(rt, "continues") {
			parent := rapid.SampledFrom(runs).Draw(rt, "parent")
			before = slices.Clone(parent.text[:rapid.IntRange(0, len(parent.text)).Draw(rt, "after")])
			if rapid.IntRange(0, 4).Draw(rt, "same") > 0 {
				software = parent.output.Upstream.Software
			}
			known = known && (len(before) == 0 || parent.known && software == parent.output.Upstream.Software && software != upstream.SoftwareUnknown)
		}
		o := RetainedOutput{After: len(before), Text: textDigest(before), Upstream: OutputSource{ID: "e", Service: "s", Software: software}, Complete: rapid.Bool().Draw(rt, "complete")}
		text := slices.Clone(before)
		for n := range rapid.IntRange(0, 6).Draw(rt, "events") {
			e := Event{ID: len(before) + 1 + n, Data: fmt.Sprint(software, " run", i, " ", n), Version: 3}
			o.Events = append(o.Events, e)
			text = append(text, e.Data)
		}
		runs = append(runs, drawnRun{o, text, known})
	}
	return runs
}

// Guards against a text with a missing or duplicate event, events of two software versions, or events of
// two texts of the item, of which one was begun anew; and against one that loses committed events.
func TestJoinedTextIsThatOfOneRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		runs := drawRuns(rt)
		it := newItemOf(testJob("j", 1, 1, noon))
		if rapid.Bool().Draw(rt, "committed") {
			r := rapid.SampledFrom(runs).Draw(rt, "committed run")
			if n := rapid.IntRange(0, len(r.text)).Draw(rt, "committed events"); n > 0 {
				it.restore(state.Partial{Events: r.text[:n], LastID: n, Versions: []uint64{3}, Software: r.output.Upstream.Software})
			}
		}
		committed := slices.Clone(it.events)
		var outputs []RetainedOutput
		for _, r := range runs {
			if r.known {
				outputs = append(outputs, r.output)
			}
		}
		// Runs that continue a text which is not known come, too.
		for _, r := range runs {
			if !r.known && rapid.Bool().Draw(rt, "stray") && r.output.After > 0 {
				outputs = append(outputs, r.output)
			}
		}
		got := joinOutputs(it, rapid.Permutation(outputs).Draw(rt, "outputs"))
		g.Expect(slices.Equal(got.data[:len(committed)], committed)).To(BeTrue(), "committed events stay")
		for _, r := range runs {
			if r.known && len(committed) == 0 {
				g.Expect(got.complete || !r.output.Complete && len(got.data) >= len(r.text)).To(BeTrue(), "%v was lost", r.text)
			}
		}
		if len(got.data) == len(committed) && !got.complete {
			return
		}
		g.Expect(slices.ContainsFunc(runs, func(r drawnRun) bool {
			return slices.Equal(r.text, got.data) && r.output.Complete == got.complete && origin.Of(r.output.Upstream.announcement()) == got.origin
		})).To(BeTrue(), "%v is not the text of a run", got.data)
		software := got.origin.Software
		for i, data := range got.data[len(committed):] {
			g.Expect(data).To(HavePrefix(software+" run"), "event %d", i)
		}
		it.take(got)
		g.Expect(slices.Equal(it.events, got.data)).To(BeTrue())
		g.Expect(it.lastEventID).To(Equal(len(got.data)))
		if len(got.data) > 0 {
			g.Expect(it.origin).To(Equal(got.origin))
		}
		g.Expect(it.committedEvents).To(Equal(len(committed)))
	})
}

// Guards against output that the job does not allow, or that is of another item with the same id.
func TestOutputThatTheItemMayNotHaveIsIgnored(t *testing.T) {
	engine := upstream.Announcement{ID: "e", Service: "s", Incarnation: 1, Software: "v1"}
	restarted := engine
	restarted.Incarnation, restarted.Software = 2, "v2"
	for _, c := range []struct {
		name   string
		change func(o *RetainedOutput, it *item)
		known  upstream.Announcement
		taken  int
	}{
		{name: "fits", known: engine, taken: 5},
		{name: "weight version too old", change: func(o *RetainedOutput, _ *item) { o.Events[4].Version = 2 }, known: engine},
		{name: "two weight versions", change: func(o *RetainedOutput, _ *item) { o.Events[4].Version = 4 }, known: engine, taken: 5},
		{name: "two weight versions, one allowed", change: func(o *RetainedOutput, it *item) { o.Events[4].Version = 4; it.job.batch.SingleVersion = true }, known: engine},
		{name: "too long", change: func(o *RetainedOutput, it *item) {
			o.Events = testEvents(1, limitOf(it.spec).events+1, 3)
		}, known: engine},
		{name: "an event is missing", change: func(o *RetainedOutput, _ *item) { o.Events = slices.Delete(o.Events, 2, 3) }, known: engine},
		{name: "another account", change: func(o *RetainedOutput, _ *item) { o.Account = "b" }, known: engine},
		{name: "another request with the same ids", change: func(o *RetainedOutput, it *item) { it.spec.Body = []byte("other") }, known: engine},
		{name: "engine started again with other software", known: restarted},
		{name: "the same, complete", change: func(o *RetainedOutput, _ *item) { o.Complete = true }, known: restarted, taken: 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			it := newItemOf(testJob("j", 1, 1, noon))
			o := outputOf(RunRequest{Job: "j", ID: it.spec.ID, Path: it.spec.Path, Body: it.spec.Body, Upstream: engine})
			o.Events = testEvents(1, 5, 3)
			if c.change != nil {
				c.change(&o, it)
			}
			g.Expect(it.take(joinOutputs(it, usableOutputs(it, []RetainedOutput{o}, []upstream.Announcement{c.known})))).To(Equal(c.taken))
		})
	}
}
