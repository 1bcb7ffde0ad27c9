package batch

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// memoryListener accepts the connections to one address, without sockets.
type memoryListener chan net.Conn

func (l memoryListener) Accept() (net.Conn, error) { return <-l, nil }
func (l memoryListener) Close() error              { return nil }
func (l memoryListener) Addr() net.Addr            { return &net.TCPAddr{} }

// memoryNetwork has the listeners of all daemons that are up, by address.
type memoryNetwork map[string]memoryListener

func (n memoryNetwork) dial(_ context.Context, address string) (net.Conn, error) {
	l, ok := n[address]
	if !ok {
		return nil, fmt.Errorf("%s is down", address)
	}
	here, there := net.Pipe()
	l <- there
	return here, nil
}

// namedPlace places engines on the carriers named.
type namedPlace struct {
	carriers map[string]string // by engine
	all      []string
}

func (p namedPlace) CarrierOf(u upstream.Announcement, _ *homes.Homes) string {
	return p.carriers[u.ID]
}
func (p namedPlace) ScorerFor(string, *homes.Homes) string { return "" }
func (p namedPlace) Carriers() []string                    { return p.all }
func (p namedPlace) Unresponsive(string)                   {}

// countingEngines generates short items of 10 events and long ones of 200, 10 ms each. An event names the
// item, how often the item has begun, and its own number.
type countingEngines struct {
	mu     sync.Mutex
	begun  map[string]int
	events int
}

func (e *countingEngines) Generate(ctx context.Context, _ upstream.Announcement, g GenerateRequest, emit func(Event)) error {
	e.mu.Lock()
	if g.LastEventID == 0 {
		e.begun[g.ID]++
	}
	begun := e.begun[g.ID]
	e.mu.Unlock()
	for n := g.LastEventID + 1; n <= eventsOf(g.ID); n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
		e.mu.Lock()
		e.events++
		e.mu.Unlock()
		emit(Event{ID: n, Data: fmt.Sprintf("%s/%d/%d", g.ID, begun, n), Version: 3})
	}
	return nil
}

func eventsOf(item string) int {
	if strings.HasSuffix(item, "-3") {
		return 200
	}
	return 10
}

// signingScorer answers reward requests at once.
type signingScorer struct{ stubFailingScorer }

func (signingScorer) Score(context.Context, *state.Reward, ScoreLimits) (string, error) {
	return "signed", nil
}

// Guards against a change of leader that costs the output which is not committed: in the middle of a step
// the leader is cut off. The next one must not generate complete items again, nor begin long ones anew, and
// each text must be that of one generation of its item. One of the carriers is the next leader itself,
// another does not answer.
func TestNextLeaderTakesOverTheOutputOfCarriedRuns(t *testing.T) {
	g := NewWithT(t)
	engines := &countingEngines{begun: map[string]int{}}
	logger, ctx := log.New(io.Discard), t.Context()
	job := testJob("j", 3, 4, time.Now())
	for i := range job.Batch.Items {
		job.Batch.Items[i].Reward = &state.Reward{ID: job.Batch.Items[i].ID}
	}
	network := memoryNetwork{"carrier": make(memoryListener, 16), "next": make(memoryListener, 16), "first": make(memoryListener, 16)}
	clients, servers := map[string]*peer.Client{}, map[string]*peer.Server{}
	for address := range network {
		clients[address], servers[address] = peer.NewClient(network.dial), peer.NewServer()
		t.Cleanup(clients[address].Close)
		t.Cleanup(servers[address].Close)
		c := NewCarrier(clients[address], address, 7, maxRetainedBytes, engines, stubFailingScorer{}, logger)
		c.Register(servers[address])
		go c.Run(ctx)
	}
	newLeader := func(address string, s Scorer, p namedPlace) *Carriers {
		c := NewCarriers(clients[address], address, 1, p, engines, s, logger)
		c.Register(servers[address])
		go c.Run(ctx)
		return c
	}
	unscored := &waitingScorer{}
	firstCarriers := newLeader("first", unscored, namedPlace{carriers: map[string]string{"e0": "carrier", "e1": "next"}, all: []string{"carrier", "next"}})
	nextCarriers := newLeader("next", signingScorer{}, namedPlace{carriers: map[string]string{"e0": "carrier", "e1": "carrier"}, all: []string{"carrier", "next", "gone"}})
	for address, l := range network {
		go servers[address].Serve(ctx, l)
	}
	lead := func(term uint64, c *Carriers, s Scorer, job OpenJob) *textReplica {
		b := *job.Batch
		job.Batch = &b
		r := newTextReplica(job)
		r.term = term
		go NewRunner(r, &softwarePool{software: []string{"v1", "v1"}}, c, s, logger).Run(ctx)
		return r
	}

	first := lead(1, firstCarriers, unscored, job)
	// The short items are complete, and the first part of the long ones is committed.
	g.Eventually(func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		return len(first.progress) >= 3 && unscored.waiting.Load() == 9
	}, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
	first.set(true, 1) // cut off: it begins nothing, renews no permits and gets no events
	clients["first"].Close()
	servers["first"].Close()
	first.mu.Lock()
	committed := state.New()
	committed.Apply(state.Command{At: time.Now(), BatchAccept: &state.BatchAccept{Batch: *job.Batch}})
	committed.Apply(state.Command{At: time.Now(), BatchRecord: &state.BatchRecord{Progress: first.progress}})
	g.Expect(first.texts).To(BeEmpty(), "no item has its score")
	first.mu.Unlock()
	job.Partial = map[string]state.Partial{}
	for id, p := range committed.Ledger.Batches["j"].Partial {
		job.Partial[id] = *p
	}
	g.Expect(job.Partial).To(HaveLen(3), "the long items")

	next := lead(2, nextCarriers, signingScorer{}, job)
	texts := func() map[string]string {
		next.mu.Lock()
		defer next.mu.Unlock()
		return maps.Clone(next.texts)
	}
	g.Eventually(texts, 10*time.Second, 20*time.Millisecond).Should(HaveLen(12))
	want := 0
	for _, it := range job.Batch.Items {
		want += eventsOf(it.ID)
		lines := strings.Split(texts()[it.ID], "\n")
		g.Expect(lines).To(HaveLen(eventsOf(it.ID)), it.ID)
		for n, line := range lines {
			g.Expect(line).To(Equal(fmt.Sprintf("%s/1/%d", it.ID, n+1)))
		}
	}
	engines.mu.Lock()
	defer engines.mu.Unlock()
	g.Expect(engines.begun).To(HaveEach(1), "no item is generated again")
	g.Expect(engines.events).To(BeNumerically("<=", want+30), "events that were generated twice")
}
