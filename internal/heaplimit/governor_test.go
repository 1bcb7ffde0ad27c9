package heaplimit

import (
	"io"
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const mb = 1 << 20

// runway returns how much may be allocated beside a live heap of the given size before the
// next collection has to end. adjust sets the limit.
func runway(live int, adjust func()) int64 {
	held := make([][]byte, 0, live/(64<<10))
	for range cap(held) {
		held = append(held, make([]byte, 64<<10))
	}
	for range 2 { // the second one works under the limit for this heap
		runtime.GC()
		adjust()
	}
	samples := []metrics.Sample{{Name: "/gc/heap/goal:bytes"}, {Name: liveMetric}}
	metrics.Read(samples)
	runtime.KeepAlive(held)
	return int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64())
}

// A leader whose live heap reached the soft limit spent its whole processor share on
// collections, lost its lease and acknowledged no change for seconds.
func TestLiveHeapAtSoftLimitKeepsRoomBetweenCollections(t *testing.T) {
	g := NewWithT(t)
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(math.MaxInt64))
	const memory, live = 256 * mb, 150 * mb // the base limit is 153.6 MB
	governor := NewGovernor(memory, log.New(io.Discard))
	g.Expect(runway(live, governor.Adjust)).To(BeNumerically(">=", int64(minRunway*live)-minChange))
}

// Whatever the live heap, the limit stays within the memory of the process, and only a heap
// that is too large for it gets less than its runway.
func TestLimitLeavesRunwayWithinMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		memory := rapid.Int64Range(64*mb, 4096*mb).Draw(t, "memory")
		u := usage{live: rapid.Int64Range(0, memory).Draw(t, "live"), other: rapid.Int64Range(0, memory/4).Draw(t, "other")}
		limit, hasRunway := limitFor(memory, u)
		g.Expect(limit).To(BeNumerically(">=", int64(baseFraction*float64(memory))))
		g.Expect(limit).To(BeNumerically("<=", int64(maxFraction*float64(memory))))
		usable := float64(limit)*(1-reservedFraction) - float64(u.other) - float64(u.live)
		if hasRunway {
			g.Expect(usable).To(BeNumerically(">=", minRunway*float64(u.live)-1))
		} else {
			g.Expect(limit).To(Equal(int64(maxFraction * float64(memory))))
		}
	})
}
