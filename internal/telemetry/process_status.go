package telemetry

import (
	"runtime/metrics"
	"time"

	"github.com/charmbracelet/log"
)

// Names of the runtime's metrics.
const (
	liveHeapMetric    = "/gc/heap/live:bytes"
	heapMetric        = "/memory/classes/heap/objects:bytes"
	totalMetric       = "/memory/classes/total:bytes"
	releasedMetric    = "/memory/classes/heap/released:bytes"
	stacksMetric      = "/memory/classes/heap/stacks:bytes"
	limitMetric       = "/gc/gomemlimit:bytes"
	goroutinesMetric  = "/sched/goroutines:goroutines"
	cyclesMetric      = "/gc/cycles/total:gc-cycles"
	collectionMetric  = "/cpu/classes/gc/total:cpu-seconds"
	assistMetric      = "/cpu/classes/gc/mark/assist:cpu-seconds"
	runnableForMetric = "/sched/latencies:seconds"
)

// ProcessStatus logs the memory of the process and what its goroutines wait for. It is not
// safe for concurrent use.
type ProcessStatus struct {
	log     *log.Logger
	samples []metrics.Sample
	// Values at the latest line.
	cycles             uint64
	collection, assist float64 // processor seconds
	runnable           []uint64
}

// NewProcessStatus returns a ProcessStatus that counts from now on.
func NewProcessStatus(logger *log.Logger) *ProcessStatus {
	p := &ProcessStatus{log: logger}
	for _, name := range []string{liveHeapMetric, heapMetric, totalMetric, releasedMetric, stacksMetric, limitMetric, goroutinesMetric, cyclesMetric, collectionMetric, assistMetric, runnableForMetric} {
		p.samples = append(p.samples, metrics.Sample{Name: name})
	}
	p.fields()
	return p
}

// Log writes one line with the state of the process, what has happened since the latest
// line, and fields of the caller.
func (p *ProcessStatus) Log(fields ...any) {
	p.log.Info("Process status.", append(p.fields(), fields...)...)
}

// fields returns sizes in kilobytes and times in milliseconds. gc_ms is the processor time
// of the garbage collector in the collections that have ended, gc_assist_ms that part of it
// which goroutines spent on its behalf when they allocated, and runnable_max_ms the longest
// time for which a goroutine that could run waited for the processor.
func (p *ProcessStatus) fields() []any {
	metrics.Read(p.samples)
	count := func(i int) uint64 { return p.samples[i].Value.Uint64() }
	kb := func(i int) uint64 { return count(i) >> 10 }
	ms := func(now, before float64) int64 { return int64((now - before) * 1000) }
	cycles, collection, assist := count(7), p.samples[8].Value.Float64(), p.samples[9].Value.Float64()
	h := p.samples[10].Value.Float64Histogram()
	longest := longestSince(h, p.runnable)
	out := []any{
		"live_kb", kb(0), "heap_kb", kb(1), "memory_kb", kb(2) - kb(3), "stacks_kb", kb(4), "limit_kb", kb(5), "goroutines", count(6),
		"gc_cycles", cycles - p.cycles, "gc_ms", ms(collection, p.collection), "gc_assist_ms", ms(assist, p.assist), "runnable_max_ms", longest.Milliseconds(),
	}
	p.cycles, p.collection, p.assist = cycles, collection, assist
	p.runnable = append(p.runnable[:0], h.Counts...)
	return out
}

// longestSince returns the lower bound of the highest bucket that has grown since before,
// which holds earlier counts of the same histogram of seconds or is empty.
func longestSince(h *metrics.Float64Histogram, before []uint64) time.Duration {
	for i := len(h.Counts) - 1; i >= 0; i-- {
		if i < len(before) && h.Counts[i] == before[i] || h.Counts[i] == 0 {
			continue
		}
		return time.Duration(max(h.Buckets[i], 0) * float64(time.Second))
	}
	return 0
}
