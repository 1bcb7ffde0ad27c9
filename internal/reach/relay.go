package reach

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// Limits of a helper.
const (
	// maxRelayed bounds the connections that a daemon passes on at a time. Each has two
	// descriptors and two buffers of maxFrameBytes.
	maxRelayed = 256
	// openingTimeout bounds the time in which the opening line must arrive.
	openingTimeout = time.Second
	// relayDialTimeout bounds the dial for another daemon, whose caller waits.
	relayDialTimeout = 150 * time.Millisecond
	// relayIdleTime is how long a connection must have been idle before a draining helper
	// closes it.
	relayIdleTime = 300 * time.Millisecond
	// relaySilence is the time after which a helper gives up a connection to another daemon on
	// which nothing is acknowledged.
	relaySilence = 1500 * time.Millisecond
)

var relayedForOthers = func(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`apricotstream_relays_total{outcome="` + outcome + `"}`)
}

// relay passes connections to upstreams on for other daemons. It connects to upstreams itself and
// never through a further daemon.
type relay struct {
	dial    sockopt.Dial
	listed  func(address string) bool // whether an upstream has this address
	skips   func(address string) bool // whether this daemon has just failed to reach it itself
	severed func() bool

	mu       sync.Mutex
	passed   map[*passedConn]bool
	admitted int // openings that were not refused, and the connections passed on for them
	draining bool
}

// serve is a peer.OtherHandler that passes the connection of another daemon on.
func (r *relay) serve(daemon net.Conn, in *bufio.Reader, admit func() bool) {
	defer daemon.Close()
	if err := daemon.SetDeadline(time.Now().Add(openingTimeout)); err != nil {
		return
	}
	if _, err := in.Discard(len(opening)); err != nil {
		return
	}
	address, err := readLine(in)
	if err != nil {
		return
	}
	upstream, answer := r.connect(address, admit)
	relayedForOthers(answer.outcome).Inc()
	if answer.outcome != answerRefused {
		defer r.release()
	}
	line := answer.outcome
	if answer.reason != "" {
		line += " " + answer.reason
	}
	if _, err := io.WriteString(daemon, line[:min(len(line), maxLineBytes-1)]+"\n"); err != nil || upstream == nil {
		if upstream != nil {
			upstream.Close()
		}
		return
	}
	c := &passedConn{daemon: daemon, upstream: upstream, activeAt: time.Now()}
	defer c.close()
	r.add(c)
	defer r.remove(c)
	if daemon.SetDeadline(time.Time{}) != nil {
		return
	}
	noticeSilence(daemon)
	c.pass(in)
}

// relayAnswer is a helper's answer to an opening.
type relayAnswer struct{ outcome, reason string }

// connect connects to an upstream for another daemon.
func (r *relay) connect(address string, admit func() bool) (net.Conn, relayAnswer) {
	if _, err := netip.ParseAddrPort(address); err != nil || !r.listed(address) {
		return nil, relayAnswer{answerRefused, "no upstream with this address is known"}
	}
	if reason := r.admit(address, admit); reason != "" {
		return nil, relayAnswer{answerRefused, reason}
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayDialTimeout)
	defer cancel()
	c, err := r.dial(ctx, "tcp", address)
	switch {
	case err == nil:
		return c, relayAnswer{outcome: answerConnected}
	case r.severed():
		r.release()
		return nil, relayAnswer{answerRefused, "this daemon has lost its own links"}
	}
	return nil, relayAnswer{answerUnreachable, dialOutcome(err)}
}

// admit returns why no connection to address is passed on now, or "". Then release must be called
// when the connection has ended.
func (r *relay) admit(address string, admit func() bool) string {
	if r.skips(address) {
		return "this daemon has lost its own links"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.draining:
		return "this daemon stops"
	case r.admitted >= maxRelayed || !admit():
		return "this daemon passes on as many connections as it may"
	}
	r.admitted++
	return ""
}

func (r *relay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admitted--
}

func (r *relay) add(c *passedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passed[c] = true
}

func (r *relay) remove(c *passedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.passed, c)
}

func (r *relay) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.passed) > 0
}

// drain accepts no further connections and closes those that are idle.
func (r *relay) drain(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	for c := range r.passed {
		if c.idleFor(now) >= relayIdleTime {
			c.close()
		}
	}
}
