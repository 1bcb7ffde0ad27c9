package telemetry

import (
	"runtime/metrics"

	"github.com/charmbracelet/log"
)

// Names of the runtime's metrics.
const (
	liveHeapMetric   = "/gc/heap/live:bytes"
	heapMetric       = "/memory/classes/heap/objects:bytes"
	totalMetric      = "/memory/classes/total:bytes"
	releasedMetric   = "/memory/classes/heap/released:bytes"
	stacksMetric     = "/memory/classes/heap/stacks:bytes"
	goroutinesMetric = "/sched/goroutines:goroutines"
	cyclesMetric     = "/gc/cycles/total:gc-cycles"
)

// LogProcessStatus writes one line with the memory and the goroutines of the process, and
// with fields of the caller. Sizes are in kilobytes.
func LogProcessStatus(logger *log.Logger, fields ...any) {
	samples := []metrics.Sample{{Name: liveHeapMetric}, {Name: heapMetric}, {Name: totalMetric}, {Name: releasedMetric}, {Name: stacksMetric}, {Name: goroutinesMetric}, {Name: cyclesMetric}}
	metrics.Read(samples)
	value := func(i int) uint64 { return samples[i].Value.Uint64() }
	kb := func(i int) uint64 { return value(i) >> 10 }
	logger.Info("Process status.", append([]any{
		"live_kb", kb(0), "heap_kb", kb(1), "memory_kb", kb(2) - kb(3), "stacks_kb", kb(4), "goroutines", value(5), "gc_cycles", value(6),
	}, fields...)...)
}
