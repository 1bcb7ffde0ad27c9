package workload

import (
	"math"
	"time"
)

const (
	// loadMaxAge is the age at which reported running and waiting requests are worth nothing.
	// Most requests that were counted have ended by then.
	loadMaxAge = 600 * time.Millisecond
	// momentaryMaxAge is the age at which a reported slowness is worth nothing. Phases of
	// slowness last 0.6 s, so of those seen at a random moment a share of 1 - age/0.6 s still
	// lasts, see TestAgeAtWhichSlownessIsWorthNothing.
	momentaryMaxAge = 600 * time.Millisecond
	// baselineShrink is the number of reports for which an upstream's usual slowness counts
	// half.
	baselineShrink = 8
	// baselineReports is the number of reports that the usual slowness is averaged over.
	baselineReports = 50
)

// Load is the newest load that an incarnation of an upstream has reported.
type Load struct {
	Others   float64 // requests running and waiting that are not of this daemon
	Slots    int
	Slowness float64   // relative to normal; 0 if not stated
	At       time.Time // when the report arrived; zero if there is none
}

// Age returns the age of the load, or -1 if there is none.
func (l Load) Age(now time.Time) time.Duration {
	if l.At.IsZero() {
		return -1
	}
	return max(0, now.Sub(l.At))
}

// Weight returns how much Others counts relative to what is known without the report: from 1
// for a new report to 0 at loadMaxAge.
func (l Load) Weight(now time.Time) float64 {
	age := l.Age(now)
	if age < 0 {
		return 0
	}
	return max(0, 1-age.Seconds()/loadMaxAge.Seconds())
}

// momentary returns how much slower than usual the upstream is now. usual is the mean of the
// logarithm of its slowness. It is divided out, because the lasting speed is learned from
// requests: some deployments may include it in the slowness that they report, and it must not
// count twice.
func (l Load) momentary(now time.Time, usual average) float64 {
	age := l.Age(now)
	if age < 0 || age >= momentaryMaxAge || l.Slowness <= 0 {
		return 1
	}
	deviation := math.Log(l.Slowness) - usual.shrunk(baselineShrink)
	return 1 + (math.Exp(deviation)-1)*(1-age.Seconds()/momentaryMaxAge.Seconds())
}

// average is an exponentially weighted mean and variance. Until limit observations are made it
// is the plain mean.
type average struct {
	n        float64 // sum of the weights of the observations, at most the limit
	mean     float64
	variance float64
}

// add adds an observation with a weight of at most 1.
func (a *average) add(x, weight, limit float64) {
	if weight <= 0 {
		return
	}
	a.n = min(a.n+weight, limit)
	g := min(weight/a.n, 1)
	d := x - a.mean
	a.mean += g * d
	a.variance += g * ((1-g)*d*d - a.variance)
}

// shrunk returns the mean shrunk towards 0, by half at n observations.
func (a average) shrunk(n float64) float64 { return a.mean * a.n / (a.n + n) }
