package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/routing"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

var streamingRoute = routing.Route{Name: "st", Kind: routing.Idempotent, Streaming: true, Resumable: true, MaxAttempts: 3, TargetLatency: 400 * time.Millisecond}

// scriptedStream sends one event each 100 ms and ends with an error after lasting.
type scriptedStream struct {
	lasting time.Duration
	end     error
	ctx     context.Context
	began   time.Time
}

func (s *scriptedStream) Read(p []byte) (int, error) {
	if s.began.IsZero() {
		s.began = time.Now()
		return copy(p, "id: 1\ndata: e\n\n"), nil
	}
	if time.Since(s.began) >= s.lasting {
		return 0, s.end
	}
	select {
	case <-time.After(100 * time.Millisecond):
		return copy(p, "id: 2\ndata: e\n\n"), nil
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	}
}

func (*scriptedStream) Close() error { return nil }

var errReset = errors.New("connection reset by peer")

// Guards against a stream whose crash is not reported, whenever it comes, and against the opposite:
// sound streams that are taken for the cause of a failure.
func TestStreamThatBreaksAtAnyMomentIsReported(t *testing.T) {
	for _, c := range []struct {
		name                             string
		lasting, leavesAfter             time.Duration
		end                              error
		background                       bool
		crashes, knownAsSound, abandoned int
	}{
		{name: "breaks after its first event", end: errReset, crashes: 1},
		{name: "ends within an event", end: result.New(result.AnswerCut, "x"), crashes: 1},
		{name: "breaks soon after its first event", lasting: 300 * time.Millisecond, end: errReset, crashes: 1},
		{name: "breaks after it has run for long", lasting: 5 * time.Second, end: errReset, crashes: 1},
		{name: "is whole", lasting: 300 * time.Millisecond, end: io.EOF, knownAsSound: 1},
		{name: "sends what cannot follow", end: result.New(result.AnswerCrossed, "x")},
		{name: "its caller leaves", lasting: time.Hour, leavesAfter: 200 * time.Millisecond, end: errReset, abandoned: 1},
		{name: "its time is up", lasting: time.Hour, end: errReset, abandoned: 1},
		{name: "is background work", end: errReset, background: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := &fakeUpstreams{n: 1, respond: func(ctx context.Context, _ string, _ int) (*Answer, error) {
				return &Answer{Status: 200, Stream: &scriptedStream{lasting: c.lasting, end: c.end, ctx: ctx}}, nil
			}}
			tracker := &fakeCrashTracker{}
			p := New(log.New(io.Discard), "z", chooser.New(f), f, &fakeUsage{}, tracker)
			ctx, leave := context.WithCancel(t.Context())
			if c.leavesAfter > 0 {
				time.AfterFunc(c.leavesAfter, leave)
			}
			q := &Request{ID: "r", Route: &streamingRoute, Service: "s", Method: http.MethodPost, Target: "/", Background: c.background, Deadline: time.Now().Add(10 * time.Second)}
			a, err := p.Serve(ctx, q)
			g.Expect(err).NotTo(HaveOccurred(), c.name)
			_, _ = io.Copy(io.Discard, a.Stream)
			a.Stream.Close()
			leave()
			synctest.Wait()
			g.Expect(tracker.lost).To(Equal(c.crashes), c.name)
			g.Expect(tracker.survived).To(Equal(c.knownAsSound), c.name)
			g.Expect(int(tracker.abandoned.Load())).To(Equal(c.abandoned), c.name)
		})
	}
}

// The same stream comes again and again, as a new request or to be taken up, and crashes each
// upstream that begins it; beside it comes a stream like it, with another body, that is sound.
func TestStreamThatCrashesItsUpstreamsIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &bodyUpstreams{fakeUpstreams: fakeUpstreams{n: 9}, crashes: map[string]int64{}}
		tracker := quarantineTracker{quarantine.NewTable(time.Now, nil)}
		p := New(log.New(io.Discard), "z", chooser.New(f), f, &fakeUsage{}, tracker)
		var err error
		whole := 0
		for i := range 20 {
			for _, body := range []string{"poison", "sound"} {
				q := &Request{ID: "r", Route: &streamingRoute, Service: "s", Method: http.MethodPost, Target: "/", Body: []byte(body), Deadline: time.Now().Add(10 * time.Second)}
				if i > 0 {
					q.TakeUp = &TakeUp{LastEventID: 1}
				}
				var a *Answer
				if a, err = p.Serve(t.Context(), q); err != nil {
					continue
				}
				if _, copyErr := io.Copy(io.Discard, a.Stream); copyErr == nil {
					whole++
				}
				a.Stream.Close()
				synctest.Wait()
			}
			time.Sleep(1500 * time.Millisecond)
		}
		g.Expect(f.poisoned).To(Equal(2), "upstreams crashed")
		g.Expect(whole).To(Equal(20), "the sound stream is not held back")
	})
}

// bodyUpstreams break off the streams of requests with the body "poison" after the first event, and
// come back as new incarnations.
type bodyUpstreams struct {
	fakeUpstreams
	poisoned int
	crashes  map[string]int64 // by upstream
}

func (f *bodyUpstreams) Service(name string) []upstream.Announcement {
	list := f.fakeUpstreams.Service(name)
	for i := range list {
		list[i].Incarnation = 1 + f.crashes[list[i].ID]
	}
	return list
}

func (f *bodyUpstreams) Send(ctx context.Context, to upstream.Announcement, q *Request) (*Answer, error) {
	s := &scriptedStream{lasting: 200 * time.Millisecond, end: io.EOF, ctx: ctx}
	if bytes.Equal(q.Body, []byte("poison")) {
		s.lasting, s.end = 0, errReset
		f.poisoned++
		f.crashes[to.ID]++
	}
	return &Answer{Status: 200, Stream: s, From: to}, nil
}
