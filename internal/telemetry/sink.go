package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Bounds of a sink.
const (
	// maxQueuedLines is the number of lines that may wait to be written.
	maxQueuedLines = 2048
	// maxLineBytes is the length to which longer lines are truncated.
	maxLineBytes = 2048
	// dropReportInterval is the minimum time between two lines that report dropped
	// lines.
	dropReportInterval = time.Second
)

var linesDropped = metrics.NewCounter("apricotstream_log_lines_dropped_total")

// Sink writes log lines in the background. When the receiver is slow or stalled, lines are
// dropped and counted, so that logging never blocks.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{} // closed when run has returned
	once    sync.Once     // guards Close
}

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It queues b as one line, or drops it when the queue is full.
// It never blocks and never fails.
func (s *Sink) Write(b []byte) (int, error) {
	line := make([]byte, 0, min(len(b), maxLineBytes)+1)
	line = append(line, b[:min(len(b), maxLineBytes)]...)
	if len(b) > maxLineBytes {
		line = append(line, '\n')
	}
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
		linesDropped.Inc()
	}
	return len(b), nil
}

// run writes the queued lines until it receives nil.
func (s *Sink) run() {
	defer close(s.done)
	var reported time.Time
	for line := range s.lines {
		if line == nil {
			return
		}
		if _, err := s.out.Write(line); err != nil {
			linesDropped.Inc() // the service must keep running without a receiver of logs
		}
		if n := s.dropped.Load(); n > 0 && time.Since(reported) >= dropReportInterval {
			reported = time.Now()
			s.dropped.Add(-n)
			_, _ = fmt.Fprintf(s.out, "time=%s level=warn msg=\"Log lines dropped.\" lines=%d\n", reported.UTC().Format(timeFormat), n)
		}
	}
}

// Close writes the queued lines, for at most the given time.
func (s *Sink) Close(wait time.Duration) {
	s.once.Do(func() {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case s.lines <- nil:
		case <-t.C:
			return
		}
		select {
		case <-s.done:
		case <-t.C:
		}
	})
}
