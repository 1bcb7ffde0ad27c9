package rollout

import (
	"slices"

	"github.com/apricotstream/apricotstream/internal/engine"
	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/overlong"
	"github.com/apricotstream/apricotstream/internal/result"
)

// partialSample is the partial output of a sample, from one or several upstreams. Its
// weight versions come only from the chunks, not from orders to load weights or from
// announcements of upstreams.
type partialSample struct {
	sample Sample
	part   int // number of tokens that the current upstream has generated
	// earlier is the text and the segments before the current upstream.
	earlier Sample
	current origin.Origin // of what the current upstream generates
	first   origin.Origin // of the text, if there is any
}

// origin returns the origin of the text, the zero value if there is none.
func (p *partialSample) origin() origin.Origin {
	if len(p.sample.Segments) == 0 {
		return origin.Origin{}
	}
	return p.first
}

// maxUnlimitedBytes bounds the text of a sample whose step has no max_tokens, like the body
// of any other response.
const maxUnlimitedBytes = 16 << 20

// checkLimit returns AnswerCut if the output exceeds what a request for at most maxTokens
// tokens allows, 0 meaning any number. The upstream does not keep to the request, and
// nothing tells its sound chunks from the others: all of them are dropped.
func (p *partialSample) checkLimit(maxTokens int) error {
	maxBytes := maxUnlimitedBytes
	if maxTokens > 0 {
		maxBytes = max(maxTokens, overlong.MinTokens) * overlong.MaxBytesPerToken
	}
	tokens := p.sample.Tokens()
	if (maxTokens <= 0 || tokens <= maxTokens) && len(p.sample.Text) <= maxBytes {
		return nil
	}
	err := overlong.Cut(overlong.Sample, "the sample has %d tokens and %d bytes, more than %d tokens or %d bytes", tokens, len(p.sample.Text), maxTokens, maxBytes)
	p.sample.Text, p.sample.Segments, p.part = p.earlier.Text, p.earlier.Segments, 0
	return err
}

// beginUpstream records that the given upstream continues the sample.
func (p *partialSample) beginUpstream(upstream, requestID string) {
	p.removeIdleUpstream()
	p.part = 0
	p.earlier = Sample{Text: p.sample.Text, Segments: slices.Clone(p.sample.Segments)}
	p.sample.RequestID = requestID
	p.sample.Upstreams = append(p.sample.Upstreams, upstream)
}

// removeIdleUpstream removes the current upstream if it has produced no token.
func (p *partialSample) removeIdleUpstream() {
	if n := len(p.sample.Upstreams); n > 0 && p.part == 0 {
		p.sample.Upstreams = p.sample.Upstreams[:n-1]
	}
}

// appendChunk adds a chunk from the current upstream. It fails with LabelMissing if the
// chunk has tokens without a weight version or text without tokens, or if the usage
// reported by the engine differs from the number of tokens received.
func (p *partialSample) appendChunk(c engine.Chunk) error {
	if len(p.sample.Segments) == 0 {
		p.first = p.current
	}
	if err := p.sample.add(c.Text(), c.Tokens(), c.WeightVersion); err != nil {
		return err
	}
	p.part += c.Tokens()
	if c.Usage != nil && c.Usage.CompletionTokens != p.part {
		return result.New(result.LabelMissing, "the engine reported %d tokens, its chunks have %d", c.Usage.CompletionTokens, p.part)
	}
	return nil
}

// upstream returns the id of the current upstream; empty before the first.
func (p *partialSample) upstream() string {
	if len(p.sample.Upstreams) == 0 {
		return ""
	}
	return p.sample.Upstreams[len(p.sample.Upstreams)-1]
}

// finished returns the complete sample. It fails with LabelMissing if there are no tokens.
func (p *partialSample) finished() (Sample, error) {
	if p.sample.Tokens() == 0 {
		return Sample{}, result.New(result.LabelMissing, "the response has no tokens")
	}
	p.removeIdleUpstream()
	return p.sample, nil
}
