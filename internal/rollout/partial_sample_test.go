package rollout

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/engine"
	"github.com/apricotstream/apricotstream/internal/result"
)

func testChunk(text string, version uint64, count int) engine.Chunk {
	return engine.Chunk{WeightVersion: version, TokenCount: count, Choices: []engine.Choice{{Delta: engine.Delta{Content: text}}}}
}

// The segments of a sample list each weight version with its tokens, even if an engine loads
// new weights meanwhile and the sample moves to another upstream.
func TestSegmentsHaveTheVersionsOfTheChunks(t *testing.T) {
	g := NewWithT(t)
	var p partialSample
	p.beginUpstream("e1", "r1")
	for _, c := range []engine.Chunk{testChunk("a", 4, 0), testChunk("bc", 4, 2), testChunk("", 5, 1), testChunk("d", 5, 0)} {
		g.Expect(p.appendChunk(c)).To(Succeed())
	}
	p.beginUpstream("e2", "r2")
	// The other engine was ordered to load version 5, but still runs version 4.
	g.Expect(p.appendChunk(testChunk("e", 4, 3))).To(Succeed())
	last := testChunk("f", 4, 0)
	last.Usage = &engine.Usage{CompletionTokens: 4}
	g.Expect(p.appendChunk(last)).To(Succeed())
	s, err := p.finished()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Segments).To(Equal([]Segment{{4, 3}, {5, 2}, {4, 4}}))
	g.Expect(s.Upstreams).To(Equal([]string{"e1", "e2"}))
	g.Expect(s.Text).To(Equal("abcdef"))
	g.Expect(s.Tokens()).To(Equal(9))
	g.Expect(s.OldestVersion()).To(Equal(uint64(4)))
}

// Chunks without a weight version and a usage report that doesn't match the chunks are
// rejected, because the sample could not be labelled correctly.
func TestTokensWithoutVersionAreRejected(t *testing.T) {
	g := NewWithT(t)
	var p partialSample
	p.beginUpstream("e1", "r1")
	g.Expect(result.CodeOf(p.appendChunk(testChunk("a", 0, 0)))).To(Equal(result.LabelMissing))
	short := testChunk("a", 4, 0)
	short.Usage = &engine.Usage{CompletionTokens: 2}
	g.Expect(result.CodeOf(p.appendChunk(short))).To(Equal(result.LabelMissing))
	_, err := new(partialSample).finished()
	g.Expect(result.CodeOf(err)).To(Equal(result.LabelMissing))
}

// An engine in trouble sent valid chunks without end, and the owner of the step kept them
// all. The sample is cut when it exceeds its request, and keeps what other upstreams
// generated before.
func TestSampleWithoutEndIsCut(t *testing.T) {
	for name, c := range map[string]struct {
		chunk     engine.Chunk
		maxTokens int
		wantAfter int // chunks that are accepted
	}{
		"tokens":        {testChunk("a", 4, 0), 100, 98},
		"text":          {testChunk(strings.Repeat("x", 1<<10), 4, 1), 1000, 255},
		"no max_tokens": {testChunk(strings.Repeat("x", 1<<20), 4, 1), 0, 15},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var p partialSample
			p.beginUpstream("e1", "r1")
			g.Expect(p.appendChunk(testChunk("ab", 3, 2))).To(Succeed())
			p.beginUpstream("e2", "r2")
			accepted := 0
			for accepted <= c.wantAfter {
				g.Expect(p.appendChunk(c.chunk)).To(Succeed())
				if err := p.checkLimit(c.maxTokens); err != nil {
					g.Expect(result.CodeOf(err)).To(Equal(result.AnswerCut))
					break
				}
				accepted++
			}
			g.Expect(accepted).To(Equal(c.wantAfter))
			s, err := p.finished()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Text).To(Equal("ab"))
			g.Expect(s.Segments).To(Equal([]Segment{{3, 2}}))
			g.Expect(s.Upstreams).To(Equal([]string{"e1"}))
		})
	}
}
