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

// Limits of a load, so that wrong options cannot overload a machine.
const (
	maxLoadTime     = 10 * time.Minute
	maxInFlight     = 4096    // requests in flight over all flows
	maxLoadRequests = 1 << 20 // requests of one load over all flows
	// warmUp is the time at the start of a load that does not count for the shares.
	// Requests that end after Load.Time do not count either.
	warmUp = 2 * time.Second
	// responseGrace is added to the timeout of the flow when waiting for a response.
	responseGrace  = 2 * time.Second
	defaultTimeout = 30 * time.Second // of a flow without a timeout
)

// Load sends the requests of several client accounts in an open loop: each request is sent
// at its intended time, regardless of the responses to earlier ones.
type Load struct {
	Entries []string
	Flows   []Flow
	Time    time.Duration // how long to send requests
	Seed    uint64        // of the times between requests

	addresses addressList
	client    http.Client
	slots     chan struct{}
	wg        sync.WaitGroup
}

// Run sends the load, waits for the responses and returns the report.
func (l *Load) Run(ctx context.Context) (LoadReport, error) {
	l.Time = min(l.Time, maxLoadTime)
	l.slots = make(chan struct{}, maxInFlight)
	l.client.Transport = &http.Transport{MaxIdleConnsPerHost: maxInFlight / 8}
	defer l.client.CloseIdleConnections()
	if err := l.addresses.refresh(ctx, l.Entries); err != nil {
		return LoadReport{}, err
	}
	tallies := make([]*flowTally, len(l.Flows))
	began := time.Now()
	var senders sync.WaitGroup
	for i, f := range l.Flows {
		f.runID = strconv.FormatInt(began.UnixNano(), 36)
		tallies[i] = newFlowTally(f, began.Add(warmUp), began.Add(l.Time))
		senders.Go(func() { l.runFlow(ctx, f, tallies[i], began, rand.New(rand.NewPCG(l.Seed, uint64(i)))) })
	}
	senders.Wait()
	l.wg.Wait()
	return newLoadReport(tallies, time.Since(began)), nil
}

// runFlow starts the requests of one flow, with exponentially distributed times between
// them.
func (l *Load) runFlow(ctx context.Context, f Flow, t *flowTally, began time.Time, rnd *rand.Rand) {
	next := began
	for n := range maxLoadRequests / len(l.Flows) {
		next = next.Add(time.Duration(rnd.ExpFloat64() / f.Rate * float64(time.Second)))
		if next.Sub(began) > l.Time {
			return
		}
		if !periodic.Pause(ctx, time.Until(next)) {
			return
		}
		l.startRequest(ctx, f, t, n, next)
	}
}

// startRequest sends request n of f in a goroutine and records its outcome. It records the
// request as unsent if maxInFlight requests are in flight.
func (l *Load) startRequest(ctx context.Context, f Flow, t *flowTally, n int, intended time.Time) {
	select {
	case l.slots <- struct{}{}:
	default:
		t.recordUnsent(intended)
		return
	}
	l.wg.Go(func() {
		defer func() { <-l.slots }()
		if err := l.addresses.refreshIfOld(ctx, l.Entries); err != nil {
			t.record(intended, outcome{code: result.Internal})
			return
		}
		t.record(intended, l.sendRequest(ctx, f, n, intended))
	})
}

// sendRequest sends request n of f and returns its outcome. The latency counts from the
// intended time.
func (l *Load) sendRequest(ctx context.Context, f Flow, n int, intended time.Time) outcome {
	var o outcome
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(f.Timeout, defaultTimeout)+responseGrace)
	defer cancel()
	c := Caller{Key: f.Key, client: l.client}
	r, firstToken, err := f.send(ctx, &c, l.addresses.next(), n)
	o.elapsed = time.Since(intended)
	if !firstToken.IsZero() {
		o.firstToken = firstToken.Sub(intended)
	}
	switch {
	case err != nil:
		o.code = codeOrInternal(err)
	case r.Status >= http.StatusBadRequest:
		o.code = r.Code()
	default:
		o.tokens = f.tokens(r)
		o.wrong = !f.matches(r, n)
	}
	return o
}

// codeOrInternal returns the result code of err, or Internal if that is OK because the error
// event of a stream had no code.
func codeOrInternal(err error) result.Code {
	if c := result.CodeOf(err); c != result.OK {
		return c
	}
	return result.Internal
}
