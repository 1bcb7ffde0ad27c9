package limit

import (
	"context"

	"github.com/apricotstream/apricotstream/internal/admission"
)

// Admitter takes the estimated cost of a request from its account's limit before
// it lets it queue, and gives back what was not used.
type Admitter struct {
	Limiter *Limiter
	Next    admission.Admitter
}

// Admit implements admission.Admitter. Errors: LimitReached, or those of Next.
func (a Admitter) Admit(ctx context.Context, t admission.RequestInfo) (func(float64), error) {
	k := Key{Service: t.Service, Account: t.Account}
	if err := a.Limiter.Consume(k, t.Cost); err != nil {
		return nil, admission.CountRejection(t, err)
	}
	done, err := a.Next.Admit(ctx, t)
	if err != nil {
		a.Limiter.Refund(k, t.Cost)
		return nil, err
	}
	return func(cost float64) {
		if cost > 0 {
			a.Limiter.Refund(k, t.Cost-cost)
		}
		done(cost)
	}, nil
}
