package workload

import "math"

// minSpread keeps a key whose requests were all alike from having no tail.
const minSpread = 0.1

// Estimate is the distribution of the work that a request needs: that of a logarithmic normal
// variable. Work is heavy-tailed, and with logarithms single large requests hardly move the
// estimate.
type Estimate struct {
	mu    float64 // mean of the logarithm of the work
	sigma float64 // its standard deviation
	mean  float64 // of the work, in seconds
	// known is the share of the request's own key in the estimate, from 0 to 1.
	known float64
}

// newEstimate returns an estimate with the given mean and variance of the logarithm.
func newEstimate(mu, variance, known float64) Estimate {
	variance = min(max(variance, minSpread*minSpread), maxVariance)
	return Estimate{mu: mu, sigma: math.Sqrt(variance), mean: math.Exp(mu + variance/2), known: known}
}

// Mean returns the expected work in seconds.
func (e Estimate) Mean() float64 { return e.mean }

// Spread returns the standard deviation of the work in seconds.
func (e Estimate) Spread() float64 { return e.mean * math.Sqrt(math.Expm1(e.sigma*e.sigma)) }

// Left returns the expected work left of a request of which the given work is done. It grows
// again for a request that needs more than expected, because it is then one of the tail.
func (e Estimate) Left(done float64) float64 {
	if done <= 0 {
		return e.mean
	}
	z := (e.mu - math.Log(done)) / e.sigma
	if z < -4 { // the quotient of two tails is inexact; this is its limit
		return done * e.sigma / -z
	}
	return max(0, e.mean*normal(z+e.sigma)/normal(z)-done)
}

// normal is the distribution function of the standard normal distribution.
func normal(z float64) float64 { return math.Erfc(-z/math.Sqrt2) / 2 }
