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

// fakeLedger is the committed state, which all entries of a test share.
type fakeLedger struct {
	mu sync.Mutex
	s  *state.State
}

func (l *fakeLedger) apply(c state.Command) state.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.At = time.Now()
	return l.s.Apply(c)
}

// proposalFault is the fault that a proposal meets.
type proposalFault int

const (
	noFault         proposalFault = iota
	proposalLost                  // never arrives
	replyLost                     // commits, but the proposer gets no reply
	proposalDelayed               // commits after the proposer has timed out
)

// fakeFaultyLog is the control log of one entry. nextFault returns the fault of the next
// proposal.
type fakeFaultyLog struct {
	control.Log
	ledger    *fakeLedger
	nextFault func() proposalFault
}

func (f *fakeFaultyLog) Propose(ctx context.Context, c state.Command) (state.Outcome, error) {
	switch f.nextFault() {
	case noFault:
		return f.ledger.apply(c), nil
	case replyLost:
		f.ledger.apply(c)
	case proposalDelayed:
		go func() {
			time.Sleep(2 * commitTimeout)
			f.ledger.apply(c)
		}()
	}
	<-ctx.Done()
	return state.Outcome{}, result.New(result.NoQuorum, "lost")
}

var claimID = state.ClaimID{Account: "a", Key: "k"}

// A request runs at most once, although proposals and their replies may be lost or delayed
// and the request is resent. After the faults have ended, a resent request gets the actual
// result, not ClaimBusy.
func TestClaimedRequestRunsAtMostOnce(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]proposalFault{noFault, noFault, proposalLost, replyLost, proposalDelayed}), 0, 12).Draw(rt, "fates")
		ends := rapid.SliceOfN(rapid.SampledFrom([]result.Code{result.OK, result.UpstreamUnreached, result.UpstreamFailed}), 6, 6).Draw(rt, "ends")
		sendTimes := rapid.SliceOfN(rapid.IntRange(0, 8000), 6, 6).Draw(rt, "pauses")
		var o simResult
		synctest.Test(t, func(*testing.T) { o = simulateFaults(faults, ends, sendTimes) })
		g := NewWithT(rt)
		g.Expect(o.runs).To(BeNumerically("<=", 1))
		g.Expect(o.wrongBodies).To(BeEmpty())
		g.Expect(o.finalCode).NotTo(BeElementOf(result.ClaimBusy, result.NoQuorum, result.Fenced))
	})
}

type simResult struct {
	runs        int         // number of executions that may have had an effect
	wrongBodies []string    // bodies of responses that differ from the response of the execution
	finalCode   result.Code // result of a resent request after the faults have ended
}

// simulateFaults sends a request several times through three entries. faults are the faults
// of the proposals, ends the result codes of the executions, and sendTimes the times of
// sending in milliseconds.
func simulateFaults(faults []proposalFault, ends []result.Code, sendTimes []int) simResult {
	var o simResult
	var mu sync.Mutex
	ledger := &fakeLedger{s: state.New()}
	nextFault := func() proposalFault {
		mu.Lock()
		defer mu.Unlock()
		if len(faults) == 0 {
			return noFault
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
	var entries []*Runner
	for i := range 3 {
		entries = append(entries, New(&fakeFaultyLog{ledger: ledger, nextFault: nextFault}, fmt.Sprint("e", i), func(string) bool { return true }))
	}
	send := func(i int) error {
		a, err := entries[i%3].Run(context.Background(), claimID, "f", func(context.Context) (*state.Answer, error) {
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
			o.wrongBodies = append(o.wrongBodies, string(a.Body))
		}
		return err
	}
	var wg sync.WaitGroup
	for i, at := range sendTimes {
		wg.Go(func() {
			time.Sleep(time.Duration(at) * time.Millisecond)
			_ = send(i)
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	o.finalCode = result.CodeOf(send(0))
	return o
}

// If the quorum is lost right after the request ran, its response is recorded as soon as the
// quorum is back.
func TestResponseIsRecordedAfterQuorumLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ledger := &fakeLedger{s: state.New()}
		var quorumLost atomic.Bool
		first := New(&fakeFaultyLog{ledger: ledger, nextFault: func() proposalFault {
			if quorumLost.Load() {
				return proposalLost
			}
			return noFault
		}}, "e1", func(string) bool { return true })
		a, err := first.Run(context.Background(), claimID, "f", func(context.Context) (*state.Answer, error) {
			quorumLost.Store(true)
			return &state.Answer{Status: 201}, nil
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a.Status).To(Equal(201))
		time.Sleep(10 * time.Minute)
		quorumLost.Store(false)
		time.Sleep(commitTimeout + recordRetryInterval)
		again, err := New(&fakeFaultyLog{ledger: ledger, nextFault: func() proposalFault { return noFault }}, "e2", func(string) bool { return true }).
			Run(context.Background(), claimID, "f", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.Status).To(Equal(201))
		g.Expect(first.Wait(context.Background())).To(Succeed())
	})
}

func TestResentRequestWithoutAStoredResponse(t *testing.T) {
	g := NewWithT(t)
	run := func(a *state.Answer, err error) Run {
		return func(context.Context) (*state.Answer, error) { return a, err }
	}
	ok := func() proposalFault { return noFault }
	ledger := &fakeLedger{s: state.New()}
	first := New(&fakeFaultyLog{ledger: ledger, nextFault: ok}, "e1", nil)
	second := New(&fakeFaultyLog{ledger: ledger, nextFault: ok}, "e2", func(string) bool { return false })
	large := []byte(strings.Repeat("x", state.MaxStoredAnswerBytes+1))
	a, err := first.Run(context.Background(), claimID, "f", run(&state.Answer{Status: 200, Body: large}, nil))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Body).To(HaveLen(len(large)))
	_, err = second.Run(context.Background(), claimID, "f", run(nil, nil))
	g.Expect(result.CodeOf(err)).To(Equal(result.AnswerNotKept))
	b, _ := ledger.s.Encode()
	g.Expect(len(b)).To(BeNumerically("<", state.MaxStoredAnswerBytes))

	_, err = second.Run(context.Background(), claimID, "other", run(nil, nil))
	g.Expect(result.CodeOf(err)).To(Equal(result.IdempotencyKeyReused))

	another := state.ClaimID{Account: "b", Key: claimID.Key}
	a, err = second.Run(context.Background(), another, "f", run(&state.Answer{Status: 204}, nil))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Status).To(Equal(204))

	// An owner whose entry is no longer alive may have sent the request.
	orphaned := state.ClaimID{Account: "c", Key: claimID.Key}
	ledger.apply(state.Command{ClaimBegin: &state.ClaimBegin{ID: orphaned, Fingerprint: "f", Owner: "e0/1"}})
	_, err = second.Run(context.Background(), orphaned, "f", run(nil, nil))
	g.Expect(result.CodeOf(err)).To(Equal(result.OutcomeUnknown))
}
