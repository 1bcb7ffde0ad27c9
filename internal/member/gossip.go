package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

// Timing and fan-out of the gossip protocol.
const (
	probeInterval        = 500 * time.Millisecond // one probe is sent per interval
	selfCheckInterval    = 100 * time.Millisecond // how often a daemon checks its own description for changes
	probeTimeout         = 400 * time.Millisecond
	indirectProbeTimeout = 700 * time.Millisecond
	helperCount          = 2 // daemons that are asked for an indirect probe
	// seedRetryRounds is the number of probe intervals between attempts to contact
	// the seeds that are not known to be up. The attempts reunite two sets of daemons
	// that have ejected each other.
	seedRetryRounds = 10
	// firstRetryInterval is the pause between attempts to contact the seeds that are not known, in
	// the firstRetryPeriod after the start: when all daemons restart together, a daemon that waits
	// for the next probe is missing from the first notices of the others.
	firstRetryInterval = 100 * time.Millisecond
	firstRetryPeriod   = 10 * time.Second
)

// Gossip keeps a Table up to date by exchanging messages with the other daemons.
type Gossip struct {
	// OnRenew is called when another daemon rejects the description of this one, with the
	// description that it knows and the renewed one. It may be nil and must be set before
	// the first message.
	OnRenew func(known, renewed Daemon)

	client *peer.Client
	seeds  func() []string
	self   func() Daemon

	outgoing  batcher // to the relays
	toZone    batcher // as a relay
	maxDirect int

	mu    sync.Mutex
	table *Table
	rnd   *rand.Rand
	// differed is set when the table of the daemon probed last differed. Tables differ
	// briefly whenever a notice is under way.
	differed bool
	// refused holds for each seed that was called whether its machine has refused a connection.
	refused map[string]bool
}

// NewGossip returns a Gossip. It finds the other daemons through the peer addresses that
// seeds returns. self returns the current description of this daemon.
func NewGossip(client *peer.Client, seeds func() []string, self func() Daemon) *Gossip {
	g := &Gossip{
		client: client, seeds: seeds, self: self, table: NewTable(self()), maxDirect: maxDirect, refused: map[string]bool{},
		rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	g.outgoing = batcher{delay: relayDelay, send: g.sendToRelays}
	g.toZone = batcher{delay: relayDelay, send: g.sendToZone}
	return g
}

// KnowAllRegions makes the gossip record daemons of other regions too. It must be called before the
// first message.
func (g *Gossip) KnowAllRegions() { g.table.AllRegions = true }

// Register adds the handlers of the gossip methods to s.
func (g *Gossip) Register(s *peer.Server) {
	peer.Handle(s, MethodPing, g.handlePing)
	peer.Handle(s, MethodIndirectPing, g.handleIndirectPing)
	peer.Handle(s, MethodTable, g.handleTable)
	peer.HandleNotice(s, MethodAnnounce, g.merge)
	peer.HandleNotice(s, MethodSuspect, g.handleSuspicion)
	peer.HandleNotice(s, MethodRelay, func(ns []RelayedNotice) { g.handleRelay(ns, s.Dispatch) })
	peer.HandleNotice(s, MethodRelayed, func(ns []RelayedNotice) { g.handleRelayed(ns, s.Dispatch) })
	peer.Handle(s, MethodConfirmZone, g.handleZoneCall)
}

// Live returns the daemons that are up, including this one, ordered by ID.
func (g *Gossip) Live() []Daemon {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Live()
}

// Run probes the other daemons and announces changes until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	g.AnnounceChanges()
	g.pullFromSeeds(ctx)
	go g.findFirst(ctx)
	go periodic.Every(ctx, selfCheckInterval, g.AnnounceChanges)
	n := 0
	periodic.Every(ctx, probeInterval, func() {
		n++
		g.probeRound(ctx, n%seedRetryRounds == 0)
	})
}

// findFirst contacts the seeds until all of them are known, for firstRetryPeriod at most. With one
// other daemon alone, those that restart together and start at different moments would form groups
// that do not know each other until the next regular attempt.
func (g *Gossip) findFirst(ctx context.Context) {
	for began := time.Now(); time.Since(began) < firstRetryPeriod && len(g.unknownSeeds()) > 0; {
		if !periodic.Pause(ctx, firstRetryInterval) {
			return
		}
		g.pullFromSeeds(ctx)
	}
}

// probeRound starts one probe. It also contacts the seeds if seeds is set or no other
// daemon is known.
func (g *Gossip) probeRound(ctx context.Context, seeds bool) {
	g.mu.Lock()
	g.table.Expire(time.Now())
	target, ok := g.table.NextProbe(g.rnd, g.maxDirect)
	g.mu.Unlock()
	if ok {
		go g.probe(ctx, target)
	}
	if seeds || !ok {
		go g.pullFromSeeds(ctx)
	}
}

// AnnounceChanges sends this daemon's description to all other daemons if it has changed
// since the last call, apart from its load.
func (g *Gossip) AnnounceChanges() {
	d := g.self()
	g.mu.Lock()
	changed := g.table.SetSelf(d)
	d = g.table.Self()
	g.mu.Unlock()
	if changed {
		g.Broadcast(MethodAnnounce, d)
	}
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

func (g *Gossip) merge(d Daemon) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Merge(time.Now(), d)
}

// handleSuspicion records that d is suspected. If d is this daemon, it refutes the
// suspicion and announces its new description.
func (g *Gossip) handleSuspicion(d Daemon) {
	g.mu.Lock()
	refute := g.table.Suspect(time.Now(), d)
	if refute {
		g.table.Refute()
	}
	self := g.table.Self()
	g.mu.Unlock()
	if refute {
		g.Broadcast(MethodAnnounce, self)
	}
}

func (g *Gossip) localPing() Ping {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Ping{From: g.table.Self(), Hash: g.table.Hash()}
}

func (g *Gossip) handlePing(_ context.Context, p Ping) (Ping, error) {
	rejection := g.mergeSender(p.From)
	reply := g.localPing()
	reply.Rejection = rejection
	return reply, nil
}

func (g *Gossip) handleTable(_ context.Context, p Ping) (TableReply, error) {
	rejection := g.mergeSender(p.From)
	g.mu.Lock()
	defer g.mu.Unlock()
	r := TableReply{Daemons: g.table.Live(), Rejection: rejection}
	for _, d := range r.Daemons {
		if g.table.suspects(d.ID) {
			r.Suspected = append(r.Suspected, d.ID)
		}
	}
	return r, nil
}

// mergeSender merges the description of a caller, and returns why it is rejected.
func (g *Gossip) mergeSender(d Daemon) *Rejection {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Merge(time.Now(), d)
	return g.table.Rejection(time.Now(), d)
}

// renew announces a newer description of this daemon if another one rejects the current
// one. Without it a daemon that was ejected while it was cut off, or whose clock was set
// back before it started again, would be missing from the tables of the others.
func (g *Gossip) renew(r *Rejection) {
	if r == nil {
		return
	}
	g.mu.Lock()
	renewed := g.table.Renew(*r)
	self := g.table.Self()
	g.mu.Unlock()
	if !renewed {
		return
	}
	if g.OnRenew != nil {
		g.OnRenew(r.Known, self)
	}
	g.Broadcast(MethodAnnounce, self)
}

func (g *Gossip) handleIndirectPing(ctx context.Context, q IndirectPing) (IndirectPingReply, error) {
	return IndirectPingReply{Answered: g.ping(ctx, q.ID, q.Address)}, nil
}

// ping probes an address and reports whether the daemon with the given id answers there.
// It merges the other daemon's table if the hashes differ.
func (g *Gossip) ping(ctx context.Context, id, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	local := g.localPing()
	reply, err := peer.Call[Ping](ctx, g.client, address, MethodPing, local)
	if err != nil || reply.From.ID != id {
		return false
	}
	g.mu.Lock()
	g.table.Merge(time.Now(), reply.From)
	g.table.ClearSuspicion(id)
	differs := g.table.Hash() != reply.Hash
	pull := differs && (g.differed || len(g.table.others) <= g.maxDirect)
	g.differed = differs && !pull
	g.mu.Unlock()
	g.renew(reply.Rejection)
	if pull {
		_ = g.pull(ctx, address) // the next probe tries again
	}
	return true
}

// pull fetches the table of the daemon at address and merges it, suspicions included: this daemon
// may have started after their notices. A daemon that is missing there may have been ejected,
// and is probed next.
func (g *Gossip) pull(ctx context.Context, address string) error {
	reply, err := peer.Call[TableReply](ctx, g.client, address, MethodTable, g.localPing())
	if err != nil {
		return err
	}
	listed := map[string]bool{}
	for _, d := range reply.Daemons {
		g.merge(d)
		listed[d.ID] = true
		if slices.Contains(reply.Suspected, d.ID) {
			g.handleSuspicion(d)
		}
	}
	g.mu.Lock()
	g.table.ProbeFirst(func(id string) bool { return !listed[id] })
	g.mu.Unlock()
	g.renew(reply.Rejection)
	return nil
}

// probe pings target, first directly and then indirectly. If neither is answered, it
// suspects target and broadcasts the suspicion.
func (g *Gossip) probe(ctx context.Context, target Daemon) {
	if g.ping(ctx, target.ID, target.PeerAddress) || g.probeIndirectly(ctx, target) || ctx.Err() != nil {
		return
	}
	g.handleSuspicion(target)
	g.Broadcast(MethodSuspect, target)
}

// probeIndirectly asks helperCount other daemons to ping target and reports whether one of
// them got a reply.
func (g *Gossip) probeIndirectly(ctx context.Context, target Daemon) bool {
	g.mu.Lock()
	helpers := g.table.Helpers(g.rnd, helperCount, target.ID)
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, indirectProbeTimeout)
	defer cancel()
	replies := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() {
			r, err := peer.Call[IndirectPingReply](ctx, g.client, h.PeerAddress, MethodIndirectPing, IndirectPing{ID: target.ID, Address: target.PeerAddress})
			replies <- err == nil && r.Answered
		}()
	}
	for range helpers {
		if <-replies {
			return true
		}
	}
	return false
}

// pullFromSeeds merges the tables of the seeds that are not known to be up.
func (g *Gossip) pullFromSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range g.unknownSeeds() {
		wg.Go(func() { g.recordSeed(a, g.pull(ctx, a)) })
	}
	wg.Wait()
}

// unknownSeeds returns the seeds that are not among the daemons that are up.
func (g *Gossip) unknownSeeds() []string {
	known := map[string]bool{}
	for _, d := range g.Live() {
		known[d.PeerAddress] = true
	}
	var out []string
	for _, a := range g.seeds() {
		if !known[a] {
			out = append(out, a)
		}
	}
	return out
}

// recordSeed records the outcome of a call to a seed.
func (g *Gossip) recordSeed(address string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused[address] = g.refused[address] || peer.Refused(err)
}

// Seeds returns the number of seeds that were called since the start, and of those whose machine
// has refused a connection since then. A replica that is busy after its start may be silent later.
func (g *Gossip) Seeds() (tried, refused int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.refused {
		if r {
			refused++
		}
	}
	return len(g.refused), refused
}
