package batch

import "slices"

// Parameters of the estimate of what is left of an item.
const (
	// keptLengths is the number of latest lengths of a model from which its estimates are made.
	keptLengths = 512
	// minLengths is the number of lengths from which they count.
	minLengths = 24
	// unknownRemaining is the number of events that an item of a model without lengths has left at
	// least. With heavy tails an item that has run for long has about as much left.
	unknownRemaining = 8
)

// LengthTracker learns the lengths of complete items, in events, by model. Callers' estimates are
// right in the middle, but far off for the long items that groups wait for.
type LengthTracker struct {
	byModel map[string]*lengths
}

type lengths struct {
	latest []int // a ring
	next   int
	sorted []int // nil after a change
}

// NewLengthTracker returns a LengthTracker without lengths.
func NewLengthTracker() *LengthTracker { return &LengthTracker{byModel: map[string]*lengths{}} }

// Record adds the length of a complete item.
func (t *LengthTracker) Record(model string, events int) {
	l := t.byModel[model]
	if l == nil {
		l = &lengths{}
		t.byModel[model] = l
	}
	if len(l.latest) < keptLengths {
		l.latest = append(l.latest, events)
	} else {
		l.latest[l.next] = events
	}
	l.next = (l.next + 1) % keptLengths
	l.sorted = nil
}

// Remaining returns the number of events that an item which has some probably has left: the mean
// over the longer ones.
func (t *LengthTracker) Remaining(model string, events int) float64 {
	l := t.byModel[model]
	if l == nil || len(l.latest) < minLengths {
		return float64(max(unknownRemaining, events))
	}
	if l.sorted == nil {
		l.sorted = slices.Sorted(slices.Values(l.latest))
	}
	from, _ := slices.BinarySearch(l.sorted, events+1)
	longer := l.sorted[from:]
	if len(longer) == 0 {
		return 1
	}
	sum := 0
	for _, n := range longer {
		sum += n
	}
	return float64(sum)/float64(len(longer)) - float64(events)
}
