package upstream

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

var departuresSeen = metrics.NewCounter("apricotstream_upstream_departures_total")

// DepartureRecorder is a DepartureTracker that records in a Directory and logs what
// changes.
type DepartureRecorder struct {
	Directory *Directory
	Log       *log.Logger
}

// Observe implements DepartureTracker. It logs one line for each incarnation that leaves.
// The request's id is not called "request" there, because the line is a change of state
// that concerns other requests too.
func (r DepartureRecorder) Observe(s Sighting) {
	before, changed := r.Directory.recordDeparture(s.Upstream)
	if !changed {
		return
	}
	departuresSeen.Inc()
	a := s.Upstream
	r.Log.Info("Upstream says that it leaves.", "upstream", a.ID, "service", a.Service, "incarnation", a.Incarnation, "address", a.Address,
		"answered", s.Request, "status", s.Status, "before", before)
}

// Left implements DepartureTracker.
func (r DepartureRecorder) Left(a Announcement) bool { return r.Directory.Left(a) }

// Cold implements ColdTracker.
func (r DepartureRecorder) Cold(a Announcement, until time.Time) { r.Directory.recordCold(a, until) }
