// Package membudget bounds the memory of what a process buffers for others, all together: bodies of
// callers, answers of upstreams, and parts of streams. Each of them has a bound of its own, but
// many at once would take the memory of the process, and all other requests would end with it.
package membudget

import (
	"math"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// shareOfMemory is the part of a process's memory that may be buffered. The rest is for the
	// process itself, and for garbage that has not been collected.
	shareOfMemory = 0.35
	// smallBytes is the size up to which a buffer may use the whole budget. Larger ones leave
	// a part of it, so that a few of them never keep small requests out.
	smallBytes = 64 << 10
	// smallShare is the part of the budget that is kept for small buffers.
	smallShare = 0.25
)

var refusals = metrics.NewCounter("apricotstream_buffers_refused_total")

// Budget is a number of bytes that buffers share. It may be used by many goroutines. A nil Budget
// has no bound.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// ForMemory returns the budget of a process that may use memory bytes, nil if that is 0.
func ForMemory(memory int64) *Budget {
	if memory <= 0 {
		return nil
	}
	return New(int64(shareOfMemory * float64(memory)))
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Fits reports whether a buffer of n bytes fits into the budget if there is no other.
func (b *Budget) Fits(n int64) bool { return b == nil || n <= b.limitFor(n) }

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

func (b *Budget) limitFor(n int64) int64 {
	if n <= smallBytes {
		return b.limit
	}
	return b.limit - int64(smallShare*float64(b.limit))
}

// Take takes n bytes for a small buffer. It returns false if they are not free.
func (b *Budget) Take(n int64) bool { return b == nil || b.take(n, 0) }

// TakeFor takes n bytes for a buffer that then has size bytes. It returns false if they are not free.
func (b *Budget) TakeFor(n, size int64) bool { return b == nil || b.take(n, size) }

// Limit returns the bytes that small buffers may use.
func (b *Budget) Limit() int64 {
	if b == nil {
		return math.MaxInt64
	}
	return b.limit
}

// Return gives n bytes back that Take or TakeFor took.
func (b *Budget) Return(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// take takes n bytes for a buffer that then has size bytes. It returns false if they are not free.
func (b *Budget) take(n, size int64) bool {
	limit := b.limitFor(size)
	for {
		used := b.used.Load()
		if used+n > limit {
			refusals.Inc()
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Hold is what one buffer has taken. It is used by one goroutine at a time. The zero value, and a
// nil Hold, have no budget and no bound.
type Hold struct {
	budget *Budget
	size   int64
}

// Hold returns a hold of no bytes.
func (b *Budget) Hold() *Hold { return &Hold{budget: b} }

// Fits reports whether the hold may have n bytes if there is no other buffer.
func (h *Hold) Fits(n int64) bool { return h == nil || h.budget.Fits(n) }

// Resize makes the hold one of n bytes. It returns false, and changes nothing, if they are not free.
func (h *Hold) Resize(n int64) bool {
	if h == nil || h.budget == nil {
		return true
	}
	if more := n - h.size; more > 0 {
		if !h.budget.take(more, n) {
			return false
		}
	} else {
		h.budget.used.Add(more)
	}
	h.size = n
	return true
}

// Release gives all bytes back. It may be called more than once.
func (h *Hold) Release() { h.Resize(0) }
