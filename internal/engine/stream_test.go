package engine

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
)

func TestReadStreamReportsHowTheStreamEnded(t *testing.T) {
	const event = `data: {"id":"r","choices":[{"delta":{"content":"t"}}]}` + "\n\n"
	for _, c := range []struct {
		name   string
		stream io.Reader
		want   result.Code
		chunks int
	}{
		{"whole", strings.NewReader(event + event + "data: [DONE]\n\n"), result.OK, 2},
		{"cut", strings.NewReader(event), result.AnswerCut, 1},
		{"reset", io.MultiReader(strings.NewReader(event), iotest.ErrReader(io.ErrUnexpectedEOF)), result.AnswerCut, 1},
		{"late", io.MultiReader(strings.NewReader(event), iotest.ErrReader(context.DeadlineExceeded)), result.UpstreamTimeout, 1},
		{"crossed", strings.NewReader(strings.Replace(event, `"r"`, `"other"`, 1)), result.AnswerCrossed, 0},
		{"skipped lines without end", &endlessReader{line: ": comment\n", left: 16 << 20}, result.AnswerCut, 0},
		{"empty lines without end", &endlessReader{line: "\n", left: 16 << 20}, result.AnswerCut, 0},
		{"an event without end", &endlessReader{line: "data: x", left: 16 << 20}, result.AnswerCut, 0},
		{"garbled", strings.NewReader("data: {\n\n"), result.AnswerCut, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			chunks := 0
			err := ReadStream(c.stream, "r", func(Chunk) error {
				chunks++
				return nil
			})
			if r, ok := c.stream.(*endlessReader); ok {
				g.Expect(r.left).To(BeNumerically(">", 8<<20), "was read on")
			}
			g.Expect(result.CodeOf(err)).To(Equal(c.want))
			g.Expect(chunks).To(Equal(c.chunks))
		})
	}
}

// endlessReader repeats a line, up to left bytes, which stand for a stream without end. Lines
// that ReadStream skips took processor time until the deadline of the request.
type endlessReader struct {
	line string
	left int
}

func (r *endlessReader) Read(b []byte) (int, error) {
	if r.left < len(r.line) {
		return 0, io.EOF
	}
	n := 0
	for n+len(r.line) <= len(b) {
		n += copy(b[n:], r.line)
	}
	r.left -= n
	return n, nil
}
