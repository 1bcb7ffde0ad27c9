package batch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/origin"
)

// Guards against items that run outside the home regions that their job was accepted with, also when
// they are relocated or could only go on there, and against other jobs that are kept from an engine.
func TestItemsStayInHomeRegions(t *testing.T) {
	g := NewWithT(t)
	engines := testEngines(3, 8)
	for i, region := range []string{"r", "far", ""} {
		engines[i].Upstream.Region, engines[i].Upstream.Software = region, "v1"
		engines[i].SecondsPerEvent = []float64{1, 0.01, 0.01}[i]
	}
	home := testJob("home", 4, 4, noon)
	home.Batch.Homes = homes.Of([]string{"r"})
	scheduler := NewScheduler()
	scheduler.Update([]OpenJob{home, testJob("any", 4, 4, noon)})
	got := scheduler.Schedule(noon, engines)
	byEngine := map[string]int{}
	var running []RunningItem
	for _, x := range got {
		if x.item.job.batch == home.Batch {
			byEngine[x.Engine.ID]++
			running = append(running, RunningItem{item: x.item, Engine: x.Engine, StartedAt: noon, Events: 1})
		}
	}
	g.Expect(byEngine).To(Equal(map[string]int{"e0": byEngine["e0"]}))
	g.Expect(byEngine["e0"]).To(BeNumerically(">", 0))
	g.Expect(countByEngine(got)).To(HaveLen(3))

	later := noon.Add(5 * time.Second)
	for i := range engines {
		engines[i].Running = 0
	}
	g.Expect(planRelocations(later, running, engines, NewLengthTracker())).To(BeEmpty())
	home.Batch.Homes = nil
	g.Expect(planRelocations(later, running, engines, NewLengthTracker())).NotTo(BeEmpty(), "the engines elsewhere are faster")

	it := running[0].item
	it.job.batch.Homes = homes.Of([]string{"r"})
	it.events, it.generatedFor, it.origin = []string{"x"}, time.Hour, origin.Of(engines[1].Upstream)
	g.Expect(it.originLost(later, engines[1:])).To(BeTrue(), "it waits for an engine that may not run it")
	it.job.batch.Homes = nil
	g.Expect(it.originLost(later, engines[1:])).To(BeFalse())
}
