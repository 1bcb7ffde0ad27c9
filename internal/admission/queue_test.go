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

// The work served for an account, divided by its weight, differs between two accounts with
// weights v and w by at most largest/v + largest/w while both have queued requests, where
// largest is the largest cost of a request. The order in which slots become free does not
// matter.
func TestBackloggedAccountsShareByWeight(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		q := NewQueue()
		q.Slots(rapid.IntRange(1, 8).Draw(rt, "slots"))
		const largest = 50
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 8), 2, 6).Draw(rt, "weights")
		served := make([]float64, len(weights))
		enqueue := func(i int) {
			cost := float64(rapid.IntRange(1, largest).Draw(rt, "cost"))
			_, err := q.Enqueue(epoch, RequestInfo{Account: fmt.Sprint(i), Weight: weights[i], Cost: cost})
			if err != nil {
				rt.Fatal(err)
			}
		}
		for i := range weights {
			for range 3 {
				enqueue(i)
			}
		}
		var running []*Request
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			for r := q.Next(epoch); r != nil; r = q.Next(epoch) {
				var i int
				_, _ = fmt.Sscan(r.Account, &i)
				served[i] += r.Cost
				running = append(running, r)
				enqueue(i)
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

// Every queued request ends exactly once: it is admitted, cancelled or rejected. The
// number of slots and the queue limit of an account are never exceeded.
func TestEveryQueuedRequestEndsOnce(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		q := NewQueue()
		now := epoch
		slots := 0
		waiting := map[*Request]bool{}
		var running []*Request
		rt.Repeat(map[string]func(*rapid.T){
			"offer": func(rt *rapid.T) {
				info := RequestInfo{Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "account"), Cost: 10, Priority: rapid.IntRange(0, 9).Draw(rt, "priority")}
				if rapid.Bool().Draw(rt, "bounded") {
					info.Deadline = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
				}
				if r, err := q.Enqueue(now, info); err == nil {
					waiting[r] = true
				} else if e := result.From(err); e.RetryAfter < minRetryAfter {
					rt.Fatalf("rejected without a retry delay: %v", err)
				}
			},
			"next": func(rt *rapid.T) {
				r := q.Next(now)
				if r == nil {
					if len(waiting) > 0 && len(running) < slots {
						rt.Fatal("a slot stays free while a request is queued")
					}
					return
				}
				if !waiting[r] || len(running) >= slots {
					rt.Fatal("request admitted twice, or more requests admitted than slots")
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
				for _, x := range q.RejectOverdue(now) {
					if !waiting[x.Request] {
						rt.Fatal("rejected a request that is not queued")
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
	for range maxQueuedPerAccount {
		_, err := q.Enqueue(epoch, RequestInfo{Account: "a", Cost: 1})
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := q.Enqueue(epoch, RequestInfo{Account: "a", Cost: 1})
	g.Expect(result.CodeOf(err)).To(Equal(result.Overloaded))
	_, err = q.Enqueue(epoch, RequestInfo{Account: "b", Cost: 1})
	g.Expect(err).NotTo(HaveOccurred())
}

// admitAndFinish admits and ends n requests one after the other. Their actual cost is the
// estimate times costFactor of the account, or the estimate for accounts not listed. It
// returns the cost served by account.
func admitAndFinish(q *Queue, n int, costFactor map[string]float64) map[string]float64 {
	served := map[string]float64{}
	for range n {
		r := q.Next(epoch)
		cost := r.Cost * max(costFactor[r.Account], 1)
		served[r.Account] += cost
		q.Done(epoch.Add(time.Second), r, cost)
	}
	return served
}

func TestActualCostCorrectsTheStartTag(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue()
	q.Slots(1)
	for range 200 {
		_, _ = q.Enqueue(epoch, RequestInfo{Account: "liar", Cost: 10})
		_, _ = q.Enqueue(epoch, RequestInfo{Account: "honest", Cost: 10})
	}
	served := admitAndFinish(q, 100, map[string]float64{"liar": 4})
	g.Expect(served["liar"]).To(BeNumerically("~", served["honest"], 40))
}

// Callers are served first, but background work gets backgroundShare of the work.
func TestBackgroundWorkGetsItsMinimumShare(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue()
	q.Slots(1)
	for range 300 {
		_, _ = q.Enqueue(epoch, RequestInfo{Account: "trainer", Cost: 10, Priority: BackgroundPriority})
		_, _ = q.Enqueue(epoch, RequestInfo{Account: "team", Cost: 10, Priority: 2})
	}
	served := admitAndFinish(q, 200, nil)
	g.Expect(served["trainer"]).To(BeNumerically("~", 200, 10))
}

func TestAccountQueueIsOrderedByPriorityDeadlineArrival(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue()
	q.Slots(1)
	order := []int{3, 2, 0, 1}
	infos := []RequestInfo{
		{Priority: 5}, {Priority: 5}, {Priority: 5, Deadline: epoch.Add(time.Hour)}, {Priority: 1},
	}
	for i := range infos {
		infos[i].Cost = float64(i + 1)
		_, _ = q.Enqueue(epoch, infos[i])
	}
	for _, i := range order {
		r := q.Next(epoch)
		g.Expect(r.Cost).To(Equal(infos[i].Cost))
		q.Done(epoch, r, 0)
	}
}

// A request whose deadline cannot be met is rejected on arrival. A queued request is
// rejected as soon as too few slots are left to meet its deadline.
func TestRequestsThatMissTheirDeadlineAreRejectedEarly(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue()
	q.Slots(10)
	r, _ := q.Enqueue(epoch, RequestInfo{Account: "a", Cost: 10})
	q.Next(epoch)
	q.Done(epoch.Add(time.Second), r, 10) // a request takes a second
	for range 50 {
		_, err := q.Enqueue(epoch, RequestInfo{Account: "a", Cost: 10, Deadline: epoch.Add(10 * time.Second)})
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := q.Enqueue(epoch, RequestInfo{Account: "a", Cost: 10, Priority: 1, Deadline: epoch.Add(4 * time.Second)})
	g.Expect(result.CodeOf(err)).To(Equal(result.DeadlineUnmet))
	g.Expect(result.From(err).RetryAfter).To(BeNumerically("~", 2*time.Second, time.Second))
	g.Expect(q.RejectOverdue(epoch)).To(BeEmpty())
	q.Slots(5)
	g.Expect(q.RejectOverdue(epoch)).NotTo(BeEmpty())
}

// An account with no queued requests must not accumulate credit.
func TestIdleAccountEarnsNoCredit(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue()
	q.Slots(2)
	_, _ = q.Enqueue(epoch, RequestInfo{Account: "back", Cost: 10})
	q.Next(epoch) // stays in flight, so the flow of its account is kept
	for range 200 {
		_, _ = q.Enqueue(epoch, RequestInfo{Account: "steady", Cost: 10})
	}
	admitAndFinish(q, 100, nil)
	for range 50 {
		_, _ = q.Enqueue(epoch, RequestInfo{Account: "back", Cost: 10})
	}
	g.Expect(admitAndFinish(q, 20, nil)["steady"]).To(BeNumerically("~", 100, 10))
}
