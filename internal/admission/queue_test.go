package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

var epoch = time.Unix(1_000_000, 0)

// No account that waits falls behind another by more than one request of the
// largest cost for each of the two, whatever the order in which slots come free.
func TestBackloggedAccountsShareByWeight(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		q := NewQueue()
		q.Slots(rapid.IntRange(1, 8).Draw(rt, "slots"))
		const largest = 50
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 8), 2, 6).Draw(rt, "weights")
		served := make([]float64, len(weights))
		offer := func(i int) {
			cost := float64(rapid.IntRange(1, largest).Draw(rt, "cost"))
			_, err := q.Offer(epoch, RequestInfo{Account: fmt.Sprint(i), Weight: weights[i], Cost: cost})
			if err != nil {
				rt.Fatal(err)
			}
		}
		for i := range weights {
			for range 3 {
				offer(i)
			}
		}
		var running []*Request
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			for r := q.Next(epoch); r != nil; r = q.Next(epoch) {
				var i int
				_, _ = fmt.Sscan(r.Account, &i)
				served[i] += r.Cost
				running = append(running, r)
				offer(i)
				checkShares(rt, weights, served, largest)
			}
			k := rapid.IntRange(0, len(running)-1).Draw(rt, "ends")
			q.Done(epoch, running[k], running[k].Cost)
			running = append(running[:k], running[k+1:]...)
		}
	})
}

func checkShares(rt *rapid.T, weights, served []float64, largest float64) {
	for i := range weights {
		for j := range weights {
			behind := served[j]/weights[j] - served[i]/weights[i]
			if bound := largest/weights[i] + largest/weights[j]; behind > bound+1e-9 {
				rt.Fatalf("account %d is %g behind %d, bound %g", i, behind, j, bound)
			}
		}
	}
}

// Every request that was taken in ends exactly once: admitted, cancelled or
// given up; the slots and the queue of an account are never exceeded.
func TestNoAdmissionIsLostOrDoubled(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		q := NewQueue()
		now := epoch
		slots := 0
		waiting := map[*Request]bool{}
		var running []*Request
		rt.Repeat(map[string]func(*rapid.T){
			"offer": func(rt *rapid.T) {
				ticket := RequestInfo{Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "account"), Cost: 10, Priority: rapid.IntRange(0, 9).Draw(rt, "priority")}
				if rapid.Bool().Draw(rt, "bounded") {
					ticket.Deadline = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
				}
				if r, err := q.Offer(now, ticket); err == nil {
					waiting[r] = true
				} else if e := result.From(err); e.RetryAfter < minRetry {
					rt.Fatalf("refused without a time to come back: %v", err)
				}
			},
			"next": func(rt *rapid.T) {
				r := q.Next(now)
				if r == nil {
					if len(waiting) > 0 && len(running) < slots {
						rt.Fatal("a slot stays free while a request waits")
					}
					return
				}
				if !waiting[r] || len(running) >= slots {
					rt.Fatal("doubled admission, or more than the slots")
				}
				delete(waiting, r)
				running = append(running, r)
			},
			"done": func(*rapid.T) {
				if len(running) > 0 {
					q.Done(now, running[0], 7)
					running = running[1:]
				}
			},
			"cancel": func(rt *rapid.T) {
				for r := range waiting {
					if !q.Cancel(r) || q.Cancel(r) {
						rt.Fatal("a waiting request must be cancelled exactly once")
					}
					delete(waiting, r)
					return
				}
			},
			"sweep": func(rt *rapid.T) {
				for _, x := range q.Sweep(now) {
					if !waiting[x.Request] {
						rt.Fatal("gave up what does not wait")
					}
					delete(waiting, x.Request)
				}
			},
			"slots": func(rt *rapid.T) {
				slots = rapid.IntRange(len(running), 5+len(running)).Draw(rt, "slots")
				q.Slots(slots)
			},
			"wait": func(*rapid.T) { now = now.Add(50 * time.Millisecond) },
			"": func(rt *rapid.T) {
				if q.Waiting() != len(waiting) || q.InFlight() != len(running) {
					rt.Fatalf("waiting %d of %d, in flight %d of %d", q.Waiting(), len(waiting), q.InFlight(), len(running))
				}
			},
		})
	})
}

func TestQueueOfAnAccountIsBounded(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue()
	q.Slots(1)
	for range maxQueued {
		_, err := q.Offer(epoch, RequestInfo{Account: "a", Cost: 1})
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := q.Offer(epoch, RequestInfo{Account: "a", Cost: 1})
	g.Expect(result.CodeOf(err)).To(Equal(result.Overloaded))
	_, err = q.Offer(epoch, RequestInfo{Account: "b", Cost: 1})
	g.Expect(err).NotTo(HaveOccurred())
}

// admit takes n requests through and returns the cost served of each account.
func admit(q *Queue, n int, trueCost map[string]float64) map[string]float64 {
	served := map[string]float64{}
	for range n {
		r := q.Next(epoch)
		cost := r.Cost * max(trueCost[r.Account], 1)
		served[r.Account] += cost
		q.Done(epoch.Add(time.Second), r, cost)
	}
	return served
}

func TestTrueCostCorrectsTheAccount(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue()
	q.Slots(1)
	for range 200 {
		_, _ = q.Offer(epoch, RequestInfo{Account: "liar", Cost: 10})
		_, _ = q.Offer(epoch, RequestInfo{Account: "honest", Cost: 10})
	}
	served := admit(q, 100, map[string]float64{"liar": 4})
	g.Expect(served["liar"]).To(BeNumerically("~", served["honest"], 40))
}

// Callers go first; background work still gets its share.
func TestBackgroundYieldsButIsNotStarved(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue()
	q.Slots(1)
	for range 300 {
		_, _ = q.Offer(epoch, RequestInfo{Account: "trainer", Cost: 10, Priority: BackgroundPriority})
		_, _ = q.Offer(epoch, RequestInfo{Account: "team", Cost: 10, Priority: 2})
	}
	served := admit(q, 200, nil)
	g.Expect(served["trainer"]).To(BeNumerically("~", 200, 10))
}

func TestInsideAnAccountPriorityThenDeadlineThenArrival(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue()
	q.Slots(1)
	order := []int{3, 2, 0, 1}
	tickets := []RequestInfo{
		{Priority: 5}, {Priority: 5}, {Priority: 5, Deadline: epoch.Add(time.Hour)}, {Priority: 1},
	}
	for i := range tickets {
		tickets[i].Cost = float64(i + 1)
		_, _ = q.Offer(epoch, tickets[i])
	}
	for _, i := range order {
		r := q.Next(epoch)
		g.Expect(r.Cost).To(Equal(tickets[i].Cost))
		q.Done(epoch, r, 0)
	}
}

// A request whose deadline cannot be met is refused when it comes, and is given
// up as soon as the slots that it counted on are gone.
func TestHopelessRequestsAreRefusedEarly(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue()
	q.Slots(10)
	r, _ := q.Offer(epoch, RequestInfo{Account: "a", Cost: 10})
	q.Next(epoch)
	q.Done(epoch.Add(time.Second), r, 10) // a request takes a second
	for range 50 {
		_, err := q.Offer(epoch, RequestInfo{Account: "a", Cost: 10, Deadline: epoch.Add(10 * time.Second)})
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := q.Offer(epoch, RequestInfo{Account: "a", Cost: 10, Priority: 1, Deadline: epoch.Add(4 * time.Second)})
	g.Expect(result.CodeOf(err)).To(Equal(result.DeadlineUnmet))
	g.Expect(result.From(err).RetryAfter).To(BeNumerically("~", 2*time.Second, time.Second))
	g.Expect(q.Sweep(epoch)).To(BeEmpty())
	q.Slots(5)
	g.Expect(q.Sweep(epoch)).NotTo(BeEmpty())
}

// An account saves nothing up while it does not wait.
func TestReturningAccountTakesNoCredit(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue()
	q.Slots(2)
	_, _ = q.Offer(epoch, RequestInfo{Account: "back", Cost: 10})
	q.Next(epoch) // still runs, so its account is remembered
	for range 200 {
		_, _ = q.Offer(epoch, RequestInfo{Account: "steady", Cost: 10})
	}
	admit(q, 100, nil)
	for range 50 {
		_, _ = q.Offer(epoch, RequestInfo{Account: "back", Cost: 10})
	}
	g.Expect(admit(q, 20, nil)["steady"]).To(BeNumerically("~", 100, 10))
}
