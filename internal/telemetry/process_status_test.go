package telemetry

import (
	"bytes"
	"runtime"
	"runtime/metrics"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A process whose memory limit makes it collect all the time must be told from one that has
// too many goroutines to run.
func TestProcessStatusShowsCollectionsSinceLastLine(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	p := NewProcessStatus(NewLogger(&out, "info"))
	p.Log()
	out.Reset()
	runtime.GC()
	runtime.GC()
	p.Log("daemons", 3)
	g.Expect(out.String()).To(ContainSubstring("daemons=3"))
	g.Expect(out.String()).NotTo(ContainSubstring("gc_cycles=0"))
	for _, field := range []string{"limit_kb=", "gc_ms=", "gc_assist_ms=", "runnable_max_ms="} {
		g.Expect(strings.Count(out.String(), field)).To(Equal(1), field)
	}
}

func TestLongestSinceIgnoresEarlierCounts(t *testing.T) {
	g := NewWithT(t)
	h := &metrics.Float64Histogram{Counts: []uint64{5, 2, 1}, Buckets: []float64{0, 0.01, 0.1, 1}}
	g.Expect(longestSince(h, nil)).To(Equal(100 * time.Millisecond))
	g.Expect(longestSince(h, []uint64{5, 1, 1})).To(Equal(10 * time.Millisecond))
	g.Expect(longestSince(h, []uint64{5, 2, 1})).To(BeZero())
}
