package rollout

import (
	"github.com/VictoriaMetrics/metrics"
)

// Metrics of rollouts.
var (
	trainerWait      = metrics.NewSummary("apricotstream_rollout_trainer_wait_seconds")
	samplesDelivered = metrics.NewCounter("apricotstream_rollout_samples_delivered_total")
	samplesResumed   = metrics.NewCounter("apricotstream_rollout_samples_resumed_total")
	samplesMoved     = metrics.NewCounter("apricotstream_rollout_samples_moved_total")
	samplesStale     = metrics.NewCounter("apricotstream_rollout_samples_stale_total")
	// stalenessMargin is the number of versions by which delivered samples are newer than
	// the oldest allowed one.
	stalenessMargin = metrics.NewHistogram("apricotstream_rollout_staleness_margin_versions")
)

// observeDelivered updates the metrics for samples that are sent for the first time. It
// skips void positions.
func observeDelivered(samples []Sample, oldestAllowed uint64) {
	for _, s := range samples {
		if s.Void {
			continue
		}
		samplesDelivered.Inc()
		stalenessMargin.Update(float64(s.OldestVersion() - oldestAllowed))
	}
}
