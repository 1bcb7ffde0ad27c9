package batch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against retained output that takes more memory than its bound, stays for longer than
// retainedFor, or makes room by other runs than those that ended first.
func TestRetainedOutputIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		r := newRetention(rapid.IntRange(1000, 8000).Draw(rt, "limit"))
		now := time.Duration(0)
		begun, inFlight := 0, []string{}
		endedAt := map[string]time.Duration{}
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			switch op := rapid.IntRange(0, 9).Draw(rt, "op"); {
			case op < 2 || len(inFlight) == 0:
				begun++
				run := fmt.Sprint("run", begun)
				inFlight = append(inFlight, run)
				r.begin(run, RetainedOutput{Job: "j", Item: run})
			case op < 7:
				run := rapid.SampledFrom(inFlight).Draw(rt, "run")
				r.append(run, Event{Data: strings.Repeat("x", rapid.IntRange(0, 900).Draw(rt, "size"))})
			case op < 9:
				run := rapid.SampledFrom(inFlight).Draw(rt, "run")
				inFlight = slices.DeleteFunc(inFlight, func(x string) bool { return x == run })
				endedAt[run] = now
				r.end(now, run, rapid.Bool().Draw(rt, "complete"))
			default:
				now += time.Duration(rapid.IntRange(1, 2000).Draw(rt, "ms")) * ms
				r.expire(now)
				for _, run := range r.ended {
					g.Expect(now-endedAt[run]).To(BeNumerically("<", retainedFor), run)
				}
			}
			sum := 0
			for run, x := range r.runs {
				sum += x.bytes
				g.Expect(slices.Contains(inFlight, run)).To(Equal(!x.ended))
			}
			g.Expect(r.bytes).To(Equal(sum))
			g.Expect(sum).To(BeNumerically("<=", r.limit))
			g.Expect(slices.IsSortedFunc(r.ended, func(a, b string) int { return int(endedAt[a] - endedAt[b]) })).To(BeTrue())
		}
	})
}

// Guards against a run that loses its first events when the leader acknowledges them, an answer that is
// larger than the leader asked for, and output of jobs that it does not have.
func TestRetainedOutputIsAnsweredWithinTheBoundOfTheLeader(t *testing.T) {
	g := NewWithT(t)
	r := newRetention(maxRetainedBytes)
	for i, run := range []string{"first", "second", "other", "running", "empty"} {
		job := "j"
		if run == "other" {
			job = "k"
		}
		r.begin(run, RetainedOutput{Job: job, Item: run})
		if run != "empty" {
			for _, e := range testEvents(1, 100, 3) {
				r.append(run, e)
			}
		}
		if run != "running" {
			r.end(time.Duration(i)*ms, run, false)
		}
	}
	items := func(out []RetainedOutput) (ids []string) {
		for _, o := range out {
			g.Expect(o.Events).To(HaveLen(100))
			ids = append(ids, o.Item)
		}
		return ids
	}
	g.Expect(items(r.outputs([]string{"j"}, maxRetainedBytes))).To(Equal([]string{"running", "second", "first"}))
	g.Expect(items(r.outputs([]string{"j"}, 2*r.runs["first"].bytes+100))).To(Equal([]string{"running", "second"}))
	r.expire(retainedFor)
	g.Expect(items(r.outputs([]string{"j"}, maxRetainedBytes))).To(Equal([]string{"running", "second"}))
	g.Expect(RetainedLimit(32 << 20)).To(Equal(2 << 20))
	g.Expect(RetainedLimit(1 << 40)).To(Equal(maxRetainedBytes))
}
