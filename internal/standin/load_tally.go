package standin

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/apricotstream/apricotstream/internal/result"
)

// maxLatency is the upper end of the latency histogram.
const maxLatency = 5 * time.Minute

// outcome describes the end of one request.
type outcome struct {
	code       result.Code
	elapsed    time.Duration // since the intended time of sending
	firstToken time.Duration // time to the first token, from the intended time of sending; 0 if there was none
	tokens     int
	wrong      bool // the response belongs to another request or is incomplete
}

// flowTally counts the outcomes of one flow.
type flowTally struct {
	flow     Flow
	from, to time.Time // time range that counts for the shares

	mu           sync.Mutex
	latency      *hdrhistogram.Histogram // microseconds, of successful requests
	firstToken   *hdrhistogram.Histogram // microseconds
	codes        map[result.Code]int
	sent         int
	unsent       int // not sent because too many requests were in flight
	wrong        int
	tokens       int // of all responses
	requested    int // requests with an intended time between from and to
	servedTokens int // tokens of responses that arrived between from and to
}

func newFlowTally(f Flow, from, to time.Time) *flowTally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Microseconds(), 3) }
	return &flowTally{flow: f, from: from, to: to, latency: h(), firstToken: h(), codes: map[result.Code]int{}}
}

// isMeasured reports whether at is in the time range that counts for the shares.
func (t *flowTally) isMeasured(at time.Time) bool { return at.After(t.from) && at.Before(t.to) }

// recordUnsent counts a request that was not sent.
func (t *flowTally) recordUnsent(intended time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isMeasured(intended) {
		t.requested++
	}
	t.unsent++
}

// record counts the outcome of a request.
func (t *flowTally) record(intended time.Time, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isMeasured(intended) {
		t.requested++
	}
	t.sent++
	t.codes[o.code]++
	if o.wrong {
		t.wrong++
	}
	if o.code != result.OK {
		return
	}
	t.tokens += o.tokens
	if t.isMeasured(intended.Add(o.elapsed)) {
		t.servedTokens += o.tokens
	}
	_ = t.latency.RecordValue(min(o.elapsed, maxLatency).Microseconds())
	if o.firstToken > 0 {
		_ = t.firstToken.RecordValue(min(o.firstToken, maxLatency).Microseconds())
	}
}

// demand estimates the tokens that the flow requested: the number of requests times the
// mean tokens of its responses.
func (t *flowTally) demand() float64 {
	mean := float64(t.flow.TokenLimit) * 5 / 8 // mean length of a fake engine's completion
	if t.flow.TokenLimit == 0 {
		mean = 1
	}
	if n := t.codes[result.OK]; n > 0 {
		mean = float64(t.tokens) / float64(n)
	}
	return mean * float64(t.requested)
}
