package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Limits of one request.
const (
	// defaultMaxAttempts is the number of upstreams that may run a request whose route
	// sets no limit.
	defaultMaxAttempts = 2
	// maxMaxAttempts bounds the number that a route sets. Each request keeps room for the results
	// of all its attempts, so a number of a billion ends the process.
	maxMaxAttempts = 64
	// maxRejections is the number of attempts that may end without running the request,
	// because the upstream rejected it or was not reached. After that many the request is
	// not retried: the service counts as having no free concurrency slot.
	maxRejections = 4
	// hedgeDelayShare is the share of the route's target latency after which the request
	// is sent to a second upstream. The rest is enough for that upstream to answer in time.
	hedgeDelayShare = 0.55
	// minHedgeDelay keeps a short target latency from doubling every request.
	minHedgeDelay = 40 * time.Millisecond
	// roomPollInterval is the time after which background work looks again for an upstream
	// with a free slot.
	roomPollInterval = 10 * time.Millisecond
	// rateWaitShare is the share of the route's target latency for which a request waits for
	// an upstream that is at the rate that it names. The rest is for the upstream's response.
	rateWaitShare = 0.4
	// rateWaitShareOfTime is the share of a request's time without a target latency.
	rateWaitShareOfTime = 0.1
	// retryAfter is the delay that callers are told to wait when upstreams are full. It is
	// about the time that an upstream takes to respond, so that a concurrency slot is free
	// by then.
	retryAfter = 200 * time.Millisecond
	// unlistedRetryAfter is the delay when the service has no upstream, for example because
	// the last one leaves. Another one is known from its first heartbeat on, and heartbeats
	// come about every second.
	unlistedRetryAfter = time.Second
)

// Proxy sends callers' requests to upstreams for one daemon.
type Proxy struct {
	log       *log.Logger
	zone      string
	chooser   *chooser.Chooser
	upstreams Upstreams
	usage     UsageCounter
	crashes   CrashTracker
	origins   Origins
	refresh   func(context.Context) error // see RefreshUpstreamsBy
}

// Origins keeps which upstreams began callers' streams, see takeup.Keeper.
type Origins interface {
	// Began records that an upstream generates events of the stream that a request of an
	// account began, until the given time at most.
	Began(account, request string, from upstream.Announcement, until time.Time)
	// Find returns the origin of the stream that a request of an account began. Error:
	// OriginUnknown.
	Find(ctx context.Context, account, request string) (origin.Origin, error)
}

// UsageCounter counts the attempts that may have run a request.
type UsageCounter interface {
	// Began counts one attempt of a client account's request that began at the given time.
	Began(account string, at time.Time)
}

// CrashTracker tracks requests that crash upstreams.
type CrashTracker interface {
	// Blocked reports whether the request with this fingerprint must not run again.
	Blocked(fingerprint string) bool
	// ConnectionLost records that the upstream of an attempt may have closed the
	// connection before it had sent its whole response.
	ConnectionLost(q *Request, fingerprint string, a Attempt)
	// Abandoned records that this daemon has ended an attempt that the upstream may still have
	// worked on, because the caller left or the time of the request was up.
	Abandoned(q *Request, fingerprint string, a Attempt)
	// Survived records that an upstream has run the request with this fingerprint to its end.
	Survived(fingerprint string)
}

// New returns a proxy for a daemon in the given zone.
func New(logger *log.Logger, zone string, c *chooser.Chooser, u Upstreams, usage UsageCounter, crashes CrashTracker) *Proxy {
	return &Proxy{log: logger, zone: zone, chooser: c, upstreams: u, usage: usage, crashes: crashes, origins: noOrigins{}, refresh: func(context.Context) error { return nil }}
}

// KeepOrigins makes the proxy tell o of the streams that begin, and ask it where a stream may
// go on. It must be called before the first request.
func (p *Proxy) KeepOrigins(o Origins) { p.origins = o }

// RefreshUpstreamsBy makes the proxy call refresh before it concludes from the list of upstreams
// which software versions serve. refresh returns nil once the list holds what a majority of the
// daemons knows that upstreams announce themselves to. It must be called before the first request.
func (p *Proxy) RefreshUpstreamsBy(refresh func(context.Context) error) { p.refresh = refresh }

var (
	requests = func(outcome string) *metrics.Counter {
		return metrics.GetOrCreateCounter(`apricotstream_requests_total{outcome="` + outcome + `"}`)
	}
	latency = metrics.NewHistogram("apricotstream_request_seconds")
	hedges  = metrics.NewCounter("apricotstream_hedges_total")
	retries = metrics.NewCounter("apricotstream_retries_total")
	// outsideHomes counts requests that were rejected because their service has upstreams in none of
	// their home regions.
	outsideHomes = metrics.NewCounter("apricotstream_requests_outside_homes_total")
)

// Serve sends q to an upstream and returns the response, or an error whose code says
// whether q may have run. The caller must Discard the response.
func (p *Proxy) Serve(ctx context.Context, q *Request) (*Answer, error) {
	began := time.Now()
	e := newExecution(p, q)
	response, err := e.serve(ctx)
	if f := e.bestFailure; f != nil && f.Answer != response {
		f.Answer.Discard()
	}
	took := time.Since(began)
	latency.Update(took.Seconds())
	p.recordOutcome(q, e, response, err, took)
	return response, err
}

// recordOutcome counts and logs the end of a request.
func (p *Proxy) recordOutcome(q *Request, e *execution, response *Answer, err error, took time.Duration) {
	route := e.routeName()
	if err != nil {
		failure := result.From(err)
		requests(failure.Code.Info().Name).Inc()
		if q.TakeUp != nil {
			p.log.Warn("Stream not taken up.", "request", q.ID, "began", q.TakeUp.Began, "last_event", q.TakeUp.LastEventID, "account", q.Account,
				"service", q.Service, "origin", e.origin.Software, "code", int(failure.Code), "err", failure.Message)
		}
		p.log.Warn("Request failed.", "request", q.ID, "route", route, "service", q.Service, "account", q.Account,
			"code", int(failure.Code), "class", failure.Code.Info().Class, "runs", e.ran, "refused", e.notRun, "hedged", e.hedged, "tried", e.tried, "routing", q.Routing,
			"ms", took.Milliseconds(), "left_ms", time.Until(q.Deadline).Milliseconds(), "err", failure.Message)
		return
	}
	requests("answered").Inc()
	if response.Stream != nil && response.Status/100 == 2 {
		p.recordStream(q, e, response)
	}
	fields := []any{
		"request", q.ID, "route", route, "account", q.Account, "upstream", response.From.ID,
		"status", response.Status, "runs", e.ran, "refused", e.notRun, "hedged", e.hedged, "routing", q.Routing, "ms", took.Milliseconds(),
	}
	p.log.Info("Request answered.", append(fields, e.answered.workFields()...)...)
}

// recordStream records and logs that a stream begins or goes on at an upstream.
func (p *Proxy) recordStream(q *Request, e *execution, response *Answer) {
	began := q.ID
	if q.TakeUp != nil && q.TakeUp.Began != "" {
		began = q.TakeUp.Began
	}
	if q.Route != nil && q.Route.Resumable {
		p.origins.Began(q.Account, began, response.From, q.Deadline)
	}
	fields := []any{
		"request", q.ID, "account", q.Account, "service", q.Service, "upstream", response.From.ID, "incarnation", response.From.Incarnation,
		"software", response.From.Software,
	}
	if q.TakeUp == nil {
		p.log.Info("Stream begins.", fields...)
		return
	}
	p.log.Info("Stream goes on.", append(fields, "began", q.TakeUp.Began, "last_event", q.TakeUp.LastEventID, "origin", e.origin.Software)...)
}

// isFinal reports whether a response ends the request even if another attempt is allowed. A
// response with a status of 500 or above isn't final.
func isFinal(a *Answer) bool { return a.Status < http.StatusInternalServerError }
