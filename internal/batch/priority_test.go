package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// trainer asks for a job every four seconds.
type trainer struct {
	groups, size, priority int
}

// scarceEngines runs six jobs of each trainer with engines for a part of the work, and returns
// the share of groups that are complete in time, by trainer, and the longest time that an item
// waited for its first run.
func scarceEngines(seed uint64, trainers []trainer, capacity float64) (inTime []float64, longest time.Duration) {
	const tick, every, steps = 50 * time.Millisecond, 4 * time.Second, 6
	rnd := rand.New(rand.NewPCG(seed, 1))
	work := func() time.Duration {
		return time.Duration(float64(1500*time.Millisecond) * math.Exp(0.8*rnd.NormFloat64()))
	}
	items := 0
	for _, x := range trainers {
		items += x.groups * x.size
	}
	perItem := 1500 * math.Exp(0.8*0.8/2) // mean work in ms
	engines := testEngines(int(capacity*float64(items)*perItem/float64(every.Milliseconds())/6), 6)
	running := map[*item]time.Time{}
	engineOf := map[*item]int{}
	scheduler, open := NewScheduler(), []OpenJob{}
	done, total := make([]float64, len(trainers)), make([]float64, len(trainers))
	owner := map[string]int{}
	for now := noon; now.Before(noon.Add((steps + 3) * every)); now = now.Add(tick) {
		for i, x := range trainers {
			at := now.Sub(noon) - time.Duration(i)*1300*time.Millisecond // trainers are out of step
			if at >= 0 && at%every == 0 && at/every < steps {
				j := testJob(fmt.Sprint(i, "-", at/every), x.groups, x.size, now)
				owner[j.Batch.ID] = i
				open = append(open, j)
				scheduler.Update(open)
				scheduler.SetPriority(j.Batch.ID, x.priority)
				total[i] += float64(x.groups)
			}
		}
		for it, end := range running {
			if now.Before(end) {
				continue
			}
			scheduler.Finish(it)
			engines[engineOf[it]].Running--
			delete(running, it)
			if it.job.unfinishedItems[it.spec.Group] == 0 && !now.After(it.job.deadline()) {
				done[owner[it.job.batch.ID]]++
			}
		}
		for _, a := range scheduler.Schedule(now, engines) {
			var n int
			fmt.Sscanf(a.Engine.ID, "e%d", &n)
			engineOf[a.item], running[a.item] = n, now.Add(work())
			longest = max(longest, now.Sub(a.item.job.batch.Accepted))
		}
	}
	for i := range done {
		inTime = append(inTime, done[i]/total[i])
	}
	return inTime, longest
}

// Guards against an urgent trainer whose steps come late because of a less urgent one, when a fifth of
// the engines is missing. Of all items, no fewer may belong to groups that are in time.
func TestUrgentJobsAreInTimeWhenEnginesAreScarce(t *testing.T) {
	g := NewWithT(t)
	ignored, _ := scarceEngines(1, []trainer{{6, 16, 1}, {10, 16, 1}, {18, 8, 1}}, 0.8)
	ordered, longest := scarceEngines(1, []trainer{{6, 16, 1}, {10, 16, 0}, {18, 8, 1}}, 0.8)
	t.Logf("groups in time: %.2f without priorities, %.2f with; an item waited for %v at most", ignored, ordered, longest)
	g.Expect(ordered[1]).To(BeNumerically(">=", 1.5*ignored[1]))
	g.Expect(ordered[1]).To(BeNumerically(">", max(ordered[0], ordered[2])))
	together := func(x []float64) float64 { return 96*x[0] + 160*x[1] + 144*x[2] }
	g.Expect(together(ordered)).To(BeNumerically(">=", together(ignored)))
}

// Guards against less urgent jobs that starve, and against priorities that no job should have.
func TestLessUrgentJobWaitsForARunDeadlineAtMost(t *testing.T) {
	g := NewWithT(t)
	const runDeadline = 7500 * time.Millisecond
	first := func(lessUrgent int, acceptedAfter time.Duration) string {
		scheduler := NewScheduler()
		scheduler.Update([]OpenJob{testJob("less", 1, 1, noon), testJob("urgent", 1, 1, noon.Add(acceptedAfter))})
		scheduler.SetPriority("less", lessUrgent)
		scheduler.SetPriority("urgent", -3)
		scheduler.SetPriority("unknown", 1)
		return itemIDs(scheduler.Schedule(noon, testEngines(1, 1)))[0]
	}
	g.Expect(first(0, time.Millisecond)).To(Equal("less-0-0"), "equal priorities")
	g.Expect(first(1, runDeadline-time.Millisecond)).To(Equal("urgent-0-0"))
	g.Expect(first(1, runDeadline+time.Millisecond)).To(Equal("less-0-0"))
	g.Expect(first(1<<40, 9*runDeadline+time.Millisecond)).To(Equal("less-0-0"))
}
