package dispatch

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

const (
	// silenceTimeout is the time without progress of an upstream after which an owed job
	// leaves it, if the upstream is not listed either. A listed one may be loading weights,
	// and one that leaves gracefully goes on sending.
	silenceTimeout = 5 * time.Second
	// silenceCheckInterval is the interval of checking that.
	silenceCheckInterval = 500 * time.Millisecond
)

// errSilent is the error of an attempt whose upstream has died without closing its
// connection.
var errSilent = result.New(result.UpstreamFailed, "the upstream sends nothing and is no longer listed")

// silenceWatch cancels an attempt whose upstream is silent and no longer listed.
type silenceWatch struct {
	began      time.Time
	progressAt atomic.Int64 // time since began, in nanoseconds
}

// watchSilence starts a watch of an attempt at u. The returned context ends with errSilent
// as its cause when the attempt must end. stop must be called at the end of the attempt.
func (d *Dispatcher) watchSilence(ctx context.Context, job Job, u upstream.Announcement) (_ context.Context, w *silenceWatch, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w = &silenceWatch{began: time.Now()}
	go func() {
		ticker := time.NewTicker(silenceCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if w.silence() >= silenceTimeout && !d.listed(job.Service, u) {
				cancel(errSilent)
			}
		}
	}()
	return ctx, w, func() { cancel(nil) }
}

// silence returns the time since the last progress, or since the start of the attempt.
func (w *silenceWatch) silence() time.Duration {
	return time.Since(w.began) - time.Duration(w.progressAt.Load())
}

// body returns a body whose progress is recorded. In a stream of events progress is the end
// of a line of data: a stalled upstream may still send comments or a byte now and then.
// Otherwise every byte is progress.
func (w *silenceWatch) body(resp *http.Response) io.ReadCloser {
	events := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	return &watchedBody{ReadCloser: resp.Body, watch: w, events: events}
}

type watchedBody struct {
	io.ReadCloser
	watch  *silenceWatch
	events bool
	// Of the line that is being read: how many bytes of dataField it has begun with, and
	// whether it has begun otherwise.
	matched   int
	otherLine bool
}

// dataField begins each line of data in a stream of events.
const dataField = "data"

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && (!b.events || b.endsData(p[:n])) {
		b.watch.progressAt.Store(int64(time.Since(b.watch.began)))
	}
	return n, err
}

// endsData reports whether a line of data ends in p.
func (b *watchedBody) endsData(p []byte) bool {
	ended := false
	for _, c := range p {
		switch {
		case c == '\n':
			ended = ended || b.matched == len(dataField)
			b.matched, b.otherLine = 0, false
		case b.otherLine || b.matched == len(dataField):
		case c == dataField[b.matched]:
			b.matched++
		default:
			b.otherLine = true
		}
	}
	return ended
}

// listed reports whether this incarnation of u is listed.
func (d *Dispatcher) listed(service string, u upstream.Announcement) bool {
	return slices.ContainsFunc(d.chooser.Upstreams(service), func(a upstream.Announcement) bool {
		return a.ID == u.ID && a.Incarnation == u.Incarnation
	})
}
