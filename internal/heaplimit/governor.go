package heaplimit

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/periodic"
)

const (
	// adjustInterval is short compared with the time in which a live heap grows by its
	// minimum runway.
	adjustInterval = 200 * time.Millisecond
	// minChange is the smallest change of the limit, because each change stops all
	// goroutines for a moment.
	minChange = 4 << 20
)

// Names of the runtime's metrics.
const (
	liveMetric     = "/gc/heap/live:bytes"
	totalMetric    = "/memory/classes/total:bytes"
	releasedMetric = "/memory/classes/heap/released:bytes"
	objectsMetric  = "/memory/classes/heap/objects:bytes"
	freeMetric     = "/memory/classes/heap/free:bytes"
)

// Governor adjusts the soft memory limit of the Go runtime to the live heap. It is not safe
// for concurrent use, and a process should have only one.
type Governor struct {
	log     *log.Logger
	memory  int64 // bytes that the process may use
	limit   int64 // as set; 0 before the first call of Adjust
	short   bool  // the live heap lacks its minimum runway
	samples []metrics.Sample
}

// NewGovernor returns a governor for a process that may use memory bytes.
func NewGovernor(memory int64, logger *log.Logger) *Governor {
	return &Governor{log: logger, memory: memory, samples: []metrics.Sample{
		{Name: liveMetric}, {Name: totalMetric}, {Name: releasedMetric}, {Name: objectsMetric}, {Name: freeMetric},
	}}
}

// Run adjusts the limit until ctx ends.
func (g *Governor) Run(ctx context.Context) { periodic.Every(ctx, adjustInterval, g.Adjust) }

// Adjust sets the limit for the present live heap. It logs when memory becomes short, and
// when it no longer is.
func (g *Governor) Adjust() {
	u := g.usage()
	limit, hasRunway := limitFor(g.memory, u)
	if change := limit - g.limit; change >= minChange || change <= -minChange {
		debug.SetMemoryLimit(limit)
		g.limit = limit
	}
	if g.short != hasRunway {
		return
	}
	g.short = !hasRunway
	if g.short {
		g.log.Warn("Memory is short; collections take more of the processor.", "live_kb", u.live>>10, "other_kb", u.other>>10, "limit_kb", g.limit>>10, "memory_kb", g.memory>>10)
	} else {
		g.log.Info("Memory is no longer short.", "live_kb", u.live>>10, "other_kb", u.other>>10, "limit_kb", g.limit>>10)
	}
}

func (g *Governor) usage() usage {
	metrics.Read(g.samples)
	value := func(i int) int64 { return int64(g.samples[i].Value.Uint64()) }
	return usage{live: value(0), other: value(1) - value(2) - value(3) - value(4)}
}
