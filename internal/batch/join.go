package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/origin"
)

// knownText is the text of an item from its first event on, as far as it is known.
type knownText struct {
	data     []string
	versions []uint64 // of the events after the committed ones
	origin   origin.Origin
	complete bool
}

// joinOutputs returns the text of an item that follows from its committed text and from outputs of its
// runs: a complete one if there is one, else the longest. An output continues a text only if its run
// did, so that texts of different runs are never mixed. The result begins with the committed text.
func joinOutputs(it *item, outputs []RetainedOutput) knownText {
	committed := knownText{data: it.events}
	if len(it.events) > 0 {
		committed.origin = it.origin
	}
	best := committed
	if it.lastEventID != len(it.events) {
		return best
	}
	outputs = slices.Clone(outputs)
	slices.SortStableFunc(outputs, func(a, b RetainedOutput) int { return cmp.Compare(a.After, b.After) })
	texts := []knownText{committed}
	for _, o := range outputs {
		if !o.contiguous() {
			continue
		}
		for _, t := range texts {
			next, ok := it.continueText(t, o)
			if !ok {
				continue
			}
			texts = append(texts, next)
			if next.complete && !best.complete || next.complete == best.complete && len(next.data) > len(best.data) {
				best = next
			}
			break
		}
	}
	return best
}

// continueText returns the text of a run that began after an event of t. It returns false if the run
// continued another text, or if the item may not have the result.
func (it *item) continueText(t knownText, o RetainedOutput) (knownText, bool) {
	committed, source := len(it.events), o.Upstream.announcement()
	if o.After > len(t.data) || o.After+len(o.Events) < committed || o.Text != textDigest(t.data[:o.After]) {
		return knownText{}, false
	}
	if o.After > 0 && !t.origin.AllowsConfirmed(source) || committed > 0 && !it.origin.AllowsConfirmed(source) {
		return knownText{}, false
	}
	next := knownText{data: slices.Clone(t.data[:o.After]), origin: origin.Of(source), complete: o.Complete}
	if o.After > committed {
		next.versions = slices.Clone(t.versions[:o.After-committed])
	}
	for _, e := range o.Events {
		if next.data = append(next.data, e.Data); len(next.data) > committed {
			next.versions = append(next.versions, e.Version)
		}
	}
	return next, slices.Equal(next.data[:committed], it.events) && it.mayHave(next)
}

// mayHave reports whether the job allows the weight versions of a text, and the item its size.
func (it *item) mayHave(t knownText) bool {
	whole := item{job: it.job, versions: slices.Clone(it.versions)}
	for _, v := range t.versions {
		if !slices.Contains(whole.versions, v) {
			whole.versions = append(whole.versions, v)
		}
	}
	return whole.versionsAllowed() && !limitOf(it.spec).exceeded(len(t.data), textBytes(t.data))
}

// take adds the events of a text that begins with that of the item, and returns their number.
func (it *item) take(t knownText) int {
	had := len(it.events)
	if had == 0 {
		it.origin = t.origin
	}
	for i, data := range t.data[had:] {
		it.appendEvent(Event{ID: had + 1 + i, Data: data, Version: t.versions[i]})
	}
	it.generatedFor += time.Duration(len(t.data)-had) * assumedEventTime
	return len(t.data) - had
}
