package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/apricotstream/apricotstream/internal/admission"
	"github.com/apricotstream/apricotstream/internal/dispatch"
	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/engine"
	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Headers of callers' requests.
const (
	headerTimeout        = "X-Timeout-Ms"
	headerIdempotencyKey = "Idempotency-Key"
)

// maxIdempotencyKeyBytes bounds the value of the Idempotency-Key header.
const maxIdempotencyKeyBytes = 255

// proxiedRequest is a caller's request to a service.
type proxiedRequest struct {
	c       echo.Context
	service state.Service
	route   document.Route
	key     state.Key // zero value on open routes
	body    []byte
	tokens  int64 // completion tokens of the answer
	abort   bool  // the caller's connection must be aborted: the answer is incomplete
}

// serve answers requests of all methods to /services/:service/*.
func (g *Gateway) serve(c echo.Context) error {
	began := time.Now()
	x, err := g.prepare(c)
	if err == nil {
		err = g.admitAndDispatch(x)
	}
	recordRequest(x.service.Name, result.CodeOf(err), time.Since(began))
	x.abortIfCut()
	return err
}

// prepare finds the service and the route, authenticates the caller and reads the body.
// The request that it returns is never nil.
func (g *Gateway) prepare(c echo.Context) (*proxiedRequest, error) {
	x := &proxiedRequest{c: c}
	cfg := g.View.Config()
	var ok bool
	if x.service, ok = cfg.Services[c.Param("service")]; !ok {
		if !g.View.Fresh() {
			return x, result.Later(result.NotFresh, notFreshRetryAfter, "this entry does not know the services yet")
		}
		return x, result.New(result.ServiceUnknown, "no service %s", c.Param("service"))
	}
	path := "/" + c.Param("*")
	if x.route, ok = x.service.Parsed.Match(c.Request().Method, path); !ok {
		return x, result.New(result.RouteUnknown, "no route %s %s", c.Request().Method, path)
	}
	if containsKey(c.Request().URL.EscapedPath()) {
		return x, result.New(result.BodyMalformed, "the path must not contain a key")
	}
	var err error
	if x.route.Access == document.AccessKeyed {
		if x.key, err = g.authenticateClient(c.Request()); err != nil {
			return x, err
		}
	}
	if x.body, err = readBody(c, x.route.BodyLimit); err != nil {
		return x, err
	}
	if x.service.Parsed.Kind == document.KindModel && !json.Valid(x.body) {
		return x, result.New(result.BodyMalformed, "the body is not JSON")
	}
	return x, nil
}

// admitAndDispatch waits for the admission of x and dispatches it. The request ends when
// its timeout passes or its key becomes invalid.
func (g *Gateway) admitAndDispatch(x *proxiedRequest) error {
	timeout, err := x.timeout()
	if err != nil {
		return err
	}
	// A claimed request continues after its caller has disconnected: the caller can send
	// the request again to get the answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.c.Request().Context()), timeout)
	defer cancel()
	if x.key.Hash != "" {
		var endSession func()
		ctx, endSession = g.sessions.Begin(ctx, x.key)
		defer endSession()
	}
	callerCtx, stopWatching := withCallerCancel(ctx, x.c.Request().Context())
	defer stopWatching()
	deadline, _ := ctx.Deadline()
	terms := x.service.Parsed.Account(x.key.Account)
	ticket := admission.Ticket{
		Service: x.service.Name, Account: x.key.Account, Weight: terms.Weight,
		Cost: x.estimatedCost(), Deadline: deadline, Priority: terms.Priority,
	}
	done, err := g.Admission.Admit(callerCtx, ticket)
	if err != nil {
		return err
	}
	if x.route.Idempotent {
		err = g.Dispatcher.Run(callerCtx, g.dispatchJob(x, terms), x.forwardAnswer)
		g.countUsage(x.key.Account, x.service.Name, x.tokens, err)
	} else {
		err = g.dispatchClaimed(ctx, x, g.dispatchJob(x, terms))
	}
	done(x.actualCost(err))
	return sessionCause(ctx, err)
}

// countUsage adds an answered request to the account's usage. The stored answer to a
// request that is sent again isn't counted.
func (g *Gateway) countUsage(account, service string, tokens int64, err error) {
	if err == nil {
		g.Usage.Add(account, service, 1, tokens)
	}
}

// withCallerCancel returns a copy of ctx that is also canceled when the caller
// disconnects. The returned function releases its resources.
func withCallerCancel(ctx, caller context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(caller, func() { cancel(context.Cause(caller)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// sessionCause replaces the error of a request whose session was canceled with the reason
// for the cancellation. If err is of class "not run", so is the replacement.
func sessionCause(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	cause := context.Cause(ctx)
	if cause == nil || ctx.Err() != context.Canceled || cause == context.Canceled {
		return err
	}
	if result.CodeOf(err).Info().Class != result.NotRun {
		return cause
	}
	if result.CodeOf(cause) == result.KeyWithdrawn {
		return result.New(result.KeyUnknown, "the key was withdrawn")
	}
	return result.Later(result.NotFresh, notFreshRetryAfter, "this entry can no longer validate the key")
}

// dispatchClaimed dispatches a request that isn't idempotent under a claim on its
// idempotency key. A request that is sent again gets the stored answer.
func (g *Gateway) dispatchClaimed(ctx context.Context, x *proxiedRequest, job dispatch.Job) error {
	key := x.c.Request().Header.Get(headerIdempotencyKey)
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		return result.New(result.IdempotencyNeed, "the route is not idempotent")
	}
	id := state.ClaimID{Account: x.key.Account, Key: key}
	account, service := x.key.Account, x.service
	var buffered bufferedAnswer
	answer, err := g.Claims.Run(ctx, id, job.Fingerprint, func(ctx context.Context) (*state.Answer, error) {
		err := g.Dispatcher.Run(ctx, job, bufferAnswer(&buffered, service.Parsed.Kind))
		g.countUsage(account, service.Name, buffered.tokens, err)
		return buffered.answer, err
	})
	if err != nil {
		return err
	}
	if answer == buffered.answer {
		x.tokens = buffered.tokens
		x.c.Response().Header().Set(headerUpstream, buffered.upstream)
	}
	return x.writeAnswer(answer)
}

// timeout returns the route's timeout, or the caller's from the X-Timeout-Ms header if
// that is shorter.
func (x *proxiedRequest) timeout() (time.Duration, error) {
	v := x.c.Request().Header.Get(headerTimeout)
	if v == "" {
		return x.route.Timeout, nil
	}
	ms, err := strconv.Atoi(v)
	if err != nil || ms <= 0 {
		return 0, result.New(result.BodyMalformed, "%s must be a number above 0", headerTimeout)
	}
	return min(x.route.Timeout, time.Duration(ms)*time.Millisecond), nil
}

// estimatedCost returns the estimated cost of x for admission: for models max_tokens, for
// other services 1.
func (x *proxiedRequest) estimatedCost() float64 {
	if x.service.Parsed.Kind != document.KindModel {
		return 1
	}
	var q engine.CompletionRequest
	if json.Unmarshal(x.body, &q) != nil || q.MaxTokens <= 0 {
		return defaultCostTokens
	}
	return float64(q.MaxTokens)
}

// actualCost returns the cost of x after it has ended. 0 means that the actual cost is
// unknown and the estimate applies.
func (x *proxiedRequest) actualCost(err error) float64 {
	if err != nil && x.tokens == 0 {
		return 0
	}
	return float64(max(x.tokens, 1))
}

// defaultCostTokens is the estimated cost of a completion without max_tokens.
const defaultCostTokens = 256

// dispatchJob returns the job that sends x to an upstream. It removes keys from the query
// and the forwarded headers.
func (g *Gateway) dispatchJob(x *proxiedRequest, terms document.Account) dispatch.Job {
	r := x.c.Request()
	path := "/" + x.c.Param("*")
	fingerprint := quarantine.Fingerprint(x.service.Name, x.key.Account, r.Method+" "+path+"?"+queryWithoutKeys(r.URL.RawQuery), x.body)
	return dispatch.Job{
		Service: x.service.Name, Account: x.key.Account, Fingerprint: fingerprint, Idempotent: x.route.Idempotent,
		Out: forward.Outgoing{
			RequestID: requestID(x.c), Method: r.Method, Path: path, Query: queryWithoutKeys(r.URL.RawQuery),
			ContentType: emptyIfKey(r.Header.Get("Content-Type")), Accept: emptyIfKey(r.Header.Get("Accept")),
			Priority: terms.Priority, Body: x.body, Once: !x.route.Idempotent,
			Check: func() error { return g.recheckKey(x.key) },
		},
	}
}
