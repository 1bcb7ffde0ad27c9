// Package dispatch runs a request on one of the upstreams of a service. It picks an
// upstream, forwards the request, and retries where that is allowed. It serves both the
// requests of callers and the samples of trainers.
package dispatch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/picker"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/ratecap"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// maxAttempts is the largest number of upstreams that one request is sent to.
const maxAttempts = 3

// noUpstreamRetryAfter is the retry delay returned when no upstream can take a request.
const noUpstreamRetryAfter = time.Second

// failedRetryAfter is the retry delay returned with the final error of a request that the
// caller may send again.
const failedRetryAfter = time.Second

// Job is one request to run on an upstream.
type Job struct {
	Service     string
	Account     string                      // client account; empty on routes that need no key
	Fingerprint string                      // of the request, see quarantine.Fingerprint
	MinVersion  uint64                      // oldest weight version that may run it; 0 for any
	Origin      origin.Origin               // of the text that it goes on with; zero if it begins one
	Idempotent  bool                        // may run more than once
	Exclude     []string                    // ids of upstreams that must not run it
	OnAttempt   func(upstream.Announcement) // called before each attempt; may be nil
	Out         forward.Outgoing

	// Owed is set if the job was handed in for later, so that it must run however many
	// upstreams crash meanwhile. It is not quarantined and needs no Fingerprint. It isn't
	// retried here once it may have run: the sender retries it with a delay that grows with
	// the crashes.
	Owed bool
	// Alone is set if an owed job is to run on an upstream without other requests.
	Alone bool
	// OnCrash is called when an upstream has crashed while it ran an owed job, possibly after
	// Run has returned.
	OnCrash func(upstream.Announcement)
}

// purpose returns what the job's requests are for.
func (j Job) purpose() ratecap.Purpose {
	if j.Owed {
		return ratecap.ForBackground
	}
	return ratecap.ForCaller
}

// Consumer reads the response of an upstream. Once it has sent any byte to the caller, it
// must wrap its error with Delivered, so that the job is not retried.
type Consumer func(resp *http.Response, from upstream.Announcement) error

// deliveredError marks an error that occurred after part of the response was sent to the
// caller.
type deliveredError struct{ error }

// Unwrap returns the marked error.
func (d deliveredError) Unwrap() error { return d.error }

// Delivered marks err as having occurred after part of the response was sent to the
// caller. It returns nil if err is nil.
func Delivered(err error) error {
	if err == nil {
		return nil
	}
	return deliveredError{err}
}

// Dispatcher runs the jobs of one entry, a daemon that takes requests from callers. It may
// be used by many goroutines.
type Dispatcher struct {
	zone       string
	chooser    *chooser.Chooser
	forwarder  *forward.Forwarder
	quarantine *quarantine.Table
	abandoned  *upstream.PendingChecks
	tracer     trace.Tracer
	departures upstream.DepartureTracker
	rates      ratecap.Tracker
	refuses    func(address string) bool // whether an upstream refuses connections
	evacuated  func(upstream.Announcement) bool

	mu           sync.Mutex
	retryBudgets map[string]*RetryBudget // by service
}

// New returns a Dispatcher for an entry in zone that picks among the upstreams of dir.
func New(zone string, dir chooser.Directory, f *forward.Forwarder, q *quarantine.Table, tracer trace.Tracer) *Dispatcher {
	return &Dispatcher{
		zone: zone, chooser: chooser.New(dir), forwarder: f, quarantine: q, abandoned: upstream.NewPendingChecks(), tracer: tracer,
		refuses:      upstream.RefusesConnections,
		evacuated:    func(upstream.Announcement) bool { return false },
		retryBudgets: map[string]*RetryBudget{}, departures: upstream.IgnoreDepartures{}, rates: ratecap.IgnoreRates{},
	}
}

// JudgeCrashesBy makes the dispatcher ask refuses whether the upstream at an address accepts no
// connections, in place of trying it over this daemon's own link alone. It must be called before
// Run.
func (d *Dispatcher) JudgeCrashesBy(refuses func(address string) bool) { d.refuses = refuses }

// KeepRates makes the dispatcher tell k of the rates that upstreams name, and send them no
// more. It must be called before Run.
func (d *Dispatcher) KeepRates(k *ratecap.Keeper) { d.rates, d.chooser.Rates = k, k }

// TrackDepartures makes the dispatcher tell t of the upstreams that leave, and send nothing
// to those that have left. It must be called before Run.
func (d *Dispatcher) TrackDepartures(t upstream.DepartureTracker) { d.departures = t }

// SkipEvacuated makes the dispatcher send nothing to an upstream for which evacuated returns true,
// also if the upstream was chosen before. It must be called before Run.
func (d *Dispatcher) SkipEvacuated(evacuated func(upstream.Announcement) bool) {
	d.evacuated = evacuated
}

// Run runs job on an upstream and passes the response to consume. It makes at most
// maxAttempts attempts. The result class of the error says whether the job may have run in
// any of them. The error carries a retry delay if the caller may send the request again.
func (d *Dispatcher) Run(ctx context.Context, job Job, consume Consumer) error {
	req := picker.Request{
		Service: job.Service, Zone: d.zone, MinVersion: job.MinVersion, Origin: job.Origin, Exclude: slices.Clone(job.Exclude),
		Repeatable: job.Idempotent, Prefix: job.promptPrefix(), ID: job.Out.RequestID, Background: job.Owed,
	}
	req.Ends, _ = ctx.Deadline()
	d.depositRetry(job.Service)
	var attemptErr error
	for range maxAttempts {
		record := d.record(job)
		if record.Blocked() {
			return quarantinedError(attemptErr)
		}
		u, release, ok := d.awaitUpstream(ctx, job, req, record.Suspect() || job.Alone && d.mayReserve(job.Service))
		if !ok {
			break
		}
		err := d.attempt(ctx, job, u, consume)
		d.chooser.Release(ctx, u.Announcement, err)
		release()
		if err == nil {
			d.clear(record)
			return nil
		}
		if attemptErr == nil || mayHaveRun(err) {
			attemptErr = err
		}
		if !d.retryable(ctx, job, err) {
			break
		}
		req.Exclude = append(req.Exclude, u.ID)
	}
	if attemptErr != nil {
		return withRetryAfter(job, attemptErr)
	}
	if delay, ok := d.chooser.ReturnDelay(job.Service); ok {
		return result.NewRetryAfter(result.NoUpstream, delay, "all upstreams of %s are at the rates that they name", job.Service)
	}
	return result.NewRetryAfter(result.NoUpstream, noUpstreamRetryAfter, "no upstream of %s can take the request", job.Service)
}

// awaitUpstream picks an upstream. An owed job waits while all of them are at the rates that
// they name.
func (d *Dispatcher) awaitUpstream(ctx context.Context, job Job, req picker.Request, alone bool) (chooser.Choice, func(), bool) {
	for {
		u, release, ok := d.pickUpstream(ctx, req, alone)
		if ok || !job.Owed {
			return u, release, ok
		}
		wait, atRate := d.chooser.AtRate(job.Service)
		if !atRate || !periodic.Pause(ctx, wait) {
			return u, release, false
		}
	}
}

// record returns the quarantine's record of job; an owed job has none.
func (d *Dispatcher) record(job Job) quarantine.Record {
	if job.Owed {
		return quarantine.Record{}
	}
	return d.quarantine.Record(job.Fingerprint)
}

// quarantinedError returns the final error of a quarantined request: QuarantinedNow if one
// of its own attempts may have run, Quarantined if none did.
func quarantinedError(attemptErr error) error {
	if attemptErr != nil && mayHaveRun(attemptErr) {
		return result.New(result.QuarantinedNow, "the request crashed upstreams")
	}
	return result.New(result.Quarantined, "the request crashed upstreams before")
}

// clear clears the record of a suspect request that ran alone without crashing its
// upstream. It does nothing if the request was not suspect.
func (d *Dispatcher) clear(record quarantine.Record) {
	if record.Suspect() {
		d.quarantine.Release(record.Fingerprint)
	}
}

// withRetryAfter adds failedRetryAfter to err if the caller may send the request again and
// err has no retry delay yet.
func withRetryAfter(job Job, err error) error {
	e := result.From(err)
	if e.RetryAfter > 0 || !job.Idempotent && mayHaveRun(err) {
		return err
	}
	withDelay := result.NewRetryAfter(e.Code, failedRetryAfter, "%s", e.Message)
	var delivered deliveredError
	if errors.As(err, &delivered) {
		return Delivered(withDelay)
	}
	return withDelay
}

// mayHaveRun reports whether the result class of err is other than "not run".
func mayHaveRun(err error) bool {
	return result.CodeOf(err).Info().Class != result.NotRun
}

// retryable reports whether job may be sent to another upstream after err. A job that may
// have run is retried only if it is idempotent and not owed, and the retry budget of its
// service allows it.
func (d *Dispatcher) retryable(ctx context.Context, job Job, err error) bool {
	var delivered deliveredError
	if ctx.Err() != nil || errors.As(err, &delivered) {
		return false
	}
	if !mayHaveRun(err) {
		return result.CodeOf(err) == result.UpstreamUnreached
	}
	return job.Idempotent && !job.Owed && d.withdrawRetry(job.Service)
}

// retryBudget returns the budget of a service. The caller holds d.mu.
func (d *Dispatcher) retryBudget(service string) *RetryBudget {
	b := d.retryBudgets[service]
	if b == nil {
		b = &RetryBudget{}
		d.retryBudgets[service] = b
	}
	return b
}

func (d *Dispatcher) depositRetry(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget(service).Deposit()
}

func (d *Dispatcher) withdrawRetry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget(service).TryWithdraw()
}

// send sends job to u and passes the response to consume. An owed job leaves an upstream
// that has died without closing its connection.
func (d *Dispatcher) send(ctx context.Context, job Job, choice chooser.Choice, consume Consumer) error {
	u := choice.Announcement
	var watch *silenceWatch
	if job.Owed {
		var stop func()
		ctx, watch, stop = d.watchSilence(ctx, job, u)
		defer stop()
	}
	out := job.Out
	out.Check = func() error { return d.checkBeforeSend(job, choice) }
	sentAt := time.Now()
	d.rates.Sent(u, job.purpose())
	resp, err := d.forwarder.Send(ctx, u.Address, out)
	if err == nil {
		defer resp.Body.Close()
		if forward.SaysLeaving(resp) {
			d.departures.Observe(upstream.Sighting{Upstream: u, Request: job.Out.RequestID, Status: resp.StatusCode})
		}
		d.rates.Answered(ratecap.Answer{Upstream: u, Request: job.Out.RequestID, Status: resp.StatusCode, SentAt: sentAt, Named: forward.NamedRate(resp)})
		if watch != nil {
			resp.Body = watch.body(resp)
		}
		err = consume(resp, u)
	}
	if err != nil && context.Cause(ctx) == errSilent {
		return errSilent
	}
	return err
}

// checkBeforeSend returns an error of the class "not run" if u has left or its zone was evacuated
// since it was chosen or the token for it has run out, and otherwise the error of the job's own
// check.
func (d *Dispatcher) checkBeforeSend(job Job, u chooser.Choice) error {
	if d.departures.Left(u.Announcement) {
		return result.New(result.UpstreamUnreached, "the upstream has said that it leaves")
	}
	if d.evacuated(u.Announcement) {
		return result.New(result.UpstreamUnreached, "the zone of the upstream is evacuated")
	}
	if u.Expired(time.Now()) {
		return result.New(result.UpstreamUnreached, "the token for the rate of the upstream has run out")
	}
	if job.Out.Check == nil {
		return nil
	}
	return job.Out.Check()
}

// attempt sends job to u once and passes the response to consume.
func (d *Dispatcher) attempt(ctx context.Context, job Job, choice chooser.Choice, consume Consumer) error {
	u := choice.Announcement
	ctx, span := d.tracer.Start(ctx, "upstream", trace.WithAttributes(
		attribute.String("upstream", u.ID), attribute.String("zone", u.Zone), attribute.String("request", job.Out.RequestID)))
	defer span.End()
	if job.OnAttempt != nil {
		job.OnAttempt(u)
	}
	err := d.send(ctx, job, choice, consume)
	code := result.CodeOf(err)
	span.SetAttributes(attribute.Int("code", int(code)))
	d.detectCrash(ctx, job, u, err)
	return err
}
