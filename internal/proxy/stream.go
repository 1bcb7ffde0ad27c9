package proxy

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// cancelOnClose cancels the request's context when the stream is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// watchedStream is a stream for a caller, whose end says whether the request may have crashed its
// upstream.
type watchedStream struct {
	io.ReadCloser
	ctx     context.Context // of the request
	e       *execution
	attempt Attempt
	firstAt time.Time // of the first bytes; zero before
	ended   bool
}

// watch returns the stream of an attempt. Background work is owed however it ends.
func (e *execution) watch(ctx context.Context, a Attempt, stream io.ReadCloser) io.ReadCloser {
	if e.request.Background {
		return stream
	}
	return &watchedStream{ReadCloser: stream, ctx: ctx, e: e, attempt: Attempt{To: a.To, Began: a.Began}}
}

// Read implements io.Reader.
func (s *watchedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if n > 0 && s.firstAt.IsZero() {
		s.firstAt = time.Now()
	}
	if err != nil {
		s.end(err)
	}
	return n, err
}

// Close implements io.Closer. A stream that has not ended before is abandoned.
func (s *watchedStream) Close() error {
	s.end(context.Canceled)
	return s.ReadCloser.Close()
}

// end reports how the stream has ended. How long it had run is no proof for the request: it may
// crash its upstream at any moment, also as its time is up or its caller leaves.
func (s *watchedStream) end(err error) {
	if s.ended {
		return
	}
	s.ended = true
	lost := s.attempt
	lost.Err = err
	if !s.firstAt.IsZero() {
		lost.RanFor = time.Since(s.firstAt)
	}
	crashes := s.e.proxy.crashes
	switch {
	case err == io.EOF:
		crashes.Survived(s.e.fingerprint)
	case s.ctx.Err() != nil || err == context.Canceled:
		crashes.Abandoned(s.e.request, s.e.fingerprint, lost)
	case brokenOff(err):
		// The caller need not wait for the checks. If it takes the stream up before, the daemons
		// learn of both crashes.
		go crashes.ConnectionLost(s.e.request, s.e.fingerprint, lost)
	}
}

// brokenOff reports whether a stream that ended with err may have ended with its connection. An
// error without a code is one of the connection.
func brokenOff(err error) bool {
	var coded *result.Error
	return !errors.As(err, &coded) || connectionLost(err)
}
