package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/apricotstream/apricotstream/internal/admission"
	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// noBroadcast is a Broadcaster without other daemons.
type noBroadcast struct{}

func (noBroadcast) Broadcast(string, any) {}

func (noBroadcast) ConfirmAll(context.Context, string, any, time.Duration) (member.ZoneReply, error) {
	return member.ZoneReply{}, nil
}

// staleList lists upstreams as they were when it was made, like a choice made before.
type staleList []upstream.Announcement

func (l staleList) Service(string) []upstream.Announcement { return l }

func announcement(f *recordingFleet, i int) upstream.Announcement {
	a := f.list[i]
	a.Service, a.Zone, a.Class, a.Seq, a.TTL = "s", "a", upstream.ClassRegular, 1, 10
	return a
}

// Guards against an answer whose statement that the upstream leaves is not read, with each
// status, and against one that is read although it belongs to another request.
func TestAnswerThatSaysTheUpstreamLeaves(t *testing.T) {
	for _, c := range []struct {
		name   string
		serve  http.HandlerFunc
		leaves bool
	}{
		{"success", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }, true},
		{"failure", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, true},
		{"full", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, true},
		{"refused", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(422) }, true},
		{"stream that is cut", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(200)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, true},
		{"other value", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(forward.HeaderLeaving, "0") }, false},
		{"answer to another request", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(forward.HeaderRequestID, "other") }, false},
		{"answer without a request id", func(w http.ResponseWriter, _ *http.Request) { w.Header().Del(forward.HeaderRequestID) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			leaving := newRecordingFleet(t, 1, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(forward.HeaderLeaving, "1")
				c.serve(w, r)
			})
			dir := upstream.NewDirectory(noBroadcast{})
			d := New("a", dir, forward.New(), quarantine.NewTable(time.Now, nil), noop.NewTracerProvider().Tracer(""))
			d.TrackDepartures(upstream.DepartureRecorder{Directory: dir, Log: log.New(io.Discard)})
			g.Expect(dir.Announce(announcement(leaving, 0))).To(Succeed())
			_ = d.Run(context.Background(), newJob("first", false), acceptResponse)
			g.Expect(leaving.attemptsByRequest()).To(HaveKey("first"))
			before := len(leaving.attemptsByRequest())

			began := time.Now()
			err := d.Run(context.Background(), newJob("second", false), acceptResponse)
			if !c.leaves {
				g.Expect(leaving.attemptsByRequest()).To(HaveLen(before + 1))
				return
			}
			g.Expect(result.CodeOf(err)).To(Equal(result.NoUpstream), "the last upstream leaves")
			g.Expect(result.From(err).RetryAfter).To(BeNumerically(">=", time.Second))
			g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			other := newRecordingFleet(t, 1, func(http.ResponseWriter, *http.Request) {})
			other.list[0].ID = "other"
			g.Expect(dir.Announce(announcement(other, 0))).To(Succeed())
			for i := range 20 {
				g.Expect(d.Run(context.Background(), newJob(fmt.Sprint("r", i), true), acceptResponse)).To(Succeed())
			}
			g.Expect(leaving.attemptsByRequest()).To(HaveLen(before))
		})
	}
}

// Guards against requests that were past the choice of an upstream when it said that it
// leaves: they are sent to another one, also those that may not be repeated.
func TestRequestChosenBeforeADepartureIsSentElsewhere(t *testing.T) {
	g := NewWithT(t)
	f := newRecordingFleet(t, 2, func(http.ResponseWriter, *http.Request) {})
	dir := upstream.NewDirectory(noBroadcast{})
	d := New("a", staleList{announcement(f, 0), announcement(f, 1)}, forward.New(), quarantine.NewTable(time.Now, nil), noop.NewTracerProvider().Tracer(""))
	recorder := upstream.DepartureRecorder{Directory: dir, Log: log.New(io.Discard)}
	d.TrackDepartures(recorder)
	recorder.Observe(upstream.Sighting{Upstream: announcement(f, 0)})
	for i := range 20 {
		g.Expect(d.Run(context.Background(), newJob(fmt.Sprint("r", i), i%2 == 0), acceptResponse)).To(Succeed())
	}
	for _, us := range f.attemptsByRequest() {
		g.Expect(us).To(Equal([]string{"u1"}))
	}
}

// Guards against a request that waits in the admission queue and is then sent to an upstream
// that has said meanwhile that it leaves. The request that runs there ends there.
func TestQueuedRequestIsNotSentToADepartedUpstream(t *testing.T) {
	g := NewWithT(t)
	arrived, proceed := make(chan struct{}, 2), make(chan struct{})
	f := newRecordingFleet(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-proceed
		w.Header().Set(forward.HeaderLeaving, "1")
	})
	f.list[0].Concurrency = 1
	dir := upstream.NewDirectory(noBroadcast{})
	g.Expect(dir.Announce(announcement(f, 0))).To(Succeed())
	d := New("a", dir, forward.New(), quarantine.NewTable(time.Now, nil), noop.NewTracerProvider().Tracer(""))
	d.TrackDepartures(upstream.DepartureRecorder{Directory: dir, Log: log.New(io.Discard)})
	admitter := admission.NewFairAdmitter(admission.NewSlotAllocator(dir, func() float64 { return 1 }))
	b := Background{Admission: admitter, Dispatcher: d}
	run := func(id string) chan error {
		ended := make(chan error, 1)
		go func() { ended <- b.Run(context.Background(), newJob(id, true), acceptResponse) }()
		return ended
	}
	first := run("first")
	g.Eventually(arrived, "2s").Should(Receive())
	queued := run("queued")
	g.Consistently(queued, "100ms").ShouldNot(Receive())
	close(proceed)
	g.Eventually(first, "2s").Should(Receive(BeNil()))
	var err error
	g.Eventually(func() chan error {
		admitter.Tick()
		return queued
	}, "2s").Should(Receive(&err))
	g.Expect(result.CodeOf(err)).To(Equal(result.NoUpstream))
	g.Expect(f.attemptsByRequest()).NotTo(HaveKey("queued"))
}
