package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stubWriter is a writer that blocks until release is closed.
type stubWriter struct {
	release  chan struct{}
	mu       sync.Mutex
	received bytes.Buffer
}

func (s *stubWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received.Write(b)
}

func TestSinkDropsLinesWhenWriterStalls(t *testing.T) {
	g := NewWithT(t)
	out := &stubWriter{release: make(chan struct{})}
	s := NewSink(out)
	began := time.Now()
	const lines = 3 * maxQueuedLines
	for i := range lines {
		_, err := fmt.Fprintf(s, "line %d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	close(out.release)
	s.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.received.String()
	g.Expect(text).To(ContainSubstring("line 0\n"))
	g.Expect(text).To(ContainSubstring(`msg="Log lines dropped." lines=`))
	g.Expect(strings.Count(text, "\n")).To(BeNumerically("<=", maxQueuedLines+3))
}

func TestSinkTruncatesLongLine(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	s := NewSink(&out)
	_, _ = s.Write([]byte(strings.Repeat("x", 3*maxLineBytes)))
	s.Close(time.Second)
	g.Expect(out.Len()).To(Equal(maxLineBytes + 1))
}
