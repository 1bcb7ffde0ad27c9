package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotstream/apricotstream/internal/homes"
)

const (
	// MaxAnswer is the largest number of entries in an answer to a caller.
	MaxAnswer = 64
	// targetAnswer is the largest mean size of the answers. The standard deviation of their size
	// is then about 6, and an answer that is cut at MaxAnswer depends on all entries.
	targetAnswer = 48
	// minAnswer is the smallest number of entries in an answer if there are as many. With 8, in
	// a deployment of 9 entries whose weights differ by a factor of 3.3 some shares would be 28% off
	// the weights, with 3 they are 2% off.
	minAnswer = 3
	// scaleStep is the step in which the probabilities follow the number of entries, so that
	// few changes of that number affect the answers.
	scaleStep = 1.25
	// overloadedPart is the part of its weight with which an overloaded entry is selected.
	overloadedPart = 0.5
)

// Caller is who asks for entries.
type Caller struct {
	Zone string
	Key  uint64 // the same for all questions of one caller, see CallerKey
}

// CallerKey returns the key of a caller that the parts identify.
func CallerKey(parts ...string) uint64 { return xxhash.Sum64String(strings.Join(parts, "\x00")) }

// Within returns the daemons whose regions h allows. The result may share memory with live.
func Within(live []Daemon, h *homes.Homes) []Daemon {
	outside := func(d Daemon) bool { return !h.Allows(d.Region) }
	if !slices.ContainsFunc(live, outside) {
		return live
	}
	return slices.DeleteFunc(slices.Clone(live), outside)
}

// AnswerWithin returns the Answer of the entries whose regions h allows. If there are none, it returns
// that of all.
func AnswerWithin(live []Daemon, h *homes.Homes, c Caller) []Daemon {
	if out := Answer(Within(live, h), c); len(out) > 0 {
		return out
	}
	return Answer(live, c)
}

// Answer returns the entries that a caller should use: of those in the caller's zone if it has at
// least two, or else of all, each one is included for a part of the callers that follows its weight.
// Without weighting it includes them all. An entry is included or not whatever the other entries
// are, so that a change of one of them does not make callers drop connections to the rest. Answers
// depend on live and c alone, thus they are the same at every daemon with the same table.
func Answer(live []Daemon, c Caller) []Daemon {
	entries := Entries(live, c.Zone)
	if near := slices.DeleteFunc(slices.Clone(entries), func(d Daemon) bool { return d.Zone != c.Zone }); len(near) >= 2 {
		entries = near
	}
	if w := NewWeighting(entries); w.Active {
		return w.selectFor(c)
	}
	return entries
}

// selectFor returns the entries for a caller, in their order. It includes at least one entry in the
// caller's zone and one elsewhere, if there are any, and minAnswer in total.
func (w Weighting) selectFor(c Caller) []Daemon {
	ranks := w.ranks(c.Key)
	order := make([]int, len(ranks)) // indices of entries by rank
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(ranks[a], ranks[b]), cmp.Compare(w.entries[a].ID, w.entries[b].ID))
	})
	chosen, count := make([]bool, len(ranks)), 0
	choose := func(i int) {
		if !chosen[i] {
			chosen[i] = true
			count++
		}
	}
	for _, near := range []bool{true, false} {
		if first := slices.IndexFunc(order, func(i int) bool { return (w.entries[i].Zone == c.Zone) == near }); first >= 0 {
			choose(order[first])
		}
	}
	for _, i := range order {
		if count < minAnswer || ranks[i] < 1 && count < MaxAnswer {
			choose(i)
		}
	}
	out := make([]Daemon, 0, count)
	for i, d := range w.entries {
		if chosen[i] {
			out = append(out, d)
		}
	}
	return out
}

// ranks returns for each entry a number that is below 1 with the probability with which the
// entry is included. It is the hash of the caller and the entry, in [0, 1), divided by that
// probability.
func (w Weighting) ranks(key uint64) []float64 {
	ranks := w.probabilities()
	var buf []byte
	for i, d := range w.entries {
		if d.Overloaded {
			ranks[i] *= overloadedPart
		}
		buf = append(binary.LittleEndian.AppendUint64(buf[:0], key), d.ID...)
		ranks[i] = float64(xxhash.Sum64(buf)>>11) / (1 << 53) / ranks[i]
	}
	return ranks
}

// probabilities returns for each entry the probability with which an answer includes it, so that
// shares follow the weights if callers use the entries of their answers equally. A caller that has a
// given entry divides its traffic by 1 plus the number of its other entries. That number is on
// average the smaller, the larger the probability of the given entry: with probabilities
// proportional to the weights, shares were up to 6% off in answers of 7 entries.
func (w Weighting) probabilities() []float64 {
	sum := 0.0
	for _, x := range w.ratios {
		sum += x
	}
	scale := slices.Max(w.ratios)
	for sum/scale > targetAnswer {
		scale *= scaleStep
	}
	out := make([]float64, len(w.ratios))
	for i, x := range w.ratios {
		out[i] = x / scale
	}
	size := sum / scale // mean size of an answer
	for range 10 {      // each step is a small part of the one before
		next := 0.0
		for _, x := range out {
			next += corrected(x, size)
		}
		size = next
	}
	size = roundToStep(size, scaleStep)
	for i, x := range out {
		out[i] = corrected(x, size)
	}
	return out
}

// corrected returns the probability of an entry whose share is x of the share of an entry that
// is in all answers. size is the mean size of an answer.
func corrected(x, size float64) float64 { return min(1, x*(1+size)/(x+size)) }
