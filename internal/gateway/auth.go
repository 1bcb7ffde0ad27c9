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

// freshRetry is advised to callers of an entry that is not fresh.
const freshRetry = time.Second

// authenticate returns the key that came with the request. The entry must be
// fresh: otherwise the key may have been revoked meanwhile.
func (g *Gateway) authenticate(r *http.Request) (state.Key, error) {
	if !g.View.Fresh() {
		return state.Key{}, result.NewRetryAfter(result.NotFresh, freshRetry, "this entry cannot check keys now")
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

// holds checks again, right before a request is sent, that the key of its
// caller still works. A request of an open route has none.
func (g *Gateway) holds(k state.Key) error {
	if k.Hash == "" {
		return nil
	}
	if !g.View.Fresh() {
		return result.NewRetryAfter(result.NotFresh, freshRetry, "this entry can no longer check the key")
	}
	if now, ok := g.View.Config().Keys[k.Hash]; !ok || now.Withdrawn {
		return result.New(result.KeyUnknown, "the key was withdrawn")
	}
	return nil
}

// caller returns the key of a client account.
func (g *Gateway) caller(r *http.Request) (state.Key, error) {
	k, err := g.authenticate(r)
	if err != nil {
		return k, err
	}
	if k.Operator {
		return k, result.New(result.NotOwner, "operator keys belong to no client account")
	}
	return k, nil
}

// operatorsOnly accepts operator keys only.
func (g *Gateway) operatorsOnly(next echo.HandlerFunc) echo.HandlerFunc {
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
