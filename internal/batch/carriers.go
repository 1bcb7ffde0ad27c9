package batch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

var (
	carriedRuns     = metrics.NewCounter("apricotstream_carried_runs_total")
	carriedRunsLost = metrics.NewCounter("apricotstream_carried_runs_lost_total")
)

// greetTimeout bounds the first call to a carrier.
const greetTimeout = 500 * time.Millisecond

// Placement says which daemon carries a run or a reward request. An empty address means
// this daemon itself.
type Placement interface {
	// CarrierOf returns the peer address of the carrier for the runs on an upstream, which must be in
	// a region that h allows and obey h.
	CarrierOf(u upstream.Announcement, h *homes.Homes) string
	// ScorerFor returns the peer address of the carrier for a reward request, like CarrierOf.
	ScorerFor(reward string, h *homes.Homes) string
	// Carriers returns the peer addresses of all daemons that may have carried runs for another leader,
	// this one included. There are none in a deployment whose leader runs all items itself.
	Carriers() []string
	// Unresponsive records that a carrier does not answer. It is not chosen for a while.
	Unresponsive(address string)
}

// Carriers runs attempts and reward requests on other daemons, the carriers. It implements
// Engines and Scorer for the leader's session.
type Carriers struct {
	client *peer.Client
	self   string // own peer address
	place  Placement
	local  Engines
	scorer Scorer
	log    *log.Logger

	mu       sync.Mutex
	lastRun  uint64
	process  int64 // distinguishes the runs of this process from those of an earlier one
	carriers map[string]*carrierView
}

// carrierView is what the leader knows of one carrier.
type carrierView struct {
	address string
	offset  carrierOffset
	heardAt time.Duration // on the boot clock; last progress or reply
	runs    map[string]*remoteRun
}

// remoteRun is one attempt on a carrier, as the leader sees it.
type remoteRun struct {
	id       string
	term     uint64
	heldAt   time.Duration // on the boot clock; when its permit was last renewed
	lost     chan struct{} // closed when the carrier is silent
	progress func(events int)

	mu   sync.Mutex
	emit func(Event) // nil once the attempt has ended
	have int         // events that have arrived
}

// NewCarriers returns the leader's side of the carriers. self is the peer address of this
// daemon, and process distinguishes its run IDs from those of its earlier processes.
func NewCarriers(client *peer.Client, self string, process int64, p Placement, e Engines, s Scorer, logger *log.Logger) *Carriers {
	return &Carriers{client: client, self: self, process: process, place: p, local: e, scorer: s, log: logger, carriers: map[string]*carrierView{}}
}

// Register adds the handler of progress to s.
func (c *Carriers) Register(s *peer.Server) { peer.HandleNotice(s, MethodProgress, c.receive) }

// Run renews the permits of all runs, and gives up those of silent carriers, until ctx ends.
func (c *Carriers) Run(ctx context.Context) {
	periodic.Every(ctx, holdInterval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, v := range c.carriers {
			c.giveUpIfSilent(v)
			if term := v.newestTerm(); term > 0 {
				c.sendHold(v, term)
			}
		}
	})
}

// giveUpIfSilent gives up the runs of a carrier that has not been heard of. The caller
// holds c.mu.
func (c *Carriers) giveUpIfSilent(v *carrierView) {
	if silent := clock.Now() - v.heardAt; len(v.runs) > 0 && silent >= carrierSilence {
		c.log.Warn("Carrier is silent; its runs are given up.", "carrier", v.address, "runs", len(v.runs), "silent_ms", silent.Milliseconds())
		c.place.Unresponsive(v.address)
		for id, r := range v.runs {
			close(r.lost)
			delete(v.runs, id)
		}
	}
}

// newestTerm returns the term of the newest run, or 0 without runs.
func (v *carrierView) newestTerm() uint64 {
	term := uint64(0)
	for _, r := range v.runs {
		term = max(term, r.term)
	}
	return term
}

// sendHold renews the permits of a carrier's runs of a term and ends its other ones. The
// caller holds c.mu.
func (c *Carriers) sendHold(v *carrierView, term uint64) {
	now := clock.Now()
	h := Hold{Permit: v.offset.permit(now, term, c.self)}
	for _, r := range v.runs {
		if r.term == term {
			r.heldAt = now
			h.Runs = append(h.Runs, HeldRun{Run: r.id, Have: r.count()})
		}
	}
	c.client.Notify(v.address, MethodHold, h)
}

func (r *remoteRun) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.have
}

// receive takes the progress of a carrier.
func (c *Carriers) receive(p Progress) {
	now := clock.Now()
	c.mu.Lock()
	v := c.carriers[p.Carrier]
	if v == nil {
		c.mu.Unlock()
		return
	}
	v.offset.observe(now, p.Clock)
	v.heardAt = now
	runs := make([]*remoteRun, len(p.Runs))
	for i, x := range p.Runs {
		runs[i] = v.runs[x.Run]
	}
	c.mu.Unlock()
	for i, x := range p.Runs {
		if r := runs[i]; r != nil {
			r.receive(x.From, x.Events)
			r.progress(x.Count)
		}
	}
}

// receive passes on the events that have not arrived yet. It ignores events after a gap,
// which the carrier sends again.
func (r *remoteRun) receive(from int, events []Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.emit == nil || from > r.have {
		return
	}
	for _, e := range events[min(r.have-from, len(events)):] {
		r.emit(e)
		r.have++
	}
}

// end stops the passing on of events and returns their number.
func (r *remoteRun) end() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.emit = nil
	return r.have
}

// Generate implements Engines. When the run is not wanted any more, or the carrier does not
// answer, it returns only when the carrier has ended the run, or its permit has run out:
// until then the run may still be at work.
func (c *Carriers) Generate(ctx context.Context, to upstream.Announcement, g GenerateRequest, emit func(Event)) error {
	address := c.place.CarrierOf(to, g.Homes)
	if address == "" {
		return c.local.Generate(ctx, to, g, emit)
	}
	if err := c.greet(ctx, address); err != nil {
		c.place.Unresponsive(address)
		return result.New(result.SampleMoved, "carrier %s does not answer: %v", address, err)
	}
	r, q := c.begin(address, to, g, emit)
	defer r.end()
	carriedRuns.Inc()
	type outcome struct {
		reply RunReply
		err   error
	}
	ended := make(chan outcome, 1)
	callCtx, abandon := context.WithCancel(context.WithoutCancel(ctx))
	defer abandon()
	go func() {
		reply, err := peer.Call[RunReply](callCtx, c.client, address, MethodRun, q)
		ended <- outcome{reply, err}
	}()
	cancelled := false
	for {
		var over <-chan time.Time // the permit has certainly run out
		if left, held := c.permitLeft(address, r); !held {
			over = time.After(left)
		}
		select {
		case x := <-ended:
			if c.heard(address, x.err); x.err == nil {
				c.release(address, r)
				return c.finish(r, x.reply)
			}
			if errors.Is(x.err, peer.ErrUnreachable) || result.CodeOf(x.err) == result.Stopped {
				c.release(address, r) // not begun
				c.forgetClock(address)
				c.place.Unresponsive(address)
				return result.New(result.SampleMoved, "carrier %s did not begin the run: %v", address, x.err)
			}
			ended = nil
			c.lose(address, r, x.err)
		case <-over:
			if cancelled {
				return context.Cause(ctx)
			}
			return result.New(result.SampleMoved, "carrier %s has lost the run", address)
		case <-r.lost:
			c.lose(address, r, nil)
		case <-doneUnless(cancelled, ctx):
			cancelled = true
			c.release(address, r)
		}
	}
}

// doneUnless returns the channel that is closed when ctx ends, or nil if it has been seen.
func doneUnless(seen bool, ctx context.Context) <-chan struct{} {
	if seen {
		return nil
	}
	return ctx.Done()
}

// greet reads the clock of a carrier that is not known yet.
func (c *Carriers) greet(ctx context.Context, address string) error {
	c.mu.Lock()
	v := c.carriers[address]
	known := v != nil && v.offset.known
	c.mu.Unlock()
	if known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	reading, err := peer.Call[CarrierClock](ctx, c.client, address, MethodGreet, struct{}{})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if v = c.carriers[address]; v == nil {
		v = &carrierView{address: address, runs: map[string]*remoteRun{}}
		c.carriers[address] = v
	}
	v.offset.observe(clock.Now(), reading)
	return nil
}

// begin registers a run and returns the request for it.
func (c *Carriers) begin(address string, to upstream.Announcement, g GenerateRequest, emit func(Event)) (*remoteRun, RunRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	c.lastRun++
	r := &remoteRun{id: fmt.Sprintf("%s/%d/%d", c.self, c.process, c.lastRun), term: g.Term, heldAt: now, lost: make(chan struct{}), emit: emit, progress: g.progress}
	v := c.carriers[address]
	if len(v.runs) == 0 {
		v.heardAt = now
	}
	v.runs[r.id] = r
	var startUntil time.Duration
	if !g.StartBy.IsZero() {
		startUntil = now + v.offset.offset + time.Until(g.StartBy)
	}
	return r, RunRequest{
		StartUntil: startUntil,
		Permit:     v.offset.permit(now, g.Term, c.self), Run: r.id, Upstream: to, ID: g.ID, Job: g.Job, Text: g.Text, Host: g.Host, Path: g.Path, Account: g.Account, Header: g.Header, Body: g.Body, Homes: g.Homes,
		LastEventID: g.LastEventID, Priority: g.Priority, Left: time.Until(g.Deadline), MaxEventBytes: g.maxEventBytes(), MaxEvents: g.MaxEvents, MaxBytes: g.MaxBytes,
	}
}

// permitLeft returns how long a run may go on at its carrier, and whether the permit is
// still renewed.
func (c *Carriers) permitLeft(address string, r *remoteRun) (left time.Duration, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, held = c.carriers[address].runs[r.id]
	return r.heldAt + permitDuration + permitSlack - clock.Now(), held
}

// release stops renewing the permit of a run and tells the carrier at once.
func (c *Carriers) release(address string, r *remoteRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.carriers[address]
	if _, ok := v.runs[r.id]; !ok {
		return
	}
	delete(v.runs, r.id)
	c.sendHold(v, max(r.term, v.newestTerm()))
}

// forgetClock makes the next greeting read the clock of a carrier again, because its process
// may have been replaced.
func (c *Carriers) forgetClock(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.carriers[address].offset.known = false
}

// lose stops renewing the permit of a run whose carrier does not answer.
func (c *Carriers) lose(address string, r *remoteRun, err error) {
	carriedRunsLost.Inc()
	c.place.Unresponsive(address)
	c.log.Warn("Carried run lost.", "run", r.id, "carrier", address, "events", r.count(), "err", err)
	c.forgetClock(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	r.lost = nil
	delete(c.carriers[address].runs, r.id)
}

// heard records that a carrier has answered.
func (c *Carriers) heard(address string, err error) {
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.carriers[address].heardAt = clock.Now()
}

// finish passes on the last events of a run and returns its error.
func (c *Carriers) finish(r *remoteRun, reply RunReply) error {
	if reply.From > r.count() {
		return result.New(result.SampleMoved, "the reply lacks events") // an acknowledgement that was not given
	}
	r.receive(reply.From, reply.Events)
	if reply.Code != result.OK {
		return result.New(reply.Code, "%s", reply.Message)
	}
	return nil
}
