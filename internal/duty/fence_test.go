package duty

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/weights"
)

var (
	fenceSchedules = flag.Uint64("fence.schedules", 200, "number of schedules of calls to receivers that check no fencing token")
	fenceFirst     = flag.Uint64("fence.first", 0, "seed of the first of these schedules")
)

// fenceFailedSeeds are schedules that fail with one of the five parts taken out: 86 without the guard
// time, 550 without the check before each call, 241 without the end of the connections with the lease,
// 956 without the settle delay, 454 without the condition on how long the predecessor led. They always
// run.
var fenceFailedSeeds = []uint64{86, 550, 241, 956, 454}

const (
	simOrder    = 3 * time.Second        // holders do not act A, B, A within this time
	simThaw     = 300 * time.Millisecond // calls this soon after a thaw or the return of a link do not count
	simInterval = 2 * time.Second        // of usage
	simSchedule = 45 * time.Second
)

// Guards against two holders that act at the same time where the receivers check no fencing token:
// the guard time of a new leader, or its settle delay if its predecessor led for the guard time, the
// check of the lease before each call, and the end of the connections with the lease must together
// keep their calls apart.
func TestReceiversWithoutFencingGetNoCallOfEarlierHolder(t *testing.T) {
	counted, terms := 0, uint64(0)
	seeds := slices.Clone(fenceFailedSeeds)
	for i := range *fenceSchedules {
		seeds = append(seeds, *fenceFirst+i)
	}
	for _, seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			s := playFenceSchedule(t.Context(), seed)
			if s.failure != "" {
				t.Errorf("seed %d: %v", seed, s)
			}
			counted += s.counted
			terms += s.terms
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d schedules, %d terms, %d counted calls", *fenceSchedules, terms, counted)
	NewWithT(t).Expect(terms).To(BeNumerically(">", *fenceSchedules), "the schedules have no takeovers")
	NewWithT(t).Expect(counted).To(BeNumerically(">", 10*int(*fenceSchedules)), "the schedules have no calls")
}

// playFenceSchedule runs the usage and the weights duty of three holders under random faults.
func playFenceSchedule(ctx context.Context, seed uint64) *dutySim {
	s := &dutySim{seed: seed, began: time.Now(), state: state.New(), calls: map[string]uint64{}, acts: map[string][]act{}, engines: map[string]*Report{}}
	ctx, cancel := context.WithTimeout(ctx, simSchedule)
	defer cancel()
	rnd := s.random("schedule")
	s.strikeOneIn = []int{4, 8, 20}[rnd.IntN(3)]
	s.longestElection = []time.Duration{2 * simHeartbeat, time.Second}[rnd.IntN(4)/3]
	s.longestFreeze = time.Duration(2+rnd.IntN(2)) * time.Second
	s.shortReigns = rnd.IntN(3) == 0
	var engines []upstream.Announcement
	for i := range []int{1, 4}[rnd.IntN(2)] {
		e := upstream.Announcement{ID: fmt.Sprint("engine", i), Service: "engines", Zone: "z", Incarnation: 1, Models: "a=1"}
		engines = append(engines, e)
		s.engines[e.ID] = &Report{Versions: map[string]uint64{"a": 1}}
	}
	published := stubModels{models: []string{"a"}, period: 1500 * time.Millisecond, began: s.began}
	list := func() []upstream.Announcement { return engines }
	for i := range 3 {
		h := &simHolder{s: s, name: fmt.Sprint("h", i), rate: 1 + simMaxDrift*float64(2*rnd.IntN(2)-1)}
		s.holders = append(s.holders, h)
		newTerm := func() *Term {
			t := NewTerm(h.leadership, h.name, h.real(simGuard))
			t.settleDelay = h.real(t.settleDelay)
			return t
		}
		usage := NewUsage(newTerm(), simInterval, h, h, log.New(io.Discard))
		w := NewWeights(newTerm().ActingEarly(), published, list, weights.NewVersionTable(), h, log.New(io.Discard))
		start := between(rnd, 0, roundInterval)
		go func() {
			time.Sleep(start)
			go w.Run(ctx)
			go usage.Run(ctx)
			for ; ctx.Err() == nil; time.Sleep(roundInterval) {
				usage.Record(RequestCounts{Source: "entry", Intervals: map[uint64]map[string]int64{intervalOf(time.Now(), simInterval): {"a": 1}}})
			}
		}()
	}
	go s.lead(ctx)
	for ctx.Err() == nil {
		h := s.holders[rnd.IntN(len(s.holders))]
		d := between(rnd, 50*time.Millisecond, 5*time.Second)
		switch rnd.IntN(3) {
		case 0:
			h.freeze(d)
		case 1:
			h.cut(d)
		case 2:
			h.isolate(d)
		}
		time.Sleep(between(rnd, 100*time.Millisecond, 8*time.Second))
	}
	time.Sleep(time.Minute) // until all calls have ended
	s.mu.Lock()
	defer s.mu.Unlock()
	return s
}
