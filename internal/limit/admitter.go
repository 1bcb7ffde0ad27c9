package limit

import (
	"context"

	"github.com/apricotstream/apricotstream/internal/admission"
)

// Admitter enforces the rate limits of client accounts before admission. It consumes the
// estimated cost of a request before the request is queued, and refunds what was not
// used.
type Admitter struct {
	Limiter *Limiter
	Next    admission.Admitter
}

// Admit implements admission.Admitter. Errors: LimitReached, or those of Next.
func (a Admitter) Admit(ctx context.Context, info admission.RequestInfo) (func(float64), error) {
	k := Key{Service: info.Service, Account: info.Account}
	if err := a.Limiter.Consume(k, info.Cost); err != nil {
		return nil, admission.CountRejection(info, err)
	}
	done, err := a.Next.Admit(ctx, info)
	if err != nil {
		a.Limiter.Refund(k, info.Cost)
		return nil, err
	}
	return func(cost float64) {
		if cost > 0 {
			a.Limiter.Refund(k, info.Cost-cost)
		}
		done(cost)
	}, nil
}
