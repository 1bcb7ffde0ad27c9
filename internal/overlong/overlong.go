// Package overlong counts the answers that were cut because they exceeded a bound.
package overlong

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Parameters of the bounds on generated output.
const (
	// MinTokens is the number of tokens from which the bounds of a request with fewer
	// tokens, or without a number of tokens, are calculated.
	MinTokens = 1024
	// MaxBytesPerToken is twice the length of the longest tokens of common vocabularies,
	// because the text of an event may be JSON.
	MaxBytesPerToken = 256
)

// Kind is the part of an answer that exceeded its bound.
type Kind string

// Kinds, the values of the label of the counter.
const (
	Event      Kind = "event"       // an event of a stream, with the lines that are skipped before it
	ItemEvents Kind = "item_events" // the number of events of a batch item
	ItemBytes  Kind = "item_bytes"  // the data of the events of a batch item
	Sample     Kind = "sample"      // the output of a sample of a rollout
	Memory     Kind = "memory"      // the events of an attempt, while many attempts have many
)

// Cut counts an answer that is cut and returns the error that says so. An upstream whose
// answer has no end is in trouble: what it sent is no answer, and the request may have run.
func Cut(k Kind, format string, args ...any) error {
	metrics.GetOrCreateCounter(fmt.Sprintf("apricotstream_answers_cut_total{kind=%q}", k)).Inc()
	return result.New(result.AnswerCut, format, args...)
}
