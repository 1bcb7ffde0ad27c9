package workload

import "github.com/apricotstream/apricotstream/internal/upstream"

// Bounds of what an upstream may report. They are far above real values, and low enough for all
// computations with them.
const (
	MaxRequests = 1 << 16
	MaxSlowness = 1000 // relative to normal
)

// Report is the load that an upstream states in an answer.
type Report struct {
	Upstream upstream.Announcement // the upstream that was asked and has answered
	Running  int
	Waiting  int
	Slots    int
	Slowness float64 // how long work takes there now, relative to normal; 0 if not stated
}

// Tracker is told of the loads that upstreams state in their answers.
type Tracker interface {
	// Reported records a load.
	Reported(r Report)
	// Invalid records that the answer to a request states a load that cannot be used.
	Invalid(u upstream.Announcement, request string, err error)
}

// IgnoreLoads is a Tracker that keeps nothing.
type IgnoreLoads struct{}

// Reported implements Tracker.
func (IgnoreLoads) Reported(Report) {}

// Invalid implements Tracker.
func (IgnoreLoads) Invalid(upstream.Announcement, string, error) {}
