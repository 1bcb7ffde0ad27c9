package ratecap

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

var epoch = time.Unix(1_000_000, 0)

// at returns a moment of a test, in seconds.
func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

// seen is an observation of incarnation 1 of upstream u, whose request was sent a moment
// before the answer came.
func seen(rate, sentAt, answeredAt float64) Observation {
	return Observation{ID: "u", Incarnation: 1, Rate: rate, SentAt: at(sentAt), At: at(answeredAt)}
}

// Guards against a rate that only ever sinks, that ends because one answer lacks it or an
// answer was late, or that does not end although the upstream names it no more.
func TestRateFollowsWhatAnswersSay(t *testing.T) {
	restarted := seen(9, 3, 3.1)
	restarted.Incarnation = 2
	older := seen(9, 3, 3.1)
	older.Incarnation = 0
	for _, c := range []struct {
		name string
		seen []Observation
		rate float64 // right after the last observation; 0: no bound
	}{
		{"named", []Observation{seen(3, 1, 1.1)}, 3},
		{"sinks", []Observation{seen(3, 1, 1.1), seen(0.2, 2, 2.1)}, 0.2},
		{"rises", []Observation{seen(3, 1, 1.1), seen(70, 2, 2.1)}, 70},
		{"missing once", []Observation{seen(3, 1, 1.1), seen(0, 2, 2.1)}, 3},
		{"missing once, twice over", []Observation{seen(3, 1, 1.1), seen(0, 2, 2.1), seen(3, 3, 3.1), seen(0, 4, 4.1)}, 3},
		{"missing in answers to requests sent before it was named", []Observation{seen(3, 1, 1.1), seen(0, 0.5, 2), seen(0, 1, 3)}, 3},
		{"never named", []Observation{seen(0, 1, 1.1), seen(0, 2, 2.1)}, 0},
		{"withdrawn and named again", []Observation{seen(3, 1, 1.1), seen(0, 2, 2.1), seen(0, 2, 2.2), seen(4, 3, 3.1)}, 4},
		{"a new incarnation", []Observation{seen(3, 1, 1.1), restarted}, 9},
		{"a late answer of an older incarnation", []Observation{seen(3, 1, 1.1), older}, 3},
		{"of the old incarnation after a new one", []Observation{restarted, seen(3, 4, 4.1)}, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := NewTable()
			last := Observation{}
			for _, o := range c.seen {
				table.Observe(o)
				last = o
			}
			incarnation := int64(1)
			if c.rate == 9 {
				incarnation = 2
			}
			x, ok := table.Get(last.At, "u", incarnation)
			g.Expect(ok).To(Equal(c.rate != 0))
			if ok {
				g.Expect(x.RateAt(last.At)).To(Equal(c.rate))
			}
		})
	}
}

// Guards against all requests that return at once to an upstream that has just withdrawn its
// rate, and against a bound that stays.
func TestBoundGrowsOnceTheRateIsWithdrawn(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	table.Observe(seen(2, 1, 1.1))
	table.Observe(seen(0, 2, 2.1))
	table.Observe(seen(0, 2.5, 3))
	before := 0.0
	for s := 3.0; s < 3+recoveryTime.Seconds(); s += recoveryDoubling.Seconds() {
		x, ok := table.Get(at(s), "u", 1)
		g.Expect(ok).To(BeTrue())
		g.Expect(x.RateAt(at(s))).To(And(BeNumerically(">=", 2), BeNumerically(">", before), BeNumerically("<=", max(4, before*2))))
		before = x.RateAt(at(s))
	}
	_, ok := table.Get(at(3).Add(recoveryTime), "u", 1)
	g.Expect(ok).To(BeFalse())
}

// Guards against a value that is no usable rate and is used as one, or replaces a good one.
func TestInvalidRatesAreIgnored(t *testing.T) {
	for name, values := range map[string][]string{
		"zero": {"0"}, "negative": {"-3"}, "huge": {"1e300"}, "infinite": {"Inf"}, "not a number": {"NaN"}, "words": {"a few"},
		"empty": {""}, "two values": {"3", "4"}, "a list": {"3, 4"}, "a unit": {"3/s"}, "above the bound": {"1000001"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRecorder(log.New(io.Discard))
			u := upstream.Announcement{ID: "u", Incarnation: 1}
			answer := func(s float64, named ...string) {
				r.observe(at(s), Answer{Upstream: u, SentAt: at(s - 0.05), Named: named})
			}
			answer(1, values...)
			_, ok := r.table.Get(at(1), "u", 1)
			g.Expect(ok).To(BeFalse(), "no bound from it")
			answer(2, " 2.5 ")
			answer(3, values...)
			answer(4, values...)
			x, ok := r.table.Get(at(4), "u", 1)
			g.Expect(ok).To(BeTrue())
			g.Expect(x.RateAt(at(4))).To(Equal(2.5), "the last good one")
		})
	}
}
