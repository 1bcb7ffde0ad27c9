package rollout

import (
	"github.com/apricotstream/apricotstream/internal/engine"
	"github.com/apricotstream/apricotstream/internal/result"
)

// draft is a sample that is being generated, by one upstream after the other.
// Its labels come from the chunks alone: neither from what was ordered nor from
// what an upstream announced.
type draft struct {
	sample Sample
	part   int // tokens of the current upstream
}

// begin starts the segment list of a new upstream.
func (d *draft) begin(upstream, requestID string) {
	d.dropIdle()
	d.part = 0
	d.sample.RequestID = requestID
	d.sample.Upstreams = append(d.sample.Upstreams, upstream)
}

// dropIdle removes the current upstream if it has produced no token.
func (d *draft) dropIdle() {
	if n := len(d.sample.Upstreams); n > 0 && d.part == 0 {
		d.sample.Upstreams = d.sample.Upstreams[:n-1]
	}
}

// take appends a chunk of the current upstream.
func (d *draft) take(c engine.Chunk) error {
	if err := d.sample.add(c.Text(), c.Tokens(), c.WeightVersion); err != nil {
		return err
	}
	d.part += c.Tokens()
	if c.Usage != nil && c.Usage.CompletionTokens != d.part {
		return result.New(result.LabelMissing, "the engine counts %d tokens, its chunks carried %d", c.Usage.CompletionTokens, d.part)
	}
	return nil
}

// upstream returns the upstream begun last; empty before the first.
func (d *draft) upstream() string {
	if len(d.sample.Upstreams) == 0 {
		return ""
	}
	return d.sample.Upstreams[len(d.sample.Upstreams)-1]
}

// finished returns the whole sample.
func (d *draft) finished() (Sample, error) {
	if d.sample.Tokens() == 0 {
		return Sample{}, result.New(result.LabelMissing, "the answer has no tokens")
	}
	d.dropIdle()
	return d.sample, nil
}
