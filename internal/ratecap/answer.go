package ratecap

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// MaxRate is the largest rate that an upstream may name, in requests a second. It is far
// above what one server takes, and low enough for all computations with it.
const MaxRate = 1e6

// Answer is what the answer of an upstream says of the rate that it takes.
type Answer struct {
	Upstream upstream.Announcement // the upstream that was asked and has answered
	Request  string                // id of the request; empty if it had none
	Status   int                   // HTTP status
	SentAt   time.Time             // when the request was sent
	// Named holds the values of the header field that names the rate. It is empty if the
	// answer has none.
	Named []string
	// Refused is set if the upstream has rejected the request without running it. Such an
	// answer may name a rate; that it names none does not mean that there is none.
	Refused bool
}

// rate returns the rate that an answer names, in requests a second, or 0 if it names none.
// It returns an error for a value that is no usable rate.
func (a Answer) rate() (float64, error) {
	switch len(a.Named) {
	case 0:
		return 0, nil
	case 1:
	default:
		return 0, fmt.Errorf("%d rates are named", len(a.Named))
	}
	r, err := strconv.ParseFloat(strings.TrimSpace(a.Named[0]), 64)
	if err != nil || math.IsNaN(r) || r <= 0 || r > MaxRate {
		return 0, fmt.Errorf("the rate is not a number above 0 and at most %g", MaxRate)
	}
	return r, nil
}

// Purpose is what a request to an upstream is for.
type Purpose int

// Purposes of requests.
const (
	ForCaller     Purpose = iota // a caller's connection waits for the response
	ForBackground                // work that was handed in for later, such as batch items
	ForControl                   // orders to the upstream and questions about its state, which need no token
	purposes
)

// Tracker is told of the requests to upstreams and of their answers.
type Tracker interface {
	// Sent records that a request is being sent.
	Sent(to upstream.Announcement, p Purpose)
	// Answered records what an answer says.
	Answered(a Answer)
}

// IgnoreRates is a Tracker that keeps nothing.
type IgnoreRates struct{}

// Sent implements Tracker.
func (IgnoreRates) Sent(upstream.Announcement, Purpose) {}

// Answered implements Tracker.
func (IgnoreRates) Answered(Answer) {}
