package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/picker"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Finding out whether an upstream died.
const (
	// A dying process may cut its connections a moment before its address
	// refuses new ones.
	probes     = 3
	probePause = 5 * time.Millisecond
)

// choose picks an upstream. A suspect gets one of its own: where nothing of this
// entry runs, if there is any, and where nothing new is sent meanwhile.
func (d *Dispatcher) choose(q picker.Request, suspect bool) (upstream.Announcement, func(), bool) {
	q.Exclude = slices.Concat(q.Exclude, d.quarantine.Reserved())
	if !suspect {
		u, ok := d.chooser.Pick(q)
		return u, func() {}, ok
	}
	alone := q
	alone.Exclude = slices.Concat(q.Exclude, d.chooser.InUse())
	u, ok := d.chooser.Pick(alone)
	if !ok {
		u, ok = d.chooser.Pick(q)
	}
	if !ok {
		return u, nil, false
	}
	return u, d.quarantine.Reserve(u.ID), true
}

// judge decides after an attempt whether job is to blame. One answer that was
// cut off by an upstream that lives on means nothing.
func (d *Dispatcher) judge(ctx context.Context, job Job, u upstream.Announcement, err error) {
	code := result.CodeOf(err)
	if ctx.Err() != nil || code != result.UpstreamFailed && code != result.AnswerCut {
		return
	}
	for range probes {
		if upstream.RefusesConnections(u.Address) {
			d.quarantine.RecordCrash(job.Fingerprint, u.ID, u.Incarnation)
			return
		}
		time.Sleep(probePause)
	}
	time.AfterFunc(upstream.RestartCheckDelay, func() {
		if upstream.RefusesConnections(u.Address) || d.restarted(u) {
			d.quarantine.RecordCrash(job.Fingerprint, u.ID, u.Incarnation)
		}
	})
}

// restarted reports whether a newer incarnation of u announces itself.
func (d *Dispatcher) restarted(u upstream.Announcement) bool {
	for _, a := range d.chooser.Upstreams(u.Service) {
		if a.ID == u.ID && a.Incarnation > u.Incarnation {
			return true
		}
	}
	return false
}
