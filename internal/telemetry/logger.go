// Package telemetry gives each part its log prefix, the process its metrics and
// each hop of a request its span.
package telemetry

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// timeFormat is RFC 3339 with milliseconds; lines of several processes and days are
// merged by it.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// closeWait bounds the wait for the last lines at the end of a process: a stalled
// receiver must not keep it from ending.
const closeWait = 200 * time.Millisecond

// StartLogger returns a logger that never blocks on out, and a function that writes
// the waiting lines before the process ends.
func StartLogger(out io.Writer, level string) (*log.Logger, func()) {
	sink := NewSink(out)
	return NewLogger(sink, level), func() { sink.Close(closeWait) }
}

// NewLogger returns a root logger; parts take theirs by WithPrefix. It writes one
// line of key=value pairs for each event, with times in UTC.
func NewLogger(w io.Writer, level string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, TimeFunction: log.NowUTC, TimeFormat: timeFormat})
	l.SetFormatter(log.LogfmtFormatter)
	if v, err := log.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	return l
}
