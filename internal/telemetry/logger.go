// Package telemetry provides logging and tracing for a daemon: a logger that never blocks
// on its output, and spans that are retained for operators and exported over OTLP.
package telemetry

import (
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
)

// timeFormat is RFC 3339 with milliseconds. The date is included so that log lines of
// several processes and days can be merged by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// closeTimeout bounds the time for writing the last lines at the end of a process, so that
// a stalled receiver of the logs does not keep the process from ending.
const closeTimeout = 200 * time.Millisecond

// StartLogger returns a logger that never blocks on out, and a function to call before the
// process ends, which writes the queued lines for at most closeTimeout. Afterwards SIGPIPE is
// ignored in the whole process.
func StartLogger(out io.Writer, level string) (*log.Logger, func()) {
	// Otherwise the first line after the receiver of the logs has closed the pipe of standard
	// output ends the process.
	signal.Ignore(syscall.SIGPIPE)
	sink := NewSink(out)
	return NewLogger(sink, level), func() { sink.Close(closeTimeout) }
}

// NewLogger returns a root logger that writes one line of key=value pairs for each event,
// with times in UTC. Components derive their logger with WithPrefix. An invalid level
// leaves the default level of the library.
func NewLogger(w io.Writer, level string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, TimeFunction: log.NowUTC, TimeFormat: timeFormat})
	l.SetFormatter(log.LogfmtFormatter)
	if v, err := log.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	return l
}
