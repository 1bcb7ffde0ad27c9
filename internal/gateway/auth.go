package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/apricotstream/apricotstream/internal/account"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// notFreshRetryAfter is the delay that callers of an entry without a freshness lease are
// told to wait.
const notFreshRetryAfter = time.Second

// authenticate returns the key of the request. It returns NotFresh if the entry has no
// freshness lease, because the key may have been withdrawn meanwhile, KeyMissing if the
// request has no bearer key, and KeyUnknown if the key doesn't exist or was withdrawn.
func (g *Gateway) authenticate(r *http.Request) (state.Key, error) {
	if !g.View.Fresh() {
		return state.Key{}, result.NewRetryAfter(result.NotFresh, notFreshRetryAfter, "this entry cannot validate keys now")
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return state.Key{}, result.New(result.KeyMissing, "no bearer key")
	}
	k, ok := g.View.Config().Keys[account.Hash(token)]
	if !ok || k.Withdrawn {
		return state.Key{}, result.New(result.KeyUnknown, "the key is not valid")
	}
	return k, nil
}

// recheckKey validates the caller's key again right before a request is sent. A request
// to an open route has no key.
func (g *Gateway) recheckKey(k state.Key) error {
	if k.Hash == "" {
		return nil
	}
	if !g.View.Fresh() {
		return result.NewRetryAfter(result.NotFresh, notFreshRetryAfter, "this entry can no longer validate the key")
	}
	if now, ok := g.View.Config().Keys[k.Hash]; !ok || now.Withdrawn {
		return result.New(result.KeyUnknown, "the key was withdrawn")
	}
	return nil
}

// authenticateClient returns the request's key. It returns NotOwner for an operator key,
// which belongs to no client account.
func (g *Gateway) authenticateClient(r *http.Request) (state.Key, error) {
	k, err := g.authenticate(r)
	if err != nil {
		return k, err
	}
	if k.Operator {
		return k, result.New(result.NotOwner, "operator keys belong to no client account")
	}
	return k, nil
}

// requireOperator is a middleware that rejects requests without an operator key.
func (g *Gateway) requireOperator(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		k, err := g.authenticate(c.Request())
		if err != nil {
			return err
		}
		if !k.Operator {
			return result.New(result.NotOperator, "not an operator key")
		}
		return next(c)
	}
}
