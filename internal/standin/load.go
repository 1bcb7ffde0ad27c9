package standin

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
)

// Bounds of a load, so that a slip of the hand cannot flood a machine.
const (
	maxLoadTime    = 10 * time.Minute
	maxOutstanding = 4096    // requests under way at once over all flows
	maxLoadCount   = 1 << 20 // requests of a whole load
	// warmUp is left out of the shares, as is what ends after the load's time.
	warmUp = 2 * time.Second
	// grace is how long an answer is waited for beyond the flow's timeout.
	grace          = 2 * time.Second
	longestTimeout = 30 * time.Second // of a flow without one
)

// Load sends the requests of several client accounts in an open loop: each
// leaves at its intended time, however late the answers to earlier ones are.
type Load struct {
	Entries []string
	Flows   []Flow
	Time    time.Duration
	Seed    uint64

	addresses addressList
	client    http.Client
	slots     chan struct{}
	wg        sync.WaitGroup
}

// Run sends the load and waits for its answers.
func (l *Load) Run(ctx context.Context) (LoadReport, error) {
	l.Time = min(l.Time, maxLoadTime)
	l.slots = make(chan struct{}, maxOutstanding)
	l.client.Transport = &http.Transport{MaxIdleConnsPerHost: maxOutstanding / 8}
	defer l.client.CloseIdleConnections()
	if err := l.addresses.refresh(ctx, l.Entries); err != nil {
		return LoadReport{}, err
	}
	tallies := make([]*flowTally, len(l.Flows))
	began := time.Now()
	var senders sync.WaitGroup
	for i, f := range l.Flows {
		f.run = strconv.FormatInt(began.UnixNano(), 36)
		tallies[i] = newFlowTally(f, began.Add(warmUp), began.Add(l.Time))
		senders.Go(func() { l.send(ctx, f, tallies[i], began, rand.New(rand.NewPCG(l.Seed, uint64(i)))) })
	}
	senders.Wait()
	l.wg.Wait()
	return newLoadReport(tallies, time.Since(began)), nil
}

// send starts the requests of one flow, with exponential gaps between them.
func (l *Load) send(ctx context.Context, f Flow, t *flowTally, began time.Time, rnd *rand.Rand) {
	next := began
	for n := range maxLoadCount / len(l.Flows) {
		next = next.Add(time.Duration(rnd.ExpFloat64() / f.Rate * float64(time.Second)))
		if next.Sub(began) > l.Time {
			return
		}
		if !periodic.Pause(ctx, time.Until(next)) {
			return
		}
		l.start(ctx, f, t, n, next)
	}
}

func (l *Load) start(ctx context.Context, f Flow, t *flowTally, n int, intended time.Time) {
	select {
	case l.slots <- struct{}{}:
	default:
		t.unsent(intended)
		return
	}
	l.wg.Go(func() {
		defer func() { <-l.slots }()
		if err := l.addresses.renew(ctx, l.Entries); err != nil {
			t.take(intended, outcome{code: result.Internal})
			return
		}
		t.take(intended, l.one(ctx, f, n, intended))
	})
}

// one sends request n of f; its latency counts from the intended time.
func (l *Load) one(ctx context.Context, f Flow, n int, intended time.Time) outcome {
	var o outcome
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(f.Timeout, longestTimeout)+grace)
	defer cancel()
	c := Caller{Key: f.Key, client: l.client}
	r, first, err := f.send(ctx, &c, l.addresses.next(), n)
	o.took = time.Since(intended)
	if !first.IsZero() {
		o.first = first.Sub(intended)
	}
	switch {
	case err != nil:
		o.code = codeOrInternal(err)
	case r.Status >= http.StatusBadRequest:
		o.code = r.Code()
	default:
		o.tokens = f.tokens(r)
		o.wrong = !f.belongs(r, n)
	}
	return o
}

func codeOrInternal(err error) result.Code {
	if c := result.CodeOf(err); c != result.OK {
		return c
	}
	return result.Internal
}
