package readiness

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
)

var started = time.Unix(1_700_000_000, 0)

// at returns the situation of a request that arrives the given time after the start with 2 s left,
// after all processes have restarted: the machines of three seeds refuse connections.
func at(up time.Duration, need Need) Situation {
	now := started.Add(up)
	return Situation{Now: now, Started: started, Need: need, Deadline: now.Add(2 * time.Second), Deployment: Deployment{Seeds: Seeds{Tried: 3, Refused: 3}}}
}

// reached returns a deployment in which another daemon was heard of after the given time, with
// entries that started the given times before this process.
func reached(up time.Duration, fresh bool, earlier ...time.Duration) Deployment {
	var peers []Peer
	for _, e := range earlier {
		peers = append(peers, Peer{Started: started.Add(-e), Entry: true, Fresh: fresh})
	}
	return Summarize(started, started.Add(up), peers, Seeds{Tried: 3})
}

// Each case is a situation of an entry that has just started. Guards against requests that are held
// although another entry serves them sooner or nothing will be ready, and against requests that are
// rejected although all entries have restarted.
func TestDecide(t *testing.T) {
	ms := time.Millisecond
	for name, c := range map[string]struct {
		situation func() Situation
		action    Action
		retry     time.Duration // least and, with 100 ms more, greatest retry delay; 0: none
	}{
		"no replica runs yet, and there is time until they do": {func() Situation { return at(50*ms, Configuration) }, Hold, 0},
		"no replica runs yet, and the caller has 800 ms": {func() Situation {
			s := at(50*ms, Configuration)
			s.Deadline = s.Now.Add(800 * ms)
			return s
		}, Refuse, 1850 * ms},
		"replicas are overdue, so that they will probably take longer": {func() Situation { return at(9*time.Second, Configuration) }, Refuse, 2950 * ms},
		"the machines of the replicas are silent, as behind a lost link": {func() Situation {
			s := at(50*ms, Configuration)
			s.Deployment.Seeds.Refused = 1
			return s
		}, Refuse, 0},
		"nothing has been tried yet": {func() Situation {
			s := at(0, Configuration)
			s.Deployment = Deployment{}
			return s
		}, Refuse, 0},
		"the others have restarted too, their clocks are behind": {func() Situation {
			s := at(1300*ms, Configuration)
			s.Deployment = reached(1200*ms, true, 2*time.Second, 3*time.Second)
			return s
		}, Hold, 0},
		"the others have been up": {func() Situation {
			s := at(20*ms, Configuration)
			s.Deployment = reached(10*ms, true, time.Hour, time.Hour)
			return s
		}, Refuse, otherEntryRetryAfter},
		"the others have been up and the group has no leader: they serve what they know": {func() Situation {
			s := at(20*ms, Upstream)
			s.Deployment = reached(10*ms, false, time.Hour, time.Hour)
			return s
		}, Refuse, otherEntryRetryAfter},
		"nobody knows whether the configuration is the newest": {func() Situation {
			s := at(20*ms, FreshConfiguration)
			s.Deployment = reached(10*ms, false, time.Hour, time.Hour)
			return s
		}, Hold, 0},
		"one of three other entries has been up": {func() Situation {
			s := at(20*ms, Configuration)
			s.Deployment = reached(10*ms, true, time.Hour, 0, 0)
			return s
		}, Hold, 0},
		"the only entry, with replicas that are up": {func() Situation {
			s := at(20*ms, Upstream)
			s.Deployment = reached(10*ms, true)
			return s
		}, Hold, 0},
		"the upstream needs more time than is left": {func() Situation {
			s := at(1300*ms, Upstream)
			s.Deployment, s.Work = reached(1200*ms, true), 1500*ms
			return s
		}, Refuse, 600 * ms},
		"a request that is held stays when it takes longer than expected": {func() Situation {
			s := at(9*time.Second, Configuration)
			s.Waiting = true
			return s
		}, Hold, 0},
		"a request that is held comes to its deadline": {func() Situation {
			s := at(3*time.Second, Configuration)
			s.Waiting, s.Deadline = true, s.Now.Add(answerMargin)
			return s
		}, Refuse, 1450 * ms},
		"a request that is held when other entries turn out to have been up": {func() Situation {
			s := at(300*ms, Configuration)
			s.Waiting, s.Deployment = true, reached(200*ms, true, time.Hour)
			return s
		}, Refuse, otherEntryRetryAfter},
		"what it lacked is known, and the entry drains": {func() Situation {
			s := at(50*ms, Upstream)
			s.Met, s.Draining = true, true
			return s
		}, Proceed, 0},
		"the entry drains": {func() Situation {
			s := at(50*ms, Upstream)
			s.Draining, s.Waiting = true, true
			return s
		}, Refuse, 0},
		"the start is long ago": {func() Situation { return at(StartPeriod, Upstream) }, Refuse, 0},
		"the entry has lost the control group": {func() Situation {
			s := at(5*time.Second, FreshConfiguration)
			s.Lost, s.Deployment = true, reached(10*ms, false)
			return s
		}, Refuse, 0},
		"too many are held": {func() Situation {
			s := at(50*ms, Upstream)
			s.Held = MaxHeld
			return s
		}, Refuse, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := c.situation()
			v := Decide(s)
			g.Expect(v.Action).To(Equal(c.action), v.Reason)
			if c.retry == 0 {
				g.Expect(v.RetryAfter).To(BeZero(), v.Reason)
			} else {
				g.Expect(v.RetryAfter).To(And(BeNumerically(">=", c.retry), BeNumerically("<=", c.retry+100*ms)), v.Reason)
			}
			if v.Action == Hold {
				g.Expect(v.Until).To(And(BeTemporally(">", s.Now), BeTemporally("<", s.Deadline)))
			}
		})
	}
}

// Guards against entries that load the replicas without end, or all at the same moment.
func TestNextPull(t *testing.T) {
	g := NewWithT(t)
	for up, mean := range map[time.Duration]time.Duration{0: startPullInterval, 6 * time.Second: 600 * time.Millisecond} {
		least, again := NextPull(up, false, 0)
		most, _ := NextPull(up, false, 1)
		g.Expect([]time.Duration{least, most}).To(Equal([]time.Duration{mean / 2, mean * 3 / 2}))
		_, complete := NextPull(up, true, 0)
		g.Expect([]bool{again, complete}).To(Equal([]bool{true, up < completePullPeriod}), "the first upstream of each service may be one of many")
	}
	_, ok := NextPull(StartPeriod, false, 0)
	g.Expect(ok).To(BeFalse())
}

// Guards against a request that is served late because its wait does not end with the event, that
// outlives its caller or its deadline, and against more held requests than the bound.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := NewGate(log.New(io.Discard))
		met := false // read and written while all other goroutines are blocked
		now := time.Now()
		look := func() Situation {
			return Situation{Started: now, Need: Configuration, Met: met, Deadline: now.Add(3 * time.Second), Deployment: Deployment{Seeds: Seeds{3, 3}}}
		}
		ctx, leave := context.WithCancel(t.Context())
		left, refused := make(chan time.Duration, 1), make(chan time.Duration, 1)
		served := make(chan Verdict, MaxHeld)
		go func() { gate.Await(ctx, "left", look); left <- time.Since(now) }()
		go func() {
			gate.Await(t.Context(), "refused", func() Situation { s := look(); s.Met = false; return s })
			refused <- time.Since(now)
		}()
		for range MaxHeld - 2 {
			go func() { served <- gate.Await(t.Context(), "served", look) }()
		}
		synctest.Wait()
		g.Expect(gate.Await(t.Context(), "one too many", look).Action).To(Equal(Refuse))
		time.Sleep(time.Second)
		leave()
		g.Expect(<-left).To(Equal(time.Second))
		synctest.Wait()
		met = true
		gate.Notify()
		synctest.Wait()
		g.Expect(served).To(HaveLen(MaxHeld - 2))
		g.Expect((<-served).Action).To(Equal(Proceed))
		g.Expect(time.Since(now)).To(Equal(time.Second), "the wait did not end with the event")
		g.Expect(<-refused).To(Equal(3*time.Second - answerMargin))
		g.Expect(gate.held.Load()).To(BeZero())
	})
}
