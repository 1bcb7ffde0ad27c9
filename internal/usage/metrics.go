package usage

import "github.com/VictoriaMetrics/metrics"

var (
	// UnreportedIntervals is the number of closed usage intervals that the receiver has
	// not confirmed.
	UnreportedIntervals = metrics.NewGauge("apricotstream_usage_windows_unreported", nil)
	// ReportDelay is the time from the scheduled end of a usage interval to its report,
	// in seconds.
	ReportDelay = metrics.NewHistogram("apricotstream_usage_report_delay_seconds")
)
