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
	// sinkLines is how many lines may wait to be written.
	sinkLines = 2048
	// maxLine cuts longer lines, in bytes.
	maxLine = 2048
	// dropReport is the interval between log lines that report dropped ones.
	dropReport = time.Second
)

var linesDropped = metrics.NewCounter("apricotstream_log_lines_dropped_total")

// Sink writes log lines in the background. A receiver that is slow or stalled
// costs lines, never the time of who logs.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, sinkLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer; it never blocks and never fails.
func (s *Sink) Write(b []byte) (int, error) {
	line := make([]byte, 0, min(len(b), maxLine)+1)
	line = append(line, b[:min(len(b), maxLine)]...)
	if len(b) > maxLine {
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

func (s *Sink) run() {
	defer close(s.done)
	var reported time.Time
	for line := range s.lines {
		if line == nil {
			return
		}
		_, _ = s.out.Write(line) // a lost receiver of logs must not stop the service
		if n := s.dropped.Load(); n > 0 && time.Since(reported) >= dropReport {
			reported = time.Now()
			s.dropped.Add(-n)
			_, _ = fmt.Fprintf(s.out, "time=%s level=warn msg=\"Log lines dropped.\" lines=%d\n", reported.UTC().Format(timeFormat), n)
		}
	}
}

// Close writes what waits, for at most the given time.
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
