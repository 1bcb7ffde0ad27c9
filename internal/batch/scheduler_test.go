package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// testJob returns a job with groups of size items each. The length hint of an item grows
// with its number within the group.
func testJob(id string, groups, size int, accepted time.Time) OpenJob {
	b := &state.Batch{ID: id, Service: "s", Model: "m", MinVersion: 3, Accepted: accepted, RunDeadline: 7500 * time.Millisecond, ItemTTL: 12 * time.Second}
	for i := range groups {
		for k := range size {
			b.Items = append(b.Items, state.BatchItem{ID: fmt.Sprintf("%s-%d-%d", id, i, k), Group: fmt.Sprint("g", i), Model: "m", Prompt: fmt.Sprint("p", i), Hint: 10 + k})
		}
	}
	return OpenJob{Batch: b, Listed: map[string]bool{}}
}

func testEngines(n, slots int) []Engine {
	var out []Engine
	for i := range n {
		out = append(out, Engine{
			Upstream: upstream.Announcement{ID: fmt.Sprint("e", i), Service: "s"}, Slots: slots,
			Versions: map[string]uint64{"m": 3}, Slowness: 1,
		})
	}
	return out
}

func itemIDs(ss []Assignment) []string {
	var out []string
	for _, s := range ss {
		out = append(out, s.item.spec.ID)
	}
	return out
}

func countByEngine(ss []Assignment) map[string]int {
	out := map[string]int{}
	for _, s := range ss {
		out[s.Engine.ID]++
	}
	return out
}

func TestItemsAreSpreadOverFreeSlots(t *testing.T) {
	g := NewWithT(t)
	scheduler := NewScheduler()
	scheduler.Update([]OpenJob{testJob("j", 20, 4, noon)})
	got := scheduler.Schedule(noon, testEngines(9, 8))
	g.Expect(got).To(HaveLen(72), "one item per slot")
	for _, n := range countByEngine(got) {
		g.Expect(n).To(Equal(8))
	}
	g.Expect(scheduler.CountWaiting()).To(Equal(8))
}

// The items with the longest estimates start first. With heavy-tailed lengths, the job
// would otherwise end late.
func TestLongestEstimatesStartFirst(t *testing.T) {
	g := NewWithT(t)
	scheduler := NewScheduler()
	scheduler.Update([]OpenJob{testJob("j", 1, 4, noon)})
	g.Expect(itemIDs(scheduler.Schedule(noon, testEngines(1, 2)))).To(Equal([]string{"j-0-3", "j-0-2"}))
}

// With few free slots, items of the job with the earliest deadline start first. Within it,
// a group that lacks one item comes before a group that lacks four, since it is complete
// sooner.
func TestEarliestJobAndNearlyCompleteGroupStartFirst(t *testing.T) {
	g := NewWithT(t)
	scheduler := NewScheduler()
	later := testJob("later", 1, 1, noon.Add(4*time.Second))
	j := testJob("j", 2, 4, noon)
	for k := range 3 {
		j.Listed[fmt.Sprintf("j-1-%d", k)] = true
	}
	scheduler.Update([]OpenJob{later, j})
	got := itemIDs(scheduler.Schedule(noon, testEngines(1, 2)))
	g.Expect(got).To(Equal([]string{"j-1-3", "j-0-3"}))
}

// A third of the engines is three times slower. They get new items only when no other
// engine has free slots.
func TestSlowEnginesGetItemsLast(t *testing.T) {
	g := NewWithT(t)
	scheduler := NewScheduler()
	scheduler.Update([]OpenJob{testJob("j", 15, 4, noon)})
	engines := testEngines(9, 8)
	for i := range 3 {
		engines[i].Slowness = 3
	}
	got := countByEngine(scheduler.Schedule(noon, engines))
	slow := got["e0"] + got["e1"] + got["e2"]
	g.Expect(slow).To(Equal(60 - 6*8))
}

// While a new weight version is loaded under full load, engines with versions below the
// minimum and engines that are loading get no items. Engines with newer versions do.
func TestEnginesWithOldOrLoadingWeightsGetNoItems(t *testing.T) {
	g := NewWithT(t)
	scheduler := NewScheduler()
	scheduler.Update([]OpenJob{testJob("j", 20, 4, noon)})
	engines := testEngines(4, 8)
	engines[0].Versions["m"] = 2
	engines[1].Loading = true
	engines[2].Versions["m"] = 4
	got := countByEngine(scheduler.Schedule(noon, engines))
	g.Expect(got).To(Equal(map[string]int{"e2": 8, "e3": 8}))
}

// Upstreams that are about to be reclaimed get no items.
func TestUpstreamsReclaimedSoonGetNoItems(t *testing.T) {
	g := NewWithT(t)
	scheduler := NewScheduler()
	scheduler.Update([]OpenJob{testJob("j", 4, 4, noon)})
	engines := testEngines(3, 8)
	engines[0].Upstream.ReclaimAt = noon.Add(300 * time.Millisecond).UnixMilli()
	engines[1].Upstream.ReclaimAt = noon.Add(2 * time.Second).UnixMilli()
	got := countByEngine(scheduler.Schedule(noon, engines))
	g.Expect(got).NotTo(HaveKey("e0"))
	g.Expect(got).To(HaveKey("e1"))
}

// If the job asks for a single weight version, an item with partial output resumes only on
// an engine with the same version.
func TestSingleVersionItemResumesOnTheSameVersion(t *testing.T) {
	g := NewWithT(t)
	scheduler := NewScheduler()
	j := testJob("j", 1, 1, noon)
	j.Batch.SingleVersion = true
	scheduler.Update([]OpenJob{j})
	it := scheduler.jobs["j"].items[0]
	it.appendEvent(Event{ID: 1, Data: "x", Version: 4})
	engines := testEngines(2, 8)
	g.Expect(scheduler.Schedule(noon, engines)).To(BeEmpty())
	engines[1].Versions["m"] = 4
	g.Expect(countByEngine(scheduler.Schedule(noon, engines))).To(Equal(map[string]int{"e1": 1}))
	it.appendEvent(Event{ID: 2, Data: "y", Version: 5})
	g.Expect(it.versionsAllowed()).To(BeFalse())
}

func TestVersionBelowMinVersionIsNotAllowed(t *testing.T) {
	g := NewWithT(t)
	scheduler := NewScheduler()
	scheduler.Update([]OpenJob{testJob("j", 1, 1, noon)})
	it := scheduler.jobs["j"].items[0]
	it.appendEvent(Event{ID: 1, Version: 3})
	g.Expect(it.versionsAllowed()).To(BeTrue())
	it.appendEvent(Event{ID: 2, Version: 2})
	g.Expect(it.versionsAllowed()).To(BeFalse())
	it.reset()
	g.Expect(it.versionsAllowed()).To(BeTrue())
	g.Expect(it.lastEventID).To(BeZero())
}

func TestUpdateRemovesEndedJobs(t *testing.T) {
	g := NewWithT(t)
	scheduler := NewScheduler()
	scheduler.Update([]OpenJob{testJob("a", 1, 2, noon), testJob("b", 1, 2, noon)})
	g.Expect(scheduler.Update([]OpenJob{testJob("b", 1, 2, noon)})).To(HaveLen(2))
	g.Expect(scheduler.CountWaiting()).To(Equal(2))
}

// Items expire after their TTL plus abortMargin, since the clocks of leaders differ.
func TestItemsExpireAfterTheirTTL(t *testing.T) {
	g := NewWithT(t)
	scheduler := NewScheduler()
	scheduler.Update([]OpenJob{testJob("j", 1, 2, noon)})
	g.Expect(scheduler.Expired(noon.Add(12*time.Second + abortMargin - time.Millisecond))).To(BeEmpty())
	expired := scheduler.Expired(noon.Add(12*time.Second + abortMargin))
	g.Expect(expired).To(HaveLen(2))
	for _, it := range expired {
		scheduler.Finish(it)
	}
	g.Expect(scheduler.Expired(noon.Add(time.Minute))).To(BeEmpty())
}

// An engine that takes three times the median per event counts as slow. With measurements
// of a single engine, slowness is unknown. Measurements expire.
func TestSlownessIsRelativeToTheMedianEngine(t *testing.T) {
	g := NewWithT(t)
	tracker := NewSpeedTracker()
	tracker.Record(noon, "a", 10, 300*time.Millisecond)
	g.Expect(tracker.At(noon).Slowness("a")).To(Equal(1.0))
	tracker.Record(noon, "b", 10, 320*time.Millisecond)
	tracker.Record(noon, "c", 10, 900*time.Millisecond)
	g.Expect(tracker.At(noon).Slowness("c")).To(BeNumerically(">", moveSlownessRatio))
	g.Expect(tracker.At(noon).Slowness("b")).To(BeNumerically("<", 1.2))
	g.Expect(tracker.At(noon.Add(speedTTL+time.Millisecond)).Slowness("c")).To(Equal(1.0), "the measurement has expired")
}

// Guards against items that begin at an engine beyond the rate that it names, and against
// items that wait although engines without a rate have free slots.
func TestItemsBeginWithinTheTurnsOfAnEngine(t *testing.T) {
	g := NewWithT(t)
	scheduler := NewScheduler()
	scheduler.Update([]OpenJob{testJob("j", 10, 4, noon)})
	engines := testEngines(3, 8)
	engines[0].NamesRate, engines[0].Turns = true, 2
	engines[1].NamesRate = true
	g.Expect(countByEngine(scheduler.Schedule(noon, engines))).To(Equal(map[string]int{"e0": 2, "e2": 8}))
	g.Expect(scheduler.Schedule(noon, engines)).To(BeEmpty(), "the turns are used up")
	engines[1].Turns = 5
	g.Expect(countByEngine(scheduler.Schedule(noon, engines))).To(Equal(map[string]int{"e1": 5}))
}
