package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// TakeUp says which stream a request goes on with.
type TakeUp struct {
	Began       string // id of the request that brought the first event; empty if the caller does not name it
	LastEventID int    // id of the last event that the caller has
}

// refreshRetryAfter is the delay that a caller is told when the list of upstreams could not be
// refreshed.
const refreshRetryAfter = 300 * time.Millisecond

// noOrigins knows no stream.
type noOrigins struct{}

func (noOrigins) Began(string, string, upstream.Announcement, time.Time) {}

func (noOrigins) Find(context.Context, string, string) (origin.Origin, error) {
	return origin.Origin{}, result.New(result.OriginUnknown, "this daemon keeps no origins of streams")
}

// findOrigin finds out which upstreams may go on with the stream that the request takes up. The
// request goes to the service that began the stream, whatever share of the route that has now.
func (e *execution) findOrigin(ctx context.Context) error {
	q := e.request
	if q.TakeUp.Began == "" {
		return e.onlyOrigin(ctx)
	}
	found, err := e.proxy.origins.Find(ctx, q.Account, q.TakeUp.Began)
	if err != nil {
		return err
	}
	if !q.Route.LeadsTo(found.Service) {
		return result.New(result.VersionGone, "the route does not lead to %s, which began the stream", found.Service)
	}
	q.Service, e.origin, q.ConfirmStart = found.Service, found, true
	all := e.upstreams().Upstreams(q.Service)
	if len(all) > 0 && !slices.ContainsFunc(all, e.origin.AllowsConfirmed) { // without any, it is rejected for want of upstreams
		return result.NewRetryAfter(result.VersionGone, unlistedRetryAfter, "no upstream of %s with software version %q, which began the stream", q.Service, found.Software)
	}
	return nil
}

// onlyOrigin handles a caller that does not name the request that began its stream. It may go
// on if all upstreams of the service are of one software version.
//
// An entry that was cut off or stood still may not list the upstreams of another version yet, so
// the list is refreshed first.
func (e *execution) onlyOrigin(ctx context.Context) error {
	if err := e.proxy.refresh(ctx); err != nil {
		return result.NewRetryAfter(result.OriginUnknown, refreshRetryAfter, "the caller does not name the request that began the stream, and it cannot be told which software versions serve: %v", err)
	}
	all := e.upstreams().Upstreams(e.request.Service)
	if len(all) == 0 {
		return nil // rejected for want of upstreams
	}
	e.origin, e.request.ConfirmStart = origin.Of(all[0]), true
	if slices.ContainsFunc(all, func(a upstream.Announcement) bool { return origin.Of(a) != e.origin }) {
		return result.New(result.OriginUnknown, "the caller does not name the request that began the stream, and several software versions serve")
	}
	return nil
}
