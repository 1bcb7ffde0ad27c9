package usage

import "github.com/VictoriaMetrics/metrics"

var (
	// OpenWindows counts the closed windows that the receiver has not confirmed.
	UnreportedIntervals = metrics.NewGauge("apricotstream_usage_windows_unreported", nil)
	// ReportDelay is the time from a window's scheduled end to its report, in
	// seconds.
	ReportDelay = metrics.NewHistogram("apricotstream_usage_report_delay_seconds")
)
