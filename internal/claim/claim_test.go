package claim

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

// ledger is the committed state that all entries of a test share.
type ledger struct {
	mu sync.Mutex
	s  *state.State
}

func (l *ledger) apply(c state.Command) state.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.At = time.Now()
	return l.s.Apply(c)
}

// fate of one proposal.
type fate int

const (
	commits    fate = iota
	lost            // never arrives
	answerLost      // commits, but nobody hears of it
	late            // commits after the proposer has given up
)

// faultyLog is the log as one entry reaches it.
type faultyLog struct {
	control.Log
	l    *ledger
	next func() fate
}

func (f *faultyLog) Propose(ctx context.Context, c state.Command) (state.Outcome, error) {
	switch f.next() {
	case commits:
		return f.l.apply(c), nil
	case answerLost:
		f.l.apply(c)
	case late:
		go func() {
			time.Sleep(2 * commitTimeout)
			f.l.apply(c)
		}()
	}
	<-ctx.Done()
	return state.Outcome{}, result.New(result.NoQuorum, "lost")
}

var id = state.ClaimID{Account: "a", Key: "k"}

// Whatever is lost, late or doubled, a request runs at most once, and once all
// has settled a resend gets its true end, not "still runs".
func TestClaimedRequestRunsAtMostOnce(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		fates := rapid.SliceOfN(rapid.SampledFrom([]fate{commits, commits, lost, answerLost, late}), 0, 12).Draw(rt, "fates")
		ends := rapid.SliceOfN(rapid.SampledFrom([]result.Code{result.OK, result.UpstreamUnreached, result.UpstreamFailed}), 6, 6).Draw(rt, "ends")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 8000), 6, 6).Draw(rt, "pauses")
		var o observed
		synctest.Test(t, func(*testing.T) { o = runUnderFaults(fates, ends, pauses) })
		g := NewWithT(rt)
		g.Expect(o.runs).To(BeNumerically("<=", 1))
		g.Expect(o.wrong).To(BeEmpty())
		g.Expect(o.settled).NotTo(BeElementOf(result.ClaimBusy, result.NoQuorum, result.Fenced))
	})
}

type observed struct {
	runs    int         // that may have run
	wrong   []string    // answers that are not the run's
	settled result.Code // of a resend after all has settled
}

func runUnderFaults(fates []fate, ends []result.Code, pauses []int) observed {
	var o observed
	var mu sync.Mutex
	l := &ledger{s: state.New()}
	next := func() fate {
		mu.Lock()
		defer mu.Unlock()
		if len(fates) == 0 {
			return commits
		}
		f := fates[0]
		fates = fates[1:]
		return f
	}
	var entries []*Runner
	for i := range 3 {
		entries = append(entries, New(&faultyLog{l: l, next: next}, fmt.Sprint("e", i), func(string) bool { return true }))
	}
	send := func(i int) error {
		a, err := entries[i%3].Run(context.Background(), id, "f", func(context.Context) (*state.Answer, error) {
			time.Sleep(500 * time.Millisecond)
			if ends[i] == result.UpstreamUnreached {
				return nil, result.New(ends[i], "refused")
			}
			mu.Lock()
			defer mu.Unlock()
			o.runs++
			if ends[i] != result.OK {
				return nil, result.New(ends[i], "reset")
			}
			return &state.Answer{Status: 200, Body: []byte("the answer")}, nil
		})
		mu.Lock()
		defer mu.Unlock()
		if err == nil && string(a.Body) != "the answer" {
			o.wrong = append(o.wrong, string(a.Body))
		}
		return err
	}
	var wg sync.WaitGroup
	for i, p := range pauses {
		wg.Go(func() {
			time.Sleep(time.Duration(p) * time.Millisecond)
			_ = send(i)
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	o.settled = result.CodeOf(send(0))
	return o
}

// A quorum that is lost right after the request ran does not lose its answer.
func TestAnswerIsRecordedOnceTheQuorumIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := &ledger{s: state.New()}
		var down atomic.Bool
		mine := New(&faultyLog{l: l, next: func() fate {
			if down.Load() {
				return lost
			}
			return commits
		}}, "e1", func(string) bool { return true })
		a, err := mine.Run(context.Background(), id, "f", func(context.Context) (*state.Answer, error) {
			down.Store(true)
			return &state.Answer{Status: 201}, nil
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a.Status).To(Equal(201))
		time.Sleep(10 * time.Minute)
		down.Store(false)
		time.Sleep(commitTimeout + recordPause)
		again, err := New(&faultyLog{l: l, next: func() fate { return commits }}, "e2", func(string) bool { return true }).
			Run(context.Background(), id, "f", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.Status).To(Equal(201))
		g.Expect(mine.Wait(context.Background())).To(Succeed())
	})
}

func TestResendOfWhatCannotBeAnswered(t *testing.T) {
	g := NewWithT(t)
	run := func(a *state.Answer, err error) Run {
		return func(context.Context) (*state.Answer, error) { return a, err }
	}
	ok := func() fate { return commits }
	l := &ledger{s: state.New()}
	first := New(&faultyLog{l: l, next: ok}, "e1", nil)
	second := New(&faultyLog{l: l, next: ok}, "e2", func(string) bool { return false })
	large := []byte(strings.Repeat("x", state.MaxStoredAnswerBytes+1))
	a, err := first.Run(context.Background(), id, "f", run(&state.Answer{Status: 200, Body: large}, nil))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Body).To(HaveLen(len(large)))
	_, err = second.Run(context.Background(), id, "f", run(nil, nil))
	g.Expect(result.CodeOf(err)).To(Equal(result.AnswerNotKept))
	b, _ := l.s.Encode()
	g.Expect(len(b)).To(BeNumerically("<", state.MaxStoredAnswerBytes))

	_, err = second.Run(context.Background(), id, "other", run(nil, nil))
	g.Expect(result.CodeOf(err)).To(Equal(result.IdempotencyKeyReused))

	another := state.ClaimID{Account: "b", Key: id.Key}
	a, err = second.Run(context.Background(), another, "f", run(&state.Answer{Status: 204}, nil))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Status).To(Equal(204))

	// An owner that is gone has perhaps sent the request.
	gone := state.ClaimID{Account: "c", Key: id.Key}
	l.apply(state.Command{ClaimBegin: &state.ClaimBegin{ID: gone, Fingerprint: "f", Owner: "e0/1"}})
	_, err = second.Run(context.Background(), gone, "f", run(nil, nil))
	g.Expect(result.CodeOf(err)).To(Equal(result.OutcomeUnknown))
}
