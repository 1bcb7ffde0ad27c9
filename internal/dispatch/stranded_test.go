package dispatch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/reach"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Guards against a job of an entry that has lost its links failing, in the product's own interface,
// or being held for the cause of a crash.
func TestEntryWithoutLinksRunsItsJobsThroughAnotherDaemon(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	u := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(forward.HeaderRequestID, r.Header.Get(forward.HeaderRequestID))
	})}
	go func() { _ = u.Serve(l) }()
	defer u.Close()

	helperListener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer helperListener.Close()
	server := peer.NewServer()
	defer server.Close()
	helper := reach.NewLinks(reach.Direct(""), log.New(io.Discard))
	helper.Deploy(reach.Deployment{Upstreams: func() []reach.Upstream { return []reach.Upstream{{Address: l.Addr().String()}} }}, server)
	go server.Serve(t.Context(), helperListener)

	cut := reach.NewLinks(func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("cut") }, log.New(io.Discard))
	cut.Deploy(reach.Deployment{
		Helpers:    func() []reach.Helper { return []reach.Helper{{Address: helperListener.Addr().String()}} },
		DialHelper: peer.DialFrom(""),
	}, peer.NewServer())
	list := staleList{{ID: "u", Service: "s", Address: l.Addr().String(), Zone: "a", Class: upstream.ClassRegular, Concurrency: 4}}
	d := New("a", list, forward.NewOver(cut.DialAny), quarantine.NewTable(time.Now, nil), noop.NewTracerProvider().Tracer(""))
	d.JudgeCrashesBy(cut.RefusesConnections)
	for range 5 {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		job := Job{Service: "s", Fingerprint: "f", Idempotent: true, Out: forward.Outgoing{RequestID: "q", Method: http.MethodGet, Path: "/"}}
		g.Expect(d.Run(ctx, job, func(resp *http.Response, _ upstream.Announcement) error { return resp.Body.Close() })).To(Succeed())
		cancel()
	}
	g.Expect(cut.RefusesConnections(l.Addr().String())).To(BeFalse(), "another daemon reaches it")
	u.Close()
	g.Expect(cut.RefusesConnections(l.Addr().String())).To(BeTrue(), "nobody reaches it")
}
