package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/picker"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Connection attempts by which a crash of an upstream is detected.
const (
	// A crashing process may close its connections shortly before its address refuses new
	// ones, so the address is probed several times.
	crashProbeCount    = 3
	crashProbeInterval = 5 * time.Millisecond
)

// maxReservations is the number of upstreams that are tried for one attempt of a suspect
// request, in case other requests reserve them at the same time.
const maxReservations = 8

// pickUpstream picks an upstream that is not reserved. For a suspect request it prefers one
// that runs no requests of this entry and reserves it, so that no other requests are sent
// there meanwhile. It also returns a function that must be called when the attempt has
// ended. It returns false if no upstream can take the request.
func (d *Dispatcher) pickUpstream(ctx context.Context, req picker.Request, suspect bool) (chooser.Choice, func(), bool) {
	if !suspect {
		req.Exclude = slices.Concat(req.Exclude, d.quarantine.Reserved())
		u, ok := d.chooser.Pick(ctx, req)
		return u, func() {}, ok
	}
	for range maxReservations {
		u, ok := d.pickIdle(ctx, req)
		if !ok {
			break
		}
		if release, ok := d.quarantine.Reserve(u.ID); ok {
			return u, release, true
		}
		d.chooser.Release(ctx, u.Announcement, result.New(result.NoUpstream, "another request has reserved the upstream"))
	}
	return chooser.Choice{}, nil, false
}

// pickIdle picks an upstream that is not reserved, if possible one that runs no requests of
// this entry.
func (d *Dispatcher) pickIdle(ctx context.Context, req picker.Request) (chooser.Choice, bool) {
	req.Exclude = slices.Concat(req.Exclude, d.quarantine.Reserved())
	alone := req
	alone.Exclude = slices.Concat(req.Exclude, d.chooser.InUse())
	if u, ok := d.chooser.Pick(ctx, alone); ok {
		return u, true
	}
	return d.chooser.Pick(ctx, req)
}

// mayReserve reports whether an owed job may reserve an upstream of a service. At most half
// of them are reserved, so that owed jobs that run alone leave room for other requests.
func (d *Dispatcher) mayReserve(service string) bool {
	reserved := d.quarantine.Reserved()
	all := d.chooser.Upstreams(service)
	n := 1
	for _, u := range all {
		if slices.Contains(reserved, u.ID) {
			n++
		}
	}
	return 2*n <= len(all)
}

// detectCrash checks after a failed attempt whether u crashed and, if so, records the crash
// against job, or calls OnCrash of an owed job. A response that was cut off does not prove a crash by itself: the upstream
// must also refuse connections or be listed with a newer incarnation.
func (d *Dispatcher) detectCrash(ctx context.Context, job Job, u upstream.Announcement, err error) {
	if ctx.Err() != nil {
		d.checkAbandoned(job, u, err)
		return
	}
	code := result.CodeOf(err)
	if code != result.UpstreamFailed && code != result.AnswerCut {
		return
	}
	for range crashProbeCount {
		if d.refuses(u.Address) {
			d.recordCrash(job, u)
			return
		}
		time.Sleep(crashProbeInterval)
	}
	time.AfterFunc(upstream.RestartCheckDelay, func() {
		if d.refuses(u.Address) || d.restarted(u) {
			d.recordCrash(job, u)
		}
	})
}

// checkAbandoned checks for a crash after this daemon has ended an attempt that u may still have
// worked on, because the caller left or the time of the request was up.
func (d *Dispatcher) checkAbandoned(job Job, u upstream.Announcement, err error) {
	if err == nil || job.Owed || !mayHaveRun(err) {
		return
	}
	d.abandoned.Add(u, time.Now(), func() { d.recordCrash(job, u) }, upstream.CrashCheck{
		Look: func() (ranAt time.Time, crashed bool) {
			now := time.Now()
			return now, d.refuses(u.Address) || d.restarted(u)
		},
		Confirm: func(record []func()) {
			time.AfterFunc(upstream.RestartCheckDelay, func() { // it may have been full
				if !d.refuses(u.Address) && !d.restarted(u) {
					return
				}
				for _, r := range record {
					r()
				}
			})
		},
	})
}

// recordCrash records that u crashed while it ran job.
func (d *Dispatcher) recordCrash(job Job, u upstream.Announcement) {
	switch {
	case !job.Owed:
		d.quarantine.RecordCrash(job.Fingerprint, u.ID, u.Incarnation)
	case job.OnCrash != nil:
		job.OnCrash(u)
	}
}

// restarted reports whether a newer incarnation of u is listed.
func (d *Dispatcher) restarted(u upstream.Announcement) bool {
	for _, a := range d.chooser.Upstreams(u.Service) {
		if a.ID == u.ID && a.Incarnation > u.Incarnation {
			return true
		}
	}
	return false
}
