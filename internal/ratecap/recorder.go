package ratecap

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// reportInterval is the time between two log lines about the requests to an upstream that
// names a rate, and between two about its invalid answers.
const reportInterval = time.Second

var (
	changesSeen  = metrics.NewCounter("apricotstream_upstream_rate_changes_total")
	invalidNamed = metrics.NewCounter("apricotstream_upstream_rate_invalid_total")
	sentToCapped = metrics.NewCounter("apricotstream_upstream_rate_requests_total")
)

// recorder is the part of a Keeper that records and logs what upstreams name and what is
// sent to them. The Keeper's lock guards it.
type recorder struct {
	log *log.Logger

	table      *Table
	sent       map[string]*sentCounts // since the last report, by upstream
	reportedAt time.Time
	invalidAt  map[string]time.Time // last log line about invalid answers, by upstream
}

// sentCounts counts the requests to one upstream.
type sentCounts struct {
	to        upstream.Announcement
	rate      float64
	cold      bool
	byPurpose [purposes]int
}

func newRecorder(logger *log.Logger) *recorder {
	return &recorder{log: logger, table: NewTable(), sent: map[string]*sentCounts{}, invalidAt: map[string]time.Time{}}
}

// observe records what an answer says. It returns the observation, and whether it changed
// what may be sent. ok is false if the answer says nothing of a rate that is or was named.
func (r *recorder) observe(now time.Time, a Answer) (o Observation, changed, ok bool) {
	rate, err := a.rate()
	u := a.Upstream
	if err != nil {
		invalidNamed.Inc()
		if now.Sub(r.invalidAt[u.ID]) >= reportInterval {
			r.invalidAt[u.ID] = now
			r.log.Warn("Upstream names an invalid rate, which is ignored.", "upstream", u.ID, "service", u.Service, "incarnation", u.Incarnation,
				"answered", a.Request, "status", a.Status, "err", err.Error())
		}
		return o, false, false
	}
	before, known := r.table.Get(now, u.ID, u.Incarnation)
	if rate == 0 && (!known || a.Refused) {
		return o, false, false
	}
	o = Observation{ID: u.ID, Incarnation: u.Incarnation, Rate: rate, SentAt: a.SentAt, At: now}
	changed = r.table.Observe(o)
	if changed {
		changesSeen.Inc()
		message := "Upstream names a rate."
		if rate == 0 {
			message = "Upstream names no rate any more."
		}
		r.log.Info(message, "upstream", u.ID, "service", u.Service, "incarnation", u.Incarnation, "rate", rate, "before", before.Rate,
			"answered", a.Request, "status", a.Status)
	}
	return o, changed, true
}

// countSent counts a request to an upstream that names a rate or is cold.
func (r *recorder) countSent(to upstream.Announcement, bound Cap, p Purpose) {
	if bound.cold {
		coldRequests.Inc()
	} else {
		sentToCapped.Inc()
	}
	c := r.sent[to.ID]
	if c == nil {
		c = &sentCounts{to: to}
		r.sent[to.ID] = c
	}
	c.rate, c.cold = bound.Rate, bound.cold
	c.byPurpose[p]++
}

// report logs once per reportInterval how many requests this daemon has sent to each
// upstream that names a rate or is cold.
func (r *recorder) report(now time.Time) {
	if now.Sub(r.reportedAt) < reportInterval {
		return
	}
	for id, c := range r.sent {
		message := "Requests sent to an upstream that names a rate."
		if c.cold {
			message = "Requests sent to a cold upstream."
		}
		r.log.Info(message, "upstream", id, "service", c.to.Service, "rate", c.rate, "over_ms", min(now.Sub(r.reportedAt), time.Minute).Milliseconds(),
			"for_callers", c.byPurpose[ForCaller], "for_background", c.byPurpose[ForBackground], "for_control", c.byPurpose[ForControl])
	}
	clear(r.sent)
	clear(r.invalidAt)
	r.reportedAt = now
}
