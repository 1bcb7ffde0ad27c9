package admission

import (
	"math"
	"time"
)

// paceGain is the weight of a new sample in the moving mean.
const paceGain = 1.0 / 16

// pace estimates how long work takes, from the requests that have ended. Before
// the first one everything seems to take no time: nothing is refused on a guess.
type pace struct {
	perCost float64 // seconds that one request takes for each unit of estimated cost
}

func (p *pace) take(cost float64, took time.Duration) {
	s := took.Seconds() / cost
	if p.perCost == 0 {
		p.perCost = s
		return
	}
	p.perCost += paceGain * (s - p.perCost)
}

// alone is the time that a request of cost takes once admitted.
func (p *pace) alone(cost float64) time.Duration {
	return seconds(cost * p.perCost)
}

// drain is the time until cost has been admitted by a part of the slots.
func (p *pace) drain(cost, share float64, slots int) time.Duration {
	if cost == 0 {
		return 0
	}
	return seconds(cost * p.perCost / (share * max(float64(slots), 0.1)))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
