package duty

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// call sends one call on a connection of h. take is called when the receiver reads it. ctx ends
// the call: the connection is closed then, as soon as h runs, and drops what was not acknowledged.
func (h *simHolder) call(ctx context.Context, subject string, token uint64, take func()) error {
	rnd := h.s.random("call", h.name, subject)
	h.strike(rnd, false)
	h.gate()
	if rnd.IntN(2) == 0 { // no kept connection
		if time.Sleep(between(rnd, time.Millisecond, simDialTimeout/20)); rnd.IntN(4) == 0 {
			h.strike(rnd, false)
			time.Sleep(between(rnd, 0, simDialTimeout/2))
		}
		h.gate()
		if h.isCut() {
			time.Sleep(simDialTimeout)
			return result.New(result.UpstreamUnreached, "no connection")
		}
	}
	if ctx.Err() != nil {
		return result.New(result.UpstreamUnreached, "%v", ctx.Err())
	}
	taken, closed := make(chan struct{}), make(chan struct{})
	go h.transmit(rnd.Uint64(), take != nil, closed, func() {
		if h.s.takes(h, subject, token); take != nil {
			take()
		}
		close(taken)
	})
	h.strike(rnd, true)
	defer func() {
		h.gate()
		close(closed)
	}()
	select {
	case <-ctx.Done():
	case <-taken:
		answer := between(rnd, 0, 50*time.Millisecond)
		switch rnd.IntN(8) {
		case 0:
			answer = between(rnd, 0, 3*time.Second) // late
		case 1:
			answer = time.Hour // lost
		}
		select {
		case <-ctx.Done():
		case <-time.After(answer):
			return nil
		}
	}
	return result.New(result.UpstreamTimeout, "%v", ctx.Err())
}

// strike injects a fault at a stage of a call, at random: a freeze, and once the call is written also
// a cut of the link. Faults come in bursts: a call that is written right after a thaw is struck more
// often.
func (h *simHolder) strike(rnd *rand.Rand, written bool) {
	oneIn := h.s.strikeOneIn
	if written && h.justThawed() {
		oneIn = 2
	}
	if rnd.IntN(oneIn) != 0 {
		return
	}
	if written {
		longest := []time.Duration{2 * simOrderTimeout, simUserTimeout}[rnd.IntN(2)]
		h.cut(between(rnd, longest/4, longest))
	}
	h.freeze(between(rnd, h.s.longestFreeze/2, h.s.longestFreeze))
}

func (h *simHolder) justThawed() bool {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	return time.Since(h.thawedAt) <= simThaw
}

// transmit sends the bytes of a call as the kernel does, also while h is frozen, until they arrive,
// the connection is closed, or they were not acknowledged for the timeout of the connection.
func (h *simHolder) transmit(seed uint64, order bool, closed chan struct{}, take func()) {
	rnd := rand.New(rand.NewPCG(seed, 0))
	rto := h.real(between(rnd, 200*time.Millisecond, 600*time.Millisecond))
	end := time.Now().Add(h.real(simUserTimeout))
	if order {
		end = time.Now().Add(rto + h.real(simOrderTimeout))
	}
	for ; ; rto *= 2 {
		time.Sleep(between(rnd, 100*time.Microsecond, 20*time.Millisecond))
		if !h.isCut() {
			h.s.mu.Lock()
			defer h.s.mu.Unlock()
			take()
			return
		}
		if time.Now().Add(rto).After(end) {
			return
		}
		select {
		case <-closed:
			return
		case <-time.After(rto):
		}
	}
}

// ReportUsage implements Provider.
func (h *simHolder) ReportUsage(ctx context.Context, f Fence, _ uint64, _ map[string]int64) error {
	h.strike(h.s.random("usage", h.name), false) // between the check of the lease and the call
	h.gate()
	ctx, cancel := context.WithTimeout(ctx, h.real(simProviderTimeout))
	defer cancel()
	return h.call(ctx, "usage", f.Token, nil)
}

// SetPool implements Provider.
func (*simHolder) SetPool(context.Context, Fence, string, string, bool, int) error { return nil }

// Order implements Engines. An engine that the call reaches loads the version.
func (h *simHolder) Order(ctx context.Context, f Fence, to upstream.Announcement, o Order) (bool, error) {
	err := h.call(ctx, to.ID, f.Token, func() {
		e := h.s.engines[to.ID]
		e.Orders++
		e.Versions[o.Model] = max(e.Versions[o.Model], o.Version)
	})
	return err == nil, err
}

// Report implements Engines. It may be late.
func (h *simHolder) Report(ctx context.Context, to upstream.Announcement) (Report, error) {
	if err := h.wait(ctx, "report "+to.ID); err != nil || h.isCut() {
		return Report{}, result.New(result.UpstreamTimeout, "no report")
	}
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	r := *h.s.engines[to.ID]
	return Report{Versions: map[string]uint64{"a": r.Versions["a"]}, Orders: r.Orders}, nil
}

// Propose implements Replica.
func (h *simHolder) Propose(ctx context.Context, q control.ProposeRequest) (state.Outcome, error) {
	if err := h.wait(ctx, "propose"); err != nil {
		return state.Outcome{}, err
	}
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	return h.s.state.Apply(q.Command), nil
}

// Query implements Replica.
func (h *simHolder) Query(ctx context.Context, q control.QueryRequest) (control.QueryReply, error) {
	if err := h.wait(ctx, "query"); err != nil {
		return control.QueryReply{}, err
	}
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	return fakeReplica{h.s.state}.Query(ctx, q)
}

// wait waits for an answer, which may be late or lost.
func (h *simHolder) wait(ctx context.Context, what string) error {
	rnd := h.s.random(what, h.name)
	h.gate()
	delay := between(rnd, 0, 20*time.Millisecond)
	switch rnd.IntN(30) {
	case 0:
		delay = between(rnd, 0, 3*time.Second)
	case 1:
		delay = time.Hour
	case 2, 3, 4, 5:
		h.strike(rnd, false)
	}
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
	h.gate()
	return ctx.Err()
}
