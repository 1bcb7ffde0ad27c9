package chooser

import (
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Constants of the latency average.
const (
	// latencyWeight is the weight of the newest response time in the moving average.
	latencyWeight = 0.3
	// latencyMaxAge is the age after which an average is ignored. A slow upstream is
	// then tried again, because it may have recovered.
	latencyMaxAge = 4 * time.Second
)

// latencies tracks the average response time of each upstream.
type latencies struct {
	byID map[string]latencyAverage
}

type latencyAverage struct {
	incarnation int64
	mean        float64 // seconds
	at          time.Time
}

func (l *latencies) record(now time.Time, u upstream.Announcement, latency time.Duration) {
	if l.byID == nil {
		l.byID = map[string]latencyAverage{}
	}
	x, ok := l.byID[u.ID]
	if !ok || x.incarnation != u.Incarnation || now.Sub(x.at) > latencyMaxAge {
		x = latencyAverage{incarnation: u.Incarnation, mean: latency.Seconds()}
	}
	x.mean += latencyWeight * (latency.Seconds() - x.mean)
	x.at = now
	l.byID[u.ID] = x
}

// slowness returns for each upstream in list its average response time divided by the
// median of the list. It returns 1 for an upstream without a recent average, and for all
// if fewer than two have one.
func (l *latencies) slowness(now time.Time, list []upstream.Announcement) []float64 {
	out := make([]float64, len(list))
	var known []float64
	for _, u := range list {
		if x, ok := l.recent(now, u); ok {
			known = append(known, x.mean)
		}
	}
	slices.Sort(known)
	for i, u := range list {
		out[i] = 1
		if x, ok := l.recent(now, u); ok && len(known) > 1 {
			if median := known[(len(known)-1)/2]; median > 0 {
				out[i] = x.mean / median
			}
		}
	}
	return out
}

// recent returns the average of u if it belongs to the same incarnation and is no older
// than latencyMaxAge.
func (l *latencies) recent(now time.Time, u upstream.Announcement) (latencyAverage, bool) {
	x, ok := l.byID[u.ID]
	return x, ok && x.incarnation == u.Incarnation && now.Sub(x.at) <= latencyMaxAge
}
