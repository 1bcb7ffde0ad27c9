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

// Headers of callers.
const (
	headerTimeout        = "X-Timeout-Ms"
	headerIdempotencyKey = "Idempotency-Key"
)

// maxIdempotencyKey bounds the header, in bytes.
const maxIdempotencyKey = 255

// call is one caller's request on its way through.
type call struct {
	c       echo.Context
	service state.Service
	route   document.Route
	key     state.Key // zero on open routes
	body    []byte
	tokens  int64
	abort   bool // the answer must not look complete
}

// serve answers ANY /services/:service/*.
func (g *Gateway) serve(c echo.Context) error {
	began := time.Now()
	x, err := g.accept(c)
	if err == nil {
		err = g.run(x)
	}
	observe(x.service.Name, result.CodeOf(err), time.Since(began))
	x.finish()
	return err
}

// accept finds the route and checks the key and the body.
func (g *Gateway) accept(c echo.Context) (*call, error) {
	x := &call{c: c}
	cfg := g.View.Config()
	var ok bool
	if x.service, ok = cfg.Services[c.Param("service")]; !ok {
		if !g.View.Fresh() {
			return x, result.NewRetryAfter(result.NotFresh, freshRetry, "this entry does not know the services yet")
		}
		return x, result.New(result.ServiceUnknown, "no service %s", c.Param("service"))
	}
	path := "/" + c.Param("*")
	if x.route, ok = x.service.Parsed.Match(c.Request().Method, path); !ok {
		return x, result.New(result.RouteUnknown, "no route %s %s", c.Request().Method, path)
	}
	if carriesKey(c.Request().URL.EscapedPath()) {
		return x, result.New(result.BodyMalformed, "a key must not stand in the path")
	}
	var err error
	if x.route.Access == document.AccessKeyed {
		if x.key, err = g.caller(c.Request()); err != nil {
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

// run admits and runs x under its key and deadline.
func (g *Gateway) run(x *call) error {
	timeout, err := x.timeout()
	if err != nil {
		return err
	}
	// A claimed request runs on when its caller leaves: the caller comes back
	// for the answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.c.Request().Context()), timeout)
	defer cancel()
	if x.key.Hash != "" {
		var end func()
		ctx, end = g.sessions.Begin(ctx, x.key)
		defer end()
	}
	present, leave := whilePresent(ctx, x.c.Request().Context())
	defer leave()
	deadline, _ := ctx.Deadline()
	terms := x.service.Parsed.Account(x.key.Account)
	ticket := admission.RequestInfo{
		Service: x.service.Name, Account: x.key.Account, Weight: terms.Weight,
		Cost: x.cost(), Deadline: deadline, Priority: terms.Priority,
	}
	done, err := g.Admission.Admit(present, ticket)
	if err != nil {
		return err
	}
	if x.route.Idempotent {
		err = g.Dispatcher.Run(present, g.job(x, terms), x.pass)
		g.count(x.key.Account, x.service.Name, x.tokens, err)
	} else {
		err = g.runOnce(ctx, x, g.job(x, terms))
	}
	done(x.trueCost(err))
	return cause(ctx, err)
}

// count adds a request that was answered to the account's usage. The kept answer
// of a resend counts nothing.
func (g *Gateway) count(account, service string, tokens int64, err error) {
	if err == nil {
		g.Usage.Add(account, service, 1, tokens)
	}
}

// whilePresent returns ctx, ended also when the caller leaves.
func whilePresent(ctx, caller context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(caller, func() { cancel(context.Cause(caller)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// cause replaces the error of a request that was ended by its session. What
// surely did not run is still said so.
func cause(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	c := context.Cause(ctx)
	if c == nil || ctx.Err() != context.Canceled || c == context.Canceled {
		return err
	}
	if result.CodeOf(err).Info().Class != result.NotRun {
		return c
	}
	if result.CodeOf(c) == result.KeyWithdrawn {
		return result.New(result.KeyUnknown, "the key was withdrawn")
	}
	return result.NewRetryAfter(result.NotFresh, freshRetry, "this entry can no longer check the key")
}

// runOnce runs a request that is not idempotent under a claim.
func (g *Gateway) runOnce(ctx context.Context, x *call, job dispatch.Job) error {
	key := x.c.Request().Header.Get(headerIdempotencyKey)
	if key == "" || len(key) > maxIdempotencyKey {
		return result.New(result.IdempotencyKeyMissing, "the route is not idempotent")
	}
	id := state.ClaimID{Account: x.key.Account, Key: key}
	account, service := x.key.Account, x.service
	var k kept
	answer, err := g.Claims.Run(ctx, id, job.Fingerprint, func(ctx context.Context) (*state.Answer, error) {
		err := g.Dispatcher.Run(ctx, job, keep(&k, service.Parsed.Kind))
		g.count(account, service.Name, k.tokens, err)
		return k.answer, err
	})
	if err != nil {
		return err
	}
	if answer == k.answer {
		x.tokens = k.tokens
		x.c.Response().Header().Set(headerUpstream, k.upstream)
	}
	return x.write(answer)
}

// timeout is the route's, or less when the caller asks for it.
func (x *call) timeout() (time.Duration, error) {
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

// cost estimates the tokens that x will use.
func (x *call) cost() float64 {
	if x.service.Parsed.Kind != document.KindModel {
		return 1
	}
	var q engine.CompletionRequest
	if json.Unmarshal(x.body, &q) != nil || q.MaxTokens <= 0 {
		return defaultCost
	}
	return float64(q.MaxTokens)
}

// trueCost is what x has used; 0, for "as estimated", when that is not known.
func (x *call) trueCost(err error) float64 {
	if err != nil && x.tokens == 0 {
		return 0
	}
	return float64(max(x.tokens, 1))
}

// defaultCost is assumed for a completion without max_tokens, in tokens.
const defaultCost = 256

func (g *Gateway) job(x *call, terms document.Account) dispatch.Job {
	r := x.c.Request()
	path := "/" + x.c.Param("*")
	fp := quarantine.Fingerprint(x.service.Name, x.key.Account, r.Method+" "+path+"?"+safeQuery(r.URL.RawQuery), x.body)
	return dispatch.Job{
		Service: x.service.Name, Account: x.key.Account, Fingerprint: fp, Idempotent: x.route.Idempotent,
		Out: forward.Outgoing{
			RequestID: requestID(x.c), Method: r.Method, Path: path, Query: safeQuery(r.URL.RawQuery),
			ContentType: withoutKey(r.Header.Get("Content-Type")), Accept: withoutKey(r.Header.Get("Accept")),
			Priority: terms.Priority, Body: x.body, FreshConnection: !x.route.Idempotent,
			Check: func() error { return g.holds(x.key) },
		},
	}
}
