package batch

import (
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/overlong"
	"github.com/apricotstream/apricotstream/internal/state"
)

// outputLimit bounds the output of an item.
type outputLimit struct {
	events int
	bytes  int // of the text, with a line feed for each event
}

// limitOf returns the limit of an item. Every event has at least one token. The text must
// fit in a page of results.
func limitOf(spec *state.BatchItem) outputLimit {
	tokens := max(spec.Tokens, overlong.MinTokens)
	return outputLimit{events: tokens, bytes: overlong.MaxBytesPerToken * min(tokens, control.MaxResultBytes/overlong.MaxBytesPerToken)}
}

// exceeded reports whether an output of the given size exceeds the limit.
func (l outputLimit) exceeded(events, bytes int) bool { return events > l.events || bytes > l.bytes }

// check counts an attempt whose output exceeds the limit and returns AnswerCut for it.
func (l outputLimit) check(events, bytes int) error {
	switch {
	case !l.exceeded(events, bytes):
		return nil
	case events > l.events:
		return overlong.Cut(overlong.ItemEvents, "the output of the item has more than %d events", l.events)
	}
	return overlong.Cut(overlong.ItemBytes, "the output of the item has more than %d bytes", l.bytes)
}

// textBytes returns the length of the text of events with the given data.
func textBytes(events []string) int {
	n := 0
	for _, data := range events {
		n += len(data) + 1
	}
	return n
}
