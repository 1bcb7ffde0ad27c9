// Package dispatch runs a request on some upstream: it picks, forwards, and
// retries where that is allowed. Callers' requests and trainers' samples both
// come through here.
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
	"github.com/apricotstream/apricotstream/internal/picker"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// maxAttempts bounds the upstreams tried for one request.
const maxAttempts = 3

// noUpstreamRetry is advised when no upstream can take a request.
const noUpstreamRetry = time.Second

// failedRetry is advised when a request is given up that may be sent again.
const failedRetry = time.Second

// Job is a request to run.
type Job struct {
	Service     string
	Account     string // client account it runs for; empty on open routes
	Fingerprint string
	MinVersion  uint64
	Idempotent  bool                        // may run twice
	Exclude     []string                    // upstreams that must not run it
	OnAttempt   func(upstream.Announcement) // called before each attempt; may be nil
	Out         forward.Outgoing
}

// Consumer takes an upstream's answer. After it has passed any byte on to the
// caller it must wrap its error with Delivered: the job is then not retried.
type Consumer func(resp *http.Response, from upstream.Announcement) error

// delivered marks an error after which part of the answer is out.
type delivered struct{ error }

// Unwrap gives access to the coded error.
func (d delivered) Unwrap() error { return d.error }

// Delivered wraps err; nil stays nil.
func Delivered(err error) error {
	if err == nil {
		return nil
	}
	return delivered{err}
}

// Dispatcher runs jobs for one entry.
type Dispatcher struct {
	zone       string
	chooser    *chooser.Chooser
	forwarder  *forward.Forwarder
	quarantine *quarantine.Table
	tracer     trace.Tracer

	mu      sync.Mutex
	budgets map[string]*Budget // by service
}

// New returns a Dispatcher for an entry in zone.
func New(zone string, dir chooser.Directory, f *forward.Forwarder, q *quarantine.Table, tracer trace.Tracer) *Dispatcher {
	return &Dispatcher{
		zone: zone, chooser: chooser.New(dir), forwarder: f, quarantine: q, tracer: tracer,
		budgets: map[string]*Budget{},
	}
}

// Run runs job and hands the answer to consume. The error's class says whether
// the job may have run, over all attempts. A job that may be sent again by its
// caller is given up with the time to come back.
func (d *Dispatcher) Run(ctx context.Context, job Job, consume Consumer) error {
	q := picker.Request{
		Service: job.Service, Zone: d.zone, MinVersion: job.MinVersion, Exclude: slices.Clone(job.Exclude),
		Repeatable: job.Idempotent, Prefix: job.prefix(),
	}
	q.Ends, _ = ctx.Deadline()
	d.earn(job.Service)
	var worst error
	for range maxAttempts {
		known := d.quarantine.Record(job.Fingerprint)
		if known.Blocked() {
			return quarantined(worst)
		}
		u, free, ok := d.choose(q, known.Suspect())
		if !ok {
			break
		}
		err := d.attempt(ctx, job, u, consume)
		d.chooser.Release(ctx, u, err)
		free()
		if err == nil {
			d.clear(known)
			return nil
		}
		if worst == nil || mayHaveRun(err) {
			worst = err
		}
		if !d.retryable(ctx, job, err) {
			break
		}
		q.Exclude = append(q.Exclude, u.ID)
	}
	if worst != nil {
		return giveUp(job, worst)
	}
	return result.NewRetryAfter(result.NoUpstream, noUpstreamRetry, "no upstream of %s can take the request", job.Service)
}

// quarantined is the final answer to a request that crashed upstreams, be it
// just now or before this sending.
func quarantined(worst error) error {
	if worst != nil && mayHaveRun(worst) {
		return result.New(result.QuarantinedNow, "the request crashed upstreams")
	}
	return result.New(result.Quarantined, "the request crashed upstreams before")
}

// clear ends the suspicion against a request that ran alone and did no harm.
func (d *Dispatcher) clear(known quarantine.Record) {
	if known.Suspect() {
		d.quarantine.Release(known.Fingerprint)
	}
}

// giveUp adds the time to come back where sending again is allowed.
func giveUp(job Job, err error) error {
	e := result.From(err)
	if e.RetryAfter > 0 || !job.Idempotent && mayHaveRun(err) {
		return err
	}
	again := result.NewRetryAfter(e.Code, failedRetry, "%s", e.Message)
	var out delivered
	if errors.As(err, &out) {
		return Delivered(again)
	}
	return again
}

func mayHaveRun(err error) bool {
	return result.CodeOf(err).Info().Class != result.NotRun
}

// retryable reports whether job may go to another upstream after err.
func (d *Dispatcher) retryable(ctx context.Context, job Job, err error) bool {
	var out delivered
	if ctx.Err() != nil || errors.As(err, &out) {
		return false
	}
	if !mayHaveRun(err) {
		return result.CodeOf(err) == result.UpstreamUnreached
	}
	return job.Idempotent && d.spend(job.Service)
}

func (d *Dispatcher) budget(service string) *Budget {
	b := d.budgets[service]
	if b == nil {
		b = &Budget{}
		d.budgets[service] = b
	}
	return b
}

func (d *Dispatcher) earn(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).Request()
}

func (d *Dispatcher) spend(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(service).Retry()
}

func (d *Dispatcher) attempt(ctx context.Context, job Job, u upstream.Announcement, consume Consumer) error {
	ctx, span := d.tracer.Start(ctx, "upstream", trace.WithAttributes(
		attribute.String("upstream", u.ID), attribute.String("zone", u.Zone), attribute.String("request", job.Out.RequestID)))
	defer span.End()
	if job.OnAttempt != nil {
		job.OnAttempt(u)
	}
	resp, err := d.forwarder.Send(ctx, u.Address, job.Out)
	if err == nil {
		defer resp.Body.Close()
		err = consume(resp, u)
	}
	code := result.CodeOf(err)
	span.SetAttributes(attribute.Int("code", int(code)))
	d.judge(ctx, job, u, err)
	return err
}
