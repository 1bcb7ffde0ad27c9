package batch

import (
	"sync/atomic"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/overlong"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Parameters of the bound on the output of all attempts in flight.
const (
	// maxOutputMemory is a ninth of the memory of the smallest machines, 144 MB. Complete
	// and incomplete events have half of it each.
	maxOutputMemory = 16 << 20
	// eventOverheadBytes is the memory of an event without its data.
	eventOverheadBytes = 64
	// soundBytesPerToken is a multiple of the four bytes of a token of text. An attempt
	// with no more bytes for its tokens is not cut, however many run.
	soundBytesPerToken = 64
	// minEventBytes is the size of an event that every attempt may read. The largest
	// sound events have a few tokens.
	minEventBytes = 16 << 10
)

// outputBudget bounds the memory of the output of all attempts in flight, when many
// upstreams send bytes without end at once.
type outputBudget struct {
	bytes    atomic.Int64 // of the complete events of the attempts
	attempts atomic.Int64 // in flight
}

// add adds an event to an attempt whose events had own bytes before. It returns the bytes
// of the attempt, and AnswerCut if the attempts exceed the budget and this one its share.
func (b *outputBudget) add(own int64, e Event, spec *state.BatchItem) (int64, error) {
	n := int64(len(e.Data) + eventOverheadBytes)
	own += n
	if share := outputShare(b.attempts.Load(), spec); b.bytes.Add(n) > maxOutputMemory/2 && own > share {
		return own, overlong.Cut(overlong.Memory, "the attempt has %d bytes of events, more than its share of %d", own, share)
	}
	return own, nil
}

// release takes the bytes of an attempt off the budget.
func (b *outputBudget) release(own int64) { b.bytes.Add(-own) }

// outputShare returns the share of one of several attempts in the budget, at least what an
// item of that size needs.
func outputShare(attempts int64, spec *state.BatchItem) int64 {
	sound := min(int64(max(spec.Tokens, overlong.MinTokens)), control.MaxResultBytes/soundBytesPerToken) * soundBytesPerToken
	return max(maxOutputMemory/2/max(attempts, 1), sound)
}

// maxEventBytes returns the size above which an attempt's next event is cut.
func (b *outputBudget) maxEventBytes() int {
	return int(min(max(maxOutputMemory/2/max(b.attempts.Load(), 1), minEventBytes), control.MaxResultBytes))
}
