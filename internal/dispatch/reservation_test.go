package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/quarantine"
)

// entryGroup lists the other entries of a test.
type entryGroup struct {
	client *peer.Client
	others []string
}

func (e *entryGroup) Broadcast(method string, params any) {
	e.client.NotifyAll(e.others, method, params)
}
func (e *entryGroup) Others() []string { return e.others }

// newEntries returns the dispatchers of n entries that share their quarantine over
// loopback connections.
func newEntries(t *testing.T, n int, f *recordingFleet) []*Dispatcher {
	g := NewWithT(t)
	var out []*Dispatcher
	var groups []*entryGroup
	var addresses []string
	for i := range n {
		client := peer.NewClient(peer.DialFrom(fmt.Sprint("127.0.0.1:", i+1)))
		t.Cleanup(client.Close)
		group := &entryGroup{client: client}
		table := quarantine.NewTable(time.Now, quarantine.GroupNotifier{Group: group, Client: client, Timeout: time.Second})
		s := peer.NewServer()
		table.Register(s)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		go s.Serve(context.Background(), l)
		t.Cleanup(func() {
			l.Close()
			s.Close()
		})
		addresses = append(addresses, l.Addr().String())
		groups = append(groups, group)
		out = append(out, New("a", f, forward.New(), table, noop.NewTracerProvider().Tracer("")))
	}
	for i, group := range groups {
		for k, a := range addresses {
			if k != i {
				group.others = append(group.others, a)
			}
		}
	}
	return out
}

// Guards against two suspect requests that run on one upstream, because the notice of a
// reservation was still on its way to the other entry: when the upstream then crashes under
// one of them, the other is quarantined with it.
func TestSuspectsOfSeveralEntriesNeverShareAnUpstream(t *testing.T) {
	const (
		entries   = 3
		upstreams = 6
		rounds    = 60
	)
	g := NewWithT(t)
	var running [upstreams]atomic.Int32
	var shared atomic.Int32
	f := newRecordingFleet(t, upstreams, func(_ http.ResponseWriter, r *http.Request) {
		var i int
		_, _ = fmt.Sscanf(r.Header.Get("X-Upstream"), "u%d", &i)
		if running[i].Add(1) > 1 {
			shared.Add(1)
		}
		time.Sleep(5 * time.Millisecond)
		running[i].Add(-1)
	})
	ds := newEntries(t, entries, f)
	for round := range rounds {
		var wg sync.WaitGroup
		for i, d := range ds {
			id := fmt.Sprint("suspect ", round, " ", i)
			d.quarantine.RecordCrash(id, "gone", 1)
			wg.Go(func() {
				err := d.Run(context.Background(), newJob(id, true), acceptResponse)
				g.Expect(err).NotTo(HaveOccurred())
			})
		}
		wg.Wait()
	}
	g.Expect(shared.Load()).To(BeZero(), "attempts of %d", entries*rounds)
	for _, d := range ds {
		g.Eventually(d.quarantine.Reserved, "2s", "5ms").Should(BeEmpty())
		g.Eventually(func() bool {
			return slices.ContainsFunc(d.quarantine.List(), quarantine.Record.Suspect)
		}, "2s", "5ms").Should(BeFalse(), "a request is still suspect")
	}
}
