package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

type stubDirectory []upstream.Announcement

func (l stubDirectory) Service(string) []upstream.Announcement { return l }

// The upstreams of a zone, all of them cheap, stop at once while they are still listed.
// Every request must succeed, and the whole zone must be ejected.
func TestRequestsSucceedWhenAZoneFails(t *testing.T) {
	g := NewWithT(t)
	var list stubDirectory
	var servers []*httptest.Server
	for i := range 9 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(forward.HeaderRequestID, r.Header.Get(forward.HeaderRequestID))
			_, _ = io.WriteString(w, "ok")
		}))
		defer s.Close()
		servers = append(servers, s)
		a := upstream.Announcement{ID: fmt.Sprint("u", i), Incarnation: 1, Zone: string("abc"[i%3]), Class: upstream.ClassRegular, Concurrency: 8, Address: s.Listener.Addr().String()}
		if a.Zone == "a" {
			a.Class = upstream.ClassCheap
		}
		list = append(list, a)
	}
	d := New("a", list, forward.New(), quarantine.NewTable(time.Now, nil), noop.NewTracerProvider().Tracer(""))
	for i, s := range servers {
		if list[i].Zone == "a" {
			s.Close()
		}
	}
	for i := range 100 {
		job := Job{Service: "s", Fingerprint: fmt.Sprint(i), Idempotent: true, Out: forward.Outgoing{RequestID: fmt.Sprint(i), Method: "POST", Path: "/"}}
		err := d.Run(context.Background(), job, func(resp *http.Response, _ upstream.Announcement) error {
			_, err := io.Copy(io.Discard, resp.Body)
			return err
		})
		g.Expect(err).NotTo(HaveOccurred(), "request %d", i)
	}
	ejected := d.chooser.Ejected(list)
	for i, a := range list {
		g.Expect(ejected[i]).To(Equal(a.Zone == "a"), a.ID)
	}
}
