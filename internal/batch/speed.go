package batch

import (
	"maps"
	"slices"
	"time"
)

// Parameters of measuring the speed of engines.
const (
	// newestSpeedWeight is the weight of the newest interval in the moving average.
	newestSpeedWeight = 0.4
	// newestPaceWeight is that of the lasting pace, which must not follow spells of less than a
	// second, as on machines that others share.
	newestPaceWeight = 0.15
	// speedTTL is the age at which a measurement expires.
	speedTTL = 3 * time.Second
	// paceTTL is that of the lasting pace.
	paceTTL = 30 * time.Second
	// moveSlownessRatio is the slowness above which the running items of an engine are
	// moved to other engines.
	moveSlownessRatio = 2.2
	// minMeasuredEngines is the number of engines that must have a measurement before any
	// of them counts as slow.
	minMeasuredEngines = 3
)

// SpeedTracker measures the time that engines take per event.
type SpeedTracker struct {
	byID map[string]engineSpeed
}

// engineSpeed is the measured speed of one engine.
type engineSpeed struct {
	secondsPerEvent float64   // moving average
	pace            float64   // the same, over a longer time
	at              time.Time // time of the latest measurement
}

// NewSpeedTracker returns a SpeedTracker without measurements.
func NewSpeedTracker() *SpeedTracker { return &SpeedTracker{byID: map[string]engineSpeed{}} }

// Record adds the measurement of an engine over an interval: the number of events of all
// its items, and the sum of the times that these items ran in the interval.
func (t *SpeedTracker) Record(now time.Time, engine string, events int, ran time.Duration) {
	if events == 0 || ran <= 0 {
		return
	}
	measured := ran.Seconds() / float64(events)
	s, ok := t.byID[engine]
	if !ok {
		s.pace = measured
	}
	if !ok || now.Sub(s.at) > speedTTL {
		s.secondsPerEvent = measured
	}
	s.pace += newestPaceWeight * (measured - s.pace)
	s.secondsPerEvent += newestSpeedWeight * (measured - s.secondsPerEvent)
	s.at = now
	t.byID[engine] = s
}

// At returns the speeds at the given time and discards measurements older than speedTTL.
func (t *SpeedTracker) At(now time.Time) Speeds {
	maps.DeleteFunc(t.byID, func(_ string, s engineSpeed) bool { return now.Sub(s.at) > paceTTL })
	measured, paces := make([]float64, 0, len(t.byID)), make([]float64, 0, len(t.byID))
	for _, s := range t.byID {
		paces = append(paces, s.pace)
		if now.Sub(s.at) <= speedTTL {
			measured = append(measured, s.secondsPerEvent)
		}
	}
	out := Speeds{now: now, byID: t.byID}
	if len(measured) >= minMeasuredEngines {
		out.median = medianOf(measured)
	}
	if len(paces) >= minMeasuredEngines {
		out.medianPace = medianOf(paces)
	}
	return out
}

func medianOf(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Speeds holds the measurements of all engines at one time. It is valid until the next
// call of Record.
type Speeds struct {
	now        time.Time
	byID       map[string]engineSpeed
	median     float64 // seconds per event; 0 with fewer than minMeasuredEngines engines
	medianPace float64 // the same of the lasting paces
}

// Pace returns the seconds that an engine probably takes for each event, over the next seconds: its
// lasting pace, or the median if it is unknown. The older the pace, the more it is taken for the
// median. It returns 0 if neither is known.
func (s Speeds) Pace(engine string) float64 {
	speed, ok := s.byID[engine]
	if !ok || s.medianPace <= 0 {
		return s.medianPace
	}
	known := 1 - min(1, s.now.Sub(speed.at).Seconds()/paceTTL.Seconds())
	return known*speed.pace + (1-known)*s.medianPace
}

// Slowness returns an engine's time per event divided by the median of all engines. It
// returns 1 if the engine or the median is unknown.
func (s Speeds) Slowness(engine string) float64 {
	speed, ok := s.byID[engine]
	if !ok || s.median <= 0 || s.now.Sub(speed.at) > speedTTL {
		return 1
	}
	return speed.secondsPerEvent / s.median
}
