package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Limits of moving stragglers.
const (
	paceWindow  = 500 * time.Millisecond
	slowWindows = 2    // consecutive slow windows that make a straggler
	slowFactor  = 4    // a straggler runs this many times slower than its peers
	peersNeeded = 4    // rates that make a comparison
	maxMoves    = 2    // of one sample
	moveShare   = 0.05 // tokens read again, as a share of the tokens generated
	peersKept   = 64
)

// progress of one sample at its current upstream.
type progress struct {
	began  time.Time
	first  time.Time // arrival of the first token; zero before it
	prefix int       // tokens of earlier upstreams
	tokens int

	window      time.Time // start of the current window
	windowBegan int       // tokens at that start
	slow        int       // consecutive slow windows
}

// Pace finds the stragglers of a step: samples that run far slower than the
// others, or wait far longer for their first token. It uses rates only, never
// the length of a sample, so that moves do not bias the lengths that the trainer
// sees. It is a plain state machine.
type Pace struct {
	maxMoves int
	running  map[int]*progress // by slot
	moves    map[int]int       // by slot
	rates    []float64         // tokens a second, of the latest windows of all samples
	waits    []float64         // seconds to the first token, of the latest samples
	total    int               // tokens generated
	reread   int               // tokens that moved samples made an upstream process again
}

// NewPace returns a Pace that lets each sample move at most moves times.
func NewPace(moves int) *Pace {
	return &Pace{maxMoves: moves, running: map[int]*progress{}, moves: map[int]int{}}
}

// StartSample records that a sample runs at an upstream, continuing after prefix
// tokens.
func (p *Pace) StartSample(now time.Time, slot, prefix int) {
	p.running[slot] = &progress{began: now, prefix: prefix, window: now}
}

// RecordTokens adds newly generated tokens to a sample.
func (p *Pace) RecordTokens(now time.Time, slot, tokens int) {
	sample := p.running[slot]
	if sample == nil || tokens == 0 {
		return
	}
	if sample.first.IsZero() {
		sample.first, sample.window, sample.slow = now, now, 0
		p.waits = keep(p.waits, now.Sub(sample.began).Seconds())
	}
	sample.tokens += tokens
	p.total += tokens
}

// EndSample records that a sample no longer runs at its upstream.
func (p *Pace) EndSample(now time.Time, slot int) {
	sample := p.running[slot]
	if sample != nil && now.After(sample.first) && !sample.first.IsZero() {
		p.rates = keep(p.rates, float64(sample.tokens)/now.Sub(sample.first).Seconds())
	}
	delete(p.running, slot)
}

// Stragglers returns the slots to move now, within the budget.
func (p *Pace) Stragglers(now time.Time) []int {
	var out []int
	for slot, sample := range p.running {
		if now.Sub(sample.window) >= paceWindow {
			p.judge(now, sample)
		}
		if sample.slow >= slowWindows && p.mayMove(slot, sample) {
			out = append(out, slot)
		}
	}
	slices.SortFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.running[a].prefix+p.running[a].tokens, p.running[b].prefix+p.running[b].tokens), cmp.Compare(a, b))
	})
	for i, slot := range out {
		sample := p.running[slot]
		if !p.mayMove(slot, sample) {
			return out[:i]
		}
		sample.slow = 0
		p.moves[slot]++
		p.reread += sample.prefix + sample.tokens
	}
	return out
}

// judge ends the current window of a sample.
func (p *Pace) judge(now time.Time, sample *progress) {
	slow := false
	if sample.first.IsZero() {
		typical, ok := median(p.waits)
		slow = ok && now.Sub(sample.began).Seconds() > slowFactor*typical
	} else {
		rate := float64(sample.tokens-sample.windowBegan) / now.Sub(sample.window).Seconds()
		typical, ok := median(p.rates)
		slow = ok && rate < typical/slowFactor
		p.rates = keep(p.rates, rate)
	}
	sample.window = now
	sample.windowBegan = sample.tokens
	if !slow {
		sample.slow = 0
		return
	}
	sample.slow++
}

func (p *Pace) mayMove(slot int, sample *progress) bool {
	cost := sample.prefix + sample.tokens
	return p.moves[slot] < p.maxMoves && float64(p.reread+cost) <= moveShare*float64(p.total)
}

func keep(list []float64, v float64) []float64 {
	list = append(list, v)
	return list[max(0, len(list)-peersKept):]
}

func median(list []float64) (float64, bool) {
	if len(list) < peersNeeded {
		return 0, false
	}
	s := slices.Sorted(slices.Values(list))
	return s[len(s)/2], true
}
