package proxy

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/apricotstream/apricotstream/internal/chooser"
)

// routeName returns the name of the request's route, "" without one.
func (e *execution) routeName() string {
	if e.request.Route == nil {
		return ""
	}
	return e.request.Route.Name
}

// endWork ends the work of an attempt that has a result; if a stream follows, once that ends.
// Only a success shows how much work the request needs: errors are answered early or late.
func (e *execution) endWork(ctx context.Context, a *Attempt) {
	a.Took = time.Since(a.Began)
	switch {
	case a.Work == nil:
	case a.Err == nil && a.Answer.Stream != nil && isSuccess(a.Answer):
		a.Answer.Stream = &workStream{a.Answer.Stream, ctx, a.Work, e.request.TakeUp == nil}
	case a.Err == nil && isSuccess(a.Answer):
		a.Work.End(chooser.Completed)
	case a.Err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && mayHaveRun(a.Err):
		a.Work.End(chooser.TimedOut)
	default:
		a.Work.End(chooser.Unknown)
	}
}

func isSuccess(a *Answer) bool { return a.Status/100 == 2 }

// workFields returns what was expected of the attempt and what it took, as fields of a log
// line. The end of a stream is not known yet.
func (a *Attempt) workFields() []any {
	fields := a.Work.LogFields()
	if a.Work != nil && a.Answer.Stream == nil {
		fields = append(fields, "actual_ms", a.Took.Milliseconds())
	}
	return fields
}

// workStream is a stream whose end ends the work of its attempt.
type workStream struct {
	io.ReadCloser
	ctx  context.Context
	work *chooser.Work
	// whole is set if the stream does not go on with an earlier one, which has done a part of the
	// work.
	whole bool
}

// Read implements io.Reader.
func (s *workStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	switch {
	case err == nil:
	case err == io.EOF && s.whole:
		s.work.End(chooser.Completed)
	case errors.Is(s.ctx.Err(), context.DeadlineExceeded):
		s.work.End(chooser.TimedOut)
	default:
		s.work.End(chooser.Unknown)
	}
	return n, err
}

// Close implements io.Closer.
func (s *workStream) Close() error {
	s.work.End(chooser.Unknown)
	return s.ReadCloser.Close()
}
