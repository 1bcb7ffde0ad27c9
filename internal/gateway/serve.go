package gateway

import (
	"context"
	"encoding/json"
	"net/http"
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
	g       *Gateway
	c       echo.Context
	service state.Service
	route   document.Route
	key     state.Key // zero value on open routes
	body    []byte
	tokens  int64 // completion tokens of the response
	abort   bool  // the caller's connection must be aborted: the response is incomplete
}

// serve answers requests of all methods to /services/:service/*.
func (g *Gateway) serve(c echo.Context) error {
	began := time.Now()
	p, err := g.prepare(c)
	if err == nil {
		err = g.admitAndDispatch(p)
	}
	recordRequest(p.service.Name, result.CodeOf(err), time.Since(began))
	p.abortIfCut()
	return err
}

// prepare finds the service and the route, authenticates the caller and reads the body.
// The request that it returns is never nil.
func (g *Gateway) prepare(c echo.Context) (*proxiedRequest, error) {
	p := &proxiedRequest{g: g, c: c}
	cfg := g.View.Config()
	var ok bool
	if p.service, ok = cfg.Services[c.Param("service")]; !ok {
		if !g.View.Fresh() {
			return p, result.NewRetryAfter(result.NotFresh, notFreshRetryAfter, "this entry does not know the services yet")
		}
		return p, result.New(result.ServiceUnknown, "no service %s", c.Param("service"))
	}
	path := "/" + c.Param("*")
	if p.route, ok = p.service.Parsed.Match(c.Request().Method, path); !ok {
		return p, result.New(result.RouteUnknown, "no route %s %s", c.Request().Method, path)
	}
	if containsKey(c.Request().URL.EscapedPath()) {
		return p, result.New(result.BodyMalformed, "the path must not contain a key")
	}
	var err error
	if p.route.Access == document.AccessKeyed {
		if p.key, err = g.authenticateClient(c.Request()); err != nil {
			return p, err
		}
	}
	if p.body, err = readBody(c, p.route.BodyLimit); err != nil {
		return p, err
	}
	if p.service.Parsed.Kind == document.KindModel && !json.Valid(p.body) {
		return p, result.New(result.BodyMalformed, "the body is not JSON")
	}
	return p, nil
}

// admitAndDispatch waits for the admission of p and dispatches it. The request ends when
// its timeout passes or its key becomes invalid.
func (g *Gateway) admitAndDispatch(p *proxiedRequest) error {
	timeout, err := p.timeout()
	if err != nil {
		return err
	}
	// A request that isn't idempotent continues after its caller has disconnected: the
	// caller can send it again with the same idempotency key to get the response.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(p.c.Request().Context()), timeout)
	defer cancel()
	if p.key.Hash != "" {
		var endSession func()
		ctx, endSession = g.sessions.Begin(ctx, p.key)
		defer endSession()
	}
	callerCtx, stopWatching := withCallerCancel(ctx, p.c.Request().Context())
	defer stopWatching()
	deadline, _ := ctx.Deadline()
	accountSettings := p.service.Parsed.Account(p.key.Account)
	info := admission.RequestInfo{
		Service: p.service.Name, Account: p.key.Account, Weight: accountSettings.Weight,
		Cost: p.estimatedCost(), Deadline: deadline, Priority: accountSettings.Priority,
	}
	done, err := g.Admission.Admit(callerCtx, info)
	if err != nil {
		return err
	}
	if p.route.Idempotent {
		err = g.Dispatcher.Run(callerCtx, g.dispatchJob(p, accountSettings), p.forwardResponse)
		g.countUsage(p.key.Account, p.service.Name, p.tokens, err)
	} else {
		err = g.dispatchClaimed(ctx, p, g.dispatchJob(p, accountSettings))
	}
	done(p.actualCost(err))
	return sessionCause(ctx, err)
}

// countUsage adds an answered request to the account's usage. The stored response to a
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
	return result.NewRetryAfter(result.NotFresh, notFreshRetryAfter, "this entry can no longer validate the key")
}

// dispatchClaimed dispatches a request that isn't idempotent under a claim on its
// idempotency key. A request that is sent again gets the stored response.
func (g *Gateway) dispatchClaimed(ctx context.Context, p *proxiedRequest, job dispatch.Job) error {
	key := p.c.Request().Header.Get(headerIdempotencyKey)
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		return result.New(result.IdempotencyKeyMissing, "the route is not idempotent")
	}
	id := state.ClaimID{Account: p.key.Account, Key: key}
	account, service := p.key.Account, p.service
	var buffered bufferedResponse
	request, size, body, answer := job.Out.RequestID, len(job.Out.Body), holdOf(p.c), g.newSharedHold()
	defer answer.release()
	response, err := g.Claims.Run(ctx, id, job.Fingerprint, func(ctx context.Context) (*state.Answer, error) {
		if !body.use(size) {
			return nil, result.NewRetryAfter(result.MemoryFull, memoryRetryAfter, "the memory for bodies is in use")
		}
		defer body.release()
		answer.use(0)
		defer answer.release()
		err := g.Dispatcher.Run(ctx, job, bufferResponse(&buffered, service.Parsed.Kind, func(resp *http.Response) ([]byte, error) {
			return g.readWhole(ctx, request, resp, answer.Hold)
		}))
		g.countUsage(account, service.Name, buffered.tokens, err)
		return buffered.response, err
	})
	if err != nil {
		return err
	}
	if response == buffered.response {
		p.tokens = buffered.tokens
		p.c.Response().Header().Set(headerUpstream, buffered.upstream)
	}
	return p.writeResponse(response)
}

// timeout returns the route's timeout, or the caller's from the X-Timeout-Ms header if
// that is shorter.
func (p *proxiedRequest) timeout() (time.Duration, error) {
	v := p.c.Request().Header.Get(headerTimeout)
	if v == "" {
		return p.route.Timeout, nil
	}
	ms, err := strconv.Atoi(v)
	if err != nil || ms <= 0 {
		return 0, result.New(result.BodyMalformed, "%s must be a number above 0", headerTimeout)
	}
	return min(p.route.Timeout, time.Duration(ms)*time.Millisecond), nil
}

// estimatedCost returns the estimated cost of p for admission: for models max_tokens or
// defaultCostTokens, for other services 1.
func (p *proxiedRequest) estimatedCost() float64 {
	if p.service.Parsed.Kind != document.KindModel {
		return 1
	}
	var q engine.CompletionRequest
	if json.Unmarshal(p.body, &q) != nil || q.MaxTokens <= 0 {
		return defaultCostTokens
	}
	return float64(q.MaxTokens)
}

// actualCost returns the cost of p after it has ended. 0 means that the actual cost is
// unknown and the estimate applies.
func (p *proxiedRequest) actualCost(err error) float64 {
	if err != nil && p.tokens == 0 {
		return 0
	}
	return float64(max(p.tokens, 1))
}

// defaultCostTokens is the estimated cost of a completion without max_tokens.
const defaultCostTokens = 256

// dispatchJob returns the job that sends p to an upstream. It removes keys from the query
// and the forwarded headers.
func (g *Gateway) dispatchJob(p *proxiedRequest, accountSettings document.Account) dispatch.Job {
	r := p.c.Request()
	path := "/" + p.c.Param("*")
	fingerprint := quarantine.Fingerprint(p.service.Name, p.key.Account, r.Method+" "+path+"?"+queryWithoutKeys(r.URL.RawQuery), p.body)
	return dispatch.Job{
		Service: p.service.Name, Account: p.key.Account, Fingerprint: fingerprint, Idempotent: p.route.Idempotent,
		Out: forward.Outgoing{
			RequestID: requestID(p.c), Method: r.Method, Path: path, Query: queryWithoutKeys(r.URL.RawQuery),
			ContentType: emptyIfKey(r.Header.Get("Content-Type")), Accept: emptyIfKey(r.Header.Get("Accept")),
			Priority: accountSettings.Priority, Body: p.body, FreshConnection: !p.route.Idempotent,
			Check: func() error { return g.recheckKey(p.key) },
		},
	}
}
