package admission

import (
	"math"
	"time"
)

// serviceTimeWeight is the weight of a new sample in the moving average.
const serviceTimeWeight = 1.0 / 16

// serviceTime estimates how long requests take from those that have ended. Before the
// first one has ended the estimate is 0, so that no request is rejected without evidence.
type serviceTime struct {
	secondsPerCost float64 // seconds that a request takes for each token of estimated cost
}

// record adds the duration of a request with the given estimated cost.
func (s *serviceTime) record(cost float64, took time.Duration) {
	sample := took.Seconds() / cost
	if s.secondsPerCost == 0 {
		s.secondsPerCost = sample
		return
	}
	s.secondsPerCost += serviceTimeWeight * (sample - s.secondsPerCost)
}

// estimate returns the expected duration of a request with the given cost, once it is
// admitted.
func (s *serviceTime) estimate(cost float64) time.Duration {
	return seconds(cost * s.secondsPerCost)
}

// queueDelay returns the expected time until queued requests with the given total cost
// have been admitted, if they get the given share of the slots.
func (s *serviceTime) queueDelay(cost, share float64, slots int) time.Duration {
	if cost == 0 {
		return 0
	}
	return seconds(cost * s.secondsPerCost / (share * max(float64(slots), 0.1)))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
