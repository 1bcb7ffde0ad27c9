package workload

import (
	"container/list"
	"math"
	"math/bits"
	"time"
)

const (
	// maxKeys bounds the memory of an Estimator: about 300 bytes for each key.
	maxKeys = 4096
	// priorVariance and priorMean describe the logarithm of the work of a request of which
	// nothing is known: 100 ms, and one in six takes more than 2.7 times as long.
	priorVariance = 1.0
	// maxVariance bounds the mean that follows from the spread to 7.4 times the median.
	maxVariance = 4.0
	// serviceShrink, routeShrink and accountShrink are the numbers of observations at which an
	// estimate counts as much as the one of the level above. The prior is a guess, so the
	// first request of a service outweighs it.
	serviceShrink = 0.5
	routeShrink   = 3.0
	accountShrink = 3.0
	// averagedRequests is the number of requests that an estimate is averaged over.
	averagedRequests = 30
	// votePeriod is the time in which an account moves the estimates of its route and service
	// about as much as one request does, however many it sends.
	votePeriod = 5 * time.Second
	// maxVote bounds what an account says of a route, on the logarithmic scale: a factor of 8.
	// Larger differences between accounts are unusual.
	maxVote = 2.08
	// timeoutWeight is the weight of a request that timed out.
	timeoutWeight = 0.5
	// minWork bounds the logarithm of the work from below.
	minWork = 1e-5
)

var priorMean = math.Log(0.1)

// Key names requests that are expected to need similar work.
type Key struct {
	Service string
	Route   string
	Account string
	Size    uint8 // class of the size of the body, see SizeClass
}

// SizeClass returns the class of a body: bodies of a class differ by a factor of 4 at most.
func SizeClass(bytes int) uint8 {
	return uint8(min((bits.Len(uint(max(bytes, 0))>>8)+1)/2, 8)) //nolint:gosec // at most 8
}

// level is the set of requests that an average is taken over.
type level struct {
	Key
	kind levelKind
}

type levelKind uint8

const (
	ofService levelKind = iota
	ofRoute
	ofAccount
)

// Estimator learns how much work requests need, by service, route and size of the body, and
// account. A key with few observations shrinks towards the levels above it.
type Estimator struct {
	limit  int
	byKey  map[level]*list.Element
	recent *list.List // of *learned, the one used last first
}

type learned struct {
	level   level
	work    average // of the logarithm of the work
	votes   float64 // requests by which an account has moved the levels above, see votePeriod
	votedAt time.Time
}

// NewEstimator returns an Estimator that knows nothing.
func NewEstimator() *Estimator {
	return &Estimator{limit: maxKeys, byKey: map[level]*list.Element{}, recent: list.New()}
}

// levels returns the levels of k, the widest one first.
func levels(k Key) [3]level {
	return [3]level{{Key{Service: k.Service}, ofService}, {Key{Service: k.Service, Route: k.Route, Size: k.Size}, ofRoute}, {k, ofAccount}}
}

// ExpectOfService returns the work of a request of a service of which no more is known.
func (e *Estimator) ExpectOfService(service string) Estimate {
	mu, variance := priorMean, priorVariance
	e.refine(&mu, &variance, level{Key{Service: service}, ofService}, serviceShrink)
	return newEstimate(mu, variance, 0)
}

// Expect returns the work that a request is expected to need.
func (e *Estimator) Expect(k Key) Estimate {
	mu, variance, known := priorMean, priorVariance, 0.0
	for i, l := range levels(k) {
		known = e.refine(&mu, &variance, l, [3]float64{serviceShrink, routeShrink, accountShrink}[i])
	}
	return newEstimate(mu, variance, known)
}

// refine moves a mean and variance towards those of l and returns the share of l.
func (e *Estimator) refine(mu, variance *float64, l level, shrink float64) float64 {
	at, ok := e.byKey[l]
	if !ok {
		return 0
	}
	e.recent.MoveToFront(at)
	x := at.Value.(*learned).work
	share := x.n / (x.n + shrink)
	*variance += share * (x.variance - *variance)
	*mu += share * (x.mean - *mu)
	return share
}

// Observe records the work in seconds that a request has needed. The weight, at most 1, says
// how exactly it is known.
func (e *Estimator) Observe(now time.Time, k Key, work, weight float64) {
	x := math.Log(max(work, minWork))
	ls := levels(k)
	own := e.get(ls[2])
	own.work.add(x, weight, averagedRequests)
	vote := weight / (1 + own.votes)
	own.votes = own.votes*math.Exp(-max(0, now.Sub(own.votedAt).Seconds())/votePeriod.Seconds()) + weight
	own.votedAt = now
	e.get(ls[1]).vote(x, vote)
	e.get(ls[0]).vote(x, vote)
}

// vote moves the work of a level of many accounts.
func (l *learned) vote(x, weight float64) {
	if l.work.n >= 1 {
		x = min(max(x, l.work.mean-maxVote), l.work.mean+maxVote)
	}
	l.work.add(x, weight, averagedRequests)
}

// ObserveAtLeast records that a request has needed more than the given work. That says nothing
// if more is expected anyway, and nothing about other accounts.
func (e *Estimator) ObserveAtLeast(k Key, work float64) {
	if x := math.Log(max(work, minWork)); x > e.Expect(k).mu {
		e.get(level{k, ofAccount}).work.add(x, timeoutWeight, averagedRequests)
	}
}

// get returns what is learned of l, and forgets the level that was not used for the longest
// time when there are too many.
func (e *Estimator) get(l level) *learned {
	if at, ok := e.byKey[l]; ok {
		e.recent.MoveToFront(at)
		return at.Value.(*learned)
	}
	if len(e.byKey) >= e.limit {
		last := e.recent.Back()
		delete(e.byKey, e.recent.Remove(last).(*learned).level)
	}
	x := &learned{level: l}
	e.byKey[l] = e.recent.PushFront(x)
	return x
}
