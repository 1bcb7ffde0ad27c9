package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/result"
)

// Bounds of one request.
const (
	// defaultAttempts is how many upstreams may run a request whose route sets
	// no number.
	defaultAttempts = 2
	// maxRefusals is how many upstreams may refuse a request before it is
	// refused: a sample of them found all full.
	maxRefusals = 4
	// hedgeShare is the part of the route's target latency after which a second
	// upstream is tried: enough is left for it to answer in time.
	hedgeShare = 0.55
	// minHedge keeps short targets from doubling all requests.
	minHedge = 40 * time.Millisecond
	// comeBack is advised when upstreams are full or missing: about one answer's
	// time, so that a slot has come free.
	comeBack = 200 * time.Millisecond
)

// Proxy runs callers' requests for one daemon.
type Proxy struct {
	log       *log.Logger
	zone      string
	chooser   *chooser.Chooser
	upstreams Upstreams
	usage     Usage
	suspects  Suspects
}

// Usage counts requests that began to run.
type Usage interface {
	Began(account string, at time.Time)
}

// Suspects remembers requests that crash upstreams.
type Suspects interface {
	// Blocked reports whether the request must not run again.
	Blocked(fingerprint string) bool
	// Failed reports that an upstream broke off while it had the request.
	Failed(q *Request, fingerprint string, a Attempt)
}

// New returns a proxy for a daemon in zone.
func New(logger *log.Logger, zone string, c *chooser.Chooser, u Upstreams, usage Usage, suspects Suspects) *Proxy {
	return &Proxy{log: logger, zone: zone, chooser: c, upstreams: u, usage: usage, suspects: suspects}
}

var (
	requests = func(outcome string) *metrics.Counter {
		return metrics.GetOrCreateCounter(`apricotstream_requests_total{outcome="` + outcome + `"}`)
	}
	latency = metrics.NewHistogram("apricotstream_request_seconds")
	hedges  = metrics.NewCounter("apricotstream_hedges_total")
	retries = metrics.NewCounter("apricotstream_retries_total")
)

// Serve runs q and returns the answer, or an error whose code says whether q
// may have run. The caller must close a stream.
func (p *Proxy) Serve(ctx context.Context, q *Request) (*Answer, error) {
	began := time.Now()
	r := newRun(p, q)
	answer, err := r.serve(ctx)
	took := time.Since(began)
	latency.Update(took.Seconds())
	p.report(q, r, answer, err, took)
	return answer, err
}

func (p *Proxy) report(q *Request, r *run, answer *Answer, err error, took time.Duration) {
	route := ""
	if q.Route != nil {
		route = q.Route.Name
	}
	if err != nil {
		e := result.From(err)
		requests(e.Code.Info().Name).Inc()
		p.log.Warn("Request failed.", "request", q.ID, "route", route, "service", q.Service, "account", q.Account,
			"code", int(e.Code), "class", e.Code.Info().Class, "runs", r.runs, "refused", r.refused, "hedged", r.hedged, "tried", r.tried, "routing", q.Routing,
			"ms", took.Milliseconds(), "left_ms", time.Until(q.Deadline).Milliseconds(), "err", e.Message)
		return
	}
	requests("answered").Inc()
	p.log.Info("Request answered.", "request", q.ID, "route", route, "account", q.Account, "upstream", answer.From.ID,
		"status", answer.Status, "runs", r.runs, "refused", r.refused, "hedged", r.hedged, "routing", q.Routing, "ms", took.Milliseconds())
}

// succeeded reports whether an answer is final even where another run could
// still succeed.
func succeeded(a *Answer) bool { return a.Status < http.StatusInternalServerError }

// closeAll drops answers that lost a race.
func closeAll(results <-chan Attempt, pending *sync.WaitGroup) {
	go func() {
		pending.Wait()
		for {
			select {
			case a := <-results:
				if a.Answer != nil && a.Answer.Stream != nil {
					a.Answer.Stream.Close()
				}
			default:
				return
			}
		}
	}()
}
