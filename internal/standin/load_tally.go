package standin

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/apricotstream/apricotstream/internal/result"
)

// maxLatency is the upper end of the latency histogram.
const maxLatency = 5 * time.Minute

// outcome is how one request ended.
type outcome struct {
	code   result.Code
	took   time.Duration // from the intended sending time
	first  time.Duration // until the first token; 0 without
	tokens int
	wrong  bool // the answer belongs to another request, or is not whole
}

// flowTally counts the outcomes of one flow.
type flowTally struct {
	flow     Flow
	from, to time.Time // what counts for the shares

	mu      sync.Mutex
	latency *hdrhistogram.Histogram // microseconds, of answers
	first   *hdrhistogram.Histogram // microseconds
	codes   map[result.Code]int
	sent    int
	dropped int // the load tool itself was full
	wrong   int
	tokens  int // of all answers
	asked   int // requests meant to leave between from and to
	served  int // tokens of answers between from and to
}

func newFlowTally(f Flow, from, to time.Time) *flowTally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Microseconds(), 3) }
	return &flowTally{flow: f, from: from, to: to, latency: h(), first: h(), codes: map[result.Code]int{}}
}

func (t *flowTally) counts(at time.Time) bool { return at.After(t.from) && at.Before(t.to) }

func (t *flowTally) unsent(intended time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts(intended) {
		t.asked++
	}
	t.dropped++
}

func (t *flowTally) take(intended time.Time, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts(intended) {
		t.asked++
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
	if t.counts(intended.Add(o.took)) {
		t.served += o.tokens
	}
	_ = t.latency.RecordValue(min(o.took, maxLatency).Microseconds())
	if o.first > 0 {
		_ = t.first.RecordValue(min(o.first, maxLatency).Microseconds())
	}
}

// demand is what the flow asked for, in tokens, by the mean of its answers.
func (t *flowTally) demand() float64 {
	mean := float64(t.flow.TokenLimit) * 5 / 8 // of an engine's stand-in
	if t.flow.TokenLimit == 0 {
		mean = 1
	}
	if n := t.codes[result.OK]; n > 0 {
		mean = float64(t.tokens) / float64(n)
	}
	return mean * float64(t.asked)
}
