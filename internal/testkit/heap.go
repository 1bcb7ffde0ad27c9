package testkit

import (
	"runtime"
	"runtime/metrics"
	"time"
)

// heapSampleInterval is the time between two samples of PeakHeap. A stand-in that writes
// over loopback fills some MB in it.
const heapSampleInterval = 2 * time.Millisecond

// PeakHeap runs f and returns by how many bytes the heap grew at most meanwhile, including
// garbage that was not collected yet.
func PeakHeap(f func()) int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	heap := func() int64 {
		metrics.Read(sample)
		return int64(sample[0].Value.Uint64())
	}
	runtime.GC()
	before := heap()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f()
	}()
	peak := before
	for {
		select {
		case <-ended:
			return max(peak, heap()) - before
		case <-time.After(heapSampleInterval):
			peak = max(peak, heap())
		}
	}
}
