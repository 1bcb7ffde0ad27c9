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

	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/ratecap"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Guards against a rate that an upstream names on the product's own interface and that
// nothing acts on: requests beyond it are rejected at once with the time to return, and owed
// jobs wait for their turn.
func TestRateOnTheOwnInterface(t *testing.T) {
	g := NewWithT(t)
	f := newRecordingFleet(t, 1, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(forward.HeaderRate, "5") })
	dir := upstream.NewDirectory(noBroadcast{})
	g.Expect(dir.Announce(announcement(f, 0))).To(Succeed())
	d := New("a", dir, forward.New(), quarantine.NewTable(time.Now, nil), noop.NewTracerProvider().Tracer(""))
	d.KeepRates(ratecap.NewKeeper(ratecap.Deployment{
		Daemon: "d", Leads: func() (uint64, bool) { return 1, true }, Replicas: func() []string { return nil }, Daemons: func() int { return 1 },
		Broadcast: func(string, any) {}, Gone: dir.Ended,
	}, log.New(io.Discard)))
	g.Expect(d.Run(context.Background(), newJob("first", true), acceptResponse)).To(Succeed())
	began, rejected := time.Now(), 0
	for i := range 30 {
		if err := d.Run(context.Background(), newJob(fmt.Sprint("r", i), true), acceptResponse); err != nil {
			g.Expect(result.CodeOf(err)).To(Equal(result.NoUpstream))
			g.Expect(result.From(err).RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*time.Second)))
			rejected++
		}
	}
	g.Expect(float64(30 - rejected)).To(BeNumerically("<=", 5*time.Since(began).Seconds()+5))
	owed := newJob("owed", true)
	owed.Owed = true
	g.Expect(d.Run(context.Background(), owed, acceptResponse)).To(Succeed(), "an owed job waits")
}
