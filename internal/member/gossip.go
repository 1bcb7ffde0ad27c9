package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

// Timing of gossip.
const (
	period       = 500 * time.Millisecond // one probe each
	changeCheck  = 100 * time.Millisecond // delay after which a change of the own state is sent
	probeTimeout = 400 * time.Millisecond
	helpTimeout  = 700 * time.Millisecond
	helpers      = 2
	// seedEvery is the number of periods between tries of a seed that is not
	// known to be up: two halves that dropped each other merge again.
	seedEvery = 10
)

// Gossip keeps a Table up to date.
type Gossip struct {
	client *peer.Client
	seeds  []string
	self   func() Daemon

	mu    sync.Mutex
	table *Table
	rnd   *rand.Rand
}

// NewGossip returns a gossip that finds others by the peer addresses in seeds.
func NewGossip(client *peer.Client, seeds []string, self func() Daemon) *Gossip {
	return &Gossip{
		client: client, seeds: seeds, self: self, table: NewTable(self()),
		rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Register adds the handlers to s.
func (g *Gossip) Register(s *peer.Server) {
	peer.Handle(s, MethodPing, g.answerPing)
	peer.Handle(s, MethodPingFor, g.answerPingFor)
	peer.Handle(s, MethodTable, g.answerTable)
	peer.HandleNotice(s, MethodNews, g.take)
	peer.HandleNotice(s, MethodSuspect, g.takeSuspicion)
}

// Live returns the daemons that are up, this one included.
func (g *Gossip) Live() []Daemon {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Live()
}

// Run probes until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	g.AnnounceChanges()
	g.joinSeeds(ctx)
	go periodic.Every(ctx, changeCheck, g.AnnounceChanges)
	n := 0
	periodic.Every(ctx, period, func() {
		n++
		g.round(ctx, n%seedEvery == 0)
	})
}

// round starts one probe, and tries the seeds when asked to or when no other
// daemon is known.
func (g *Gossip) round(ctx context.Context, seeds bool) {
	g.mu.Lock()
	g.table.Expire(time.Now())
	target, ok := g.table.NextProbe(g.rnd)
	g.mu.Unlock()
	if ok {
		go g.probe(ctx, target)
	}
	if seeds || !ok {
		go g.joinSeeds(ctx)
	}
}

// Beat notifies all others at once when the own state has changed.
func (g *Gossip) AnnounceChanges() {
	d := g.self()
	g.mu.Lock()
	tell := g.table.SetSelf(d)
	d = g.table.Self()
	g.mu.Unlock()
	if tell {
		g.Broadcast(MethodNews, d)
	}
}

// Broadcast sends a notice to every other daemon that is up.
func (g *Gossip) Broadcast(method string, params any) {
	g.client.NotifyAll(g.Others(), method, params)
}

// Others returns the peer addresses of all other daemons that are up.
func (g *Gossip) Others() []string {
	own := g.self().PeerAddress
	var others []string
	for _, d := range g.Live() {
		if d.PeerAddress != own {
			others = append(others, d.PeerAddress)
		}
	}
	return others
}

func (g *Gossip) take(d Daemon) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Take(time.Now(), d)
}

func (g *Gossip) takeSuspicion(d Daemon) {
	g.mu.Lock()
	refute := g.table.Suspect(time.Now(), d)
	if refute {
		g.table.Refute()
	}
	self := g.table.Self()
	g.mu.Unlock()
	if refute {
		g.Broadcast(MethodNews, self)
	}
}

func (g *Gossip) ownPing() Ping {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Ping{From: g.table.Self(), Hash: g.table.Hash()}
}

func (g *Gossip) answerPing(_ context.Context, p Ping) (Ping, error) {
	g.take(p.From)
	return g.ownPing(), nil
}

func (g *Gossip) answerTable(_ context.Context, p Ping) (TableReply, error) {
	g.take(p.From)
	return TableReply{Daemons: g.Live()}, nil
}

func (g *Gossip) answerPingFor(ctx context.Context, q PingFor) (PingForReply, error) {
	return PingForReply{Answered: g.ping(ctx, q.ID, q.Address)}, nil
}

// ping probes an address and reports whether daemon id answers there.
func (g *Gossip) ping(ctx context.Context, id, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	own := g.ownPing()
	reply, err := peer.Call[Ping](ctx, g.client, address, MethodPing, own)
	if err != nil || reply.From.ID != id {
		return false
	}
	g.mu.Lock()
	g.table.Take(time.Now(), reply.From)
	g.table.Heard(id)
	same := g.table.Hash() == reply.Hash
	g.mu.Unlock()
	if !same {
		g.pull(ctx, address)
	}
	return true
}

// pull merges the table of the daemon at address.
func (g *Gossip) pull(ctx context.Context, address string) {
	reply, err := peer.Call[TableReply](ctx, g.client, address, MethodTable, g.ownPing())
	if err != nil {
		return
	}
	for _, d := range reply.Daemons {
		g.take(d)
	}
}

// probe pings target, by helpers when it does not answer, and spreads the
// suspicion when none gets an answer.
func (g *Gossip) probe(ctx context.Context, target Daemon) {
	if g.ping(ctx, target.ID, target.PeerAddress) || g.helped(ctx, target) || ctx.Err() != nil {
		return
	}
	g.takeSuspicion(target)
	g.Broadcast(MethodSuspect, target)
}

func (g *Gossip) helped(ctx context.Context, target Daemon) bool {
	g.mu.Lock()
	list := g.table.Helpers(g.rnd, helpers, target.ID)
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, helpTimeout)
	defer cancel()
	answers := make(chan bool, len(list))
	for _, h := range list {
		go func() {
			r, err := peer.Call[PingForReply](ctx, g.client, h.PeerAddress, MethodPingFor, PingFor{ID: target.ID, Address: target.PeerAddress})
			answers <- err == nil && r.Answered
		}()
	}
	for range list {
		if <-answers {
			return true
		}
	}
	return false
}

// joinSeeds learns the table from the seeds that are not known to be up.
func (g *Gossip) joinSeeds(ctx context.Context) {
	known := map[string]bool{}
	for _, d := range g.Live() {
		known[d.PeerAddress] = true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range g.seeds {
		if !known[a] {
			wg.Go(func() { g.pull(ctx, a) })
		}
	}
	wg.Wait()
}
