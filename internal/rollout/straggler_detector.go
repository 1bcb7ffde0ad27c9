package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the detection and moving of stragglers.
const (
	rateWindow      = 500 * time.Millisecond
	minSlowWindows  = 2    // consecutive slow windows after which a sample is a straggler
	slowFactor      = 4    // a window is slow if it is this many times slower than the median
	minMeasurements = 4    // required for a median
	defaultMaxMoves = 2    // per sample
	maxRereadShare  = 0.05 // limit of rereadTokens, as a share of the generated tokens
	maxMeasurements = 64   // latest measurements that are retained
)

// sampleProgress is the progress of a sample at its current upstream.
type sampleProgress struct {
	startedAt    time.Time
	firstTokenAt time.Time // zero before the first token
	prefixTokens int       // number of tokens from earlier upstreams
	tokens       int       // number of tokens from the current upstream

	windowStart       time.Time // start of the current window
	windowStartTokens int       // value of tokens at windowStart
	slow              int       // number of consecutive slow windows
}

// StragglerDetector finds the stragglers of a step: samples that are generated far slower
// than the others, or that wait far longer for their first token. It compares rates only,
// never lengths of samples, so that moves don't bias the lengths that the trainer gets. It
// is a state machine without I/O.
type StragglerDetector struct {
	maxMoves          int
	running           map[int]*sampleProgress // by slot
	moves             map[int]int             // by slot
	tokenRates        []float64               // tokens per second in the latest windows of all samples
	firstTokenSeconds []float64               // time to the first token of the latest samples
	totalTokens       int                     // tokens generated
	rereadTokens      int                     // tokens that upstreams processed again after moves
}

// NewStragglerDetector returns a StragglerDetector that allows at most the given number of
// moves of each sample.
func NewStragglerDetector(moves int) *StragglerDetector {
	return &StragglerDetector{maxMoves: moves, running: map[int]*sampleProgress{}, moves: map[int]int{}}
}

// StartSample records that an upstream starts to generate a sample, resuming after
// prefixTokens tokens.
func (d *StragglerDetector) StartSample(now time.Time, slot, prefixTokens int) {
	d.running[slot] = &sampleProgress{startedAt: now, prefixTokens: prefixTokens, windowStart: now}
}

// RecordTokens adds newly generated tokens to a sample.
func (d *StragglerDetector) RecordTokens(now time.Time, slot, tokens int) {
	sample := d.running[slot]
	if sample == nil || tokens == 0 {
		return
	}
	if sample.firstTokenAt.IsZero() {
		sample.firstTokenAt, sample.windowStart, sample.slow = now, now, 0
		d.firstTokenSeconds = appendBounded(d.firstTokenSeconds, now.Sub(sample.startedAt).Seconds())
	}
	sample.tokens += tokens
	d.totalTokens += tokens
}

// EndSample records that the attempt at the current upstream has ended.
func (d *StragglerDetector) EndSample(now time.Time, slot int) {
	sample := d.running[slot]
	if sample != nil && now.After(sample.firstTokenAt) && !sample.firstTokenAt.IsZero() {
		d.tokenRates = appendBounded(d.tokenRates, float64(sample.tokens)/now.Sub(sample.firstTokenAt).Seconds())
	}
	delete(d.running, slot)
}

// Stragglers returns the slots of the samples to move now. It counts these moves. Samples
// with the fewest tokens come first, since maxRereadShare limits the reread tokens.
func (d *StragglerDetector) Stragglers(now time.Time) []int {
	var out []int
	for slot, sample := range d.running {
		if now.Sub(sample.windowStart) >= rateWindow {
			d.endWindow(now, sample)
		}
		if sample.slow >= minSlowWindows && d.mayMove(slot, sample) {
			out = append(out, slot)
		}
	}
	slices.SortFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(d.running[a].prefixTokens+d.running[a].tokens, d.running[b].prefixTokens+d.running[b].tokens), cmp.Compare(a, b))
	})
	for i, slot := range out {
		sample := d.running[slot]
		if !d.mayMove(slot, sample) {
			return out[:i]
		}
		sample.slow = 0
		d.moves[slot]++
		d.rereadTokens += sample.prefixTokens + sample.tokens
	}
	return out
}

// endWindow ends the current window of a sample and counts it if it was slow.
func (d *StragglerDetector) endWindow(now time.Time, sample *sampleProgress) {
	slow := false
	if sample.firstTokenAt.IsZero() {
		medianValue, ok := median(d.firstTokenSeconds)
		slow = ok && now.Sub(sample.startedAt).Seconds() > slowFactor*medianValue
	} else {
		rate := float64(sample.tokens-sample.windowStartTokens) / now.Sub(sample.windowStart).Seconds()
		medianValue, ok := median(d.tokenRates)
		slow = ok && rate < medianValue/slowFactor
		d.tokenRates = appendBounded(d.tokenRates, rate)
	}
	sample.windowStart = now
	sample.windowStartTokens = sample.tokens
	if !slow {
		sample.slow = 0
		return
	}
	sample.slow++
}

// mayMove reports whether a move of the sample stays within maxMoves and maxRereadShare.
func (d *StragglerDetector) mayMove(slot int, sample *sampleProgress) bool {
	cost := sample.prefixTokens + sample.tokens
	return d.moves[slot] < d.maxMoves && float64(d.rereadTokens+cost) <= maxRereadShare*float64(d.totalTokens)
}

// appendBounded appends v and keeps the latest maxMeasurements values.
func appendBounded(list []float64, v float64) []float64 {
	list = append(list, v)
	return list[max(0, len(list)-maxMeasurements):]
}

// median returns the upper median; false if there are fewer than minMeasurements values.
func median(list []float64) (float64, bool) {
	if len(list) < minMeasurements {
		return 0, false
	}
	s := slices.Sorted(slices.Values(list))
	return s[len(s)/2], true
}
