package peer

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"github.com/apricotstream/apricotstream/internal/membudget"
)

const (
	// logInterval and logBurst bound the log lines about closed connections.
	logInterval = time.Second
	logBurst    = 5
	// firstRoomWait is how long the first message of a connection waits for memory, and roomWait
	// how long later ones wait. Connections without a complete message make room within
	// firstRoomWait, other buffers of the process within roomWait.
	firstRoomWait    = time.Second
	roomWait         = frameStallTimeout
	roomPollInterval = 20 * time.Millisecond
	// firstShare is the part of the budget, as a divisor, that the first messages of all connections
	// may hold. With all that large buffers may use, a replica of 64 MB took 58 MB: buffers of
	// connections that are closed are garbage for a while.
	firstShare = 4
	// sharedShare is the part of the budget, as a divisor, that the large calls of the methods of
	// ShareFrames may hold together. With all of the budget, frames of batch jobs were 12 to 19 MB
	// of the heap of a leader of 64 MB.
	sharedShare = 2
	// shareWait is how long such a call waits for that memory. Callers give a call up after a second, and
	// a connection on which nothing is read after userTimeout.
	shareWait = 500 * time.Millisecond
)

// Reasons for which connections are closed, the values of the label of the counter.
const (
	reasonConnections = "connections" // too many are open
	reasonMemory      = "memory"      // the memory for frames is in use
)

// Guard bounds the connections that a Server accepts and the memory of their incomplete frames. It is
// safe for concurrent use, and several servers may share one. A nil Guard has no bounds.
type Guard struct {
	budget   *membudget.Budget
	log      *log.Logger
	logLimit *rate.Limiter

	mu    sync.Mutex
	table *table[net.Conn]
}

// NewGuard returns a guard that keeps to a number of connections. Frames share budget with other
// buffers of the process.
func NewGuard(connections int, budget *membudget.Budget, logger *log.Logger) *Guard {
	g := &Guard{budget: budget, log: logger, logLimit: rate.NewLimiter(rate.Every(logInterval), logBurst), table: newTable[net.Conn](connections)}
	metrics.GetOrCreateGauge(`apricotstream_connections{listener="peers"}`, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.table.len())
	})
	return g
}

// open adds a connection and closes another one if that is one too many. It returns false if the new
// one has been closed.
func (g *Guard) open(c net.Conn) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	victim, tooMany := g.table.open(time.Now(), c)
	g.mu.Unlock()
	if tooMany {
		g.closed(victim, reasonConnections)
	}
	return victim != c
}

// closed closes a connection that the table has given up.
func (g *Guard) closed(c net.Conn, reason string) {
	c.Close()
	metrics.GetOrCreateCounter(fmt.Sprintf(`apricotstream_connections_closed_total{listener="peers",reason=%q}`, reason)).Inc()
	if g.logLimit.Allow() {
		g.log.Warn("Closed a connection to the peer listener to protect the process.", "reason", reason, "remote", c.RemoteAddr(), "buffered", g.budget.Used())
	}
}

// acceptFailed logs that no connection could be accepted.
func (g *Guard) acceptFailed(err error) {
	if g != nil && g.logLimit.Allow() {
		g.log.Error("The peer listener accepts no connection; trying again.", "err", err.Error())
	}
}

// ended records that the goroutine of a connection has ended.
func (g *Guard) ended(c net.Conn) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Return(g.table.ended(c))
}

// complete records that a message of a connection is complete.
func (g *Guard) complete(c net.Conn) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.complete(time.Now(), c)
}

// relay records that a connection is passed on to an upstream. It returns false if too many are.
func (g *Guard) relay(c net.Conn) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.relay(time.Now(), c)
}

// fits reports whether a connection may hold n bytes if there is no other buffer.
func (g *Guard) fits(c net.Conn, n int64) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.table.connections[c]; s != nil && s.used {
		return n <= g.budget.Limit()
	}
	return g.budget.Fits(n)
}

// resize makes the memory held for the frame of a connection n bytes. It waits for memory that is not
// free. If there is none, it closes the connection and returns false.
func (g *Guard) resize(c net.Conn, n int64) bool {
	if g == nil {
		return true
	}
	for start := time.Now(); ; time.Sleep(roomPollInterval) {
		victim, x := g.tryResize(c, n)
		switch {
		case x.done:
			return true
		case x.closing:
			return false
		case x.victim:
			g.closed(victim, reasonMemory)
		}
		if wait := time.Since(start); wait < firstRoomWait || x.used && wait < roomWait {
			continue
		}
		g.mu.Lock()
		g.table.close(c)
		g.mu.Unlock()
		g.closed(c, reasonMemory)
		return false
	}
}

// detach makes the memory that is held for the frame of a connection last until release is called,
// whatever the connection does.
func (g *Guard) detach(c net.Conn) (release func()) {
	if g == nil {
		return func() {}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	held, reserved := g.table.detach(c)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.table.reserved -= reserved
		g.budget.Return(held)
	}
}

// reserve reserves n bytes of the part of the budget for calls of methods of ShareFrames, in which the frame
// that begins on a connection then grows. It waits for bytes that are not free, and returns false if there
// are none within shareWait.
func (g *Guard) reserve(c net.Conn, n int64) bool {
	for start := time.Now(); ; time.Sleep(roomPollInterval) {
		g.mu.Lock()
		done := g.table.reserve(c, n, g.budget.Limit()/sharedShare)
		late := !done && time.Since(start) >= shareWait
		if late {
			g.table.leave(c)
		}
		g.mu.Unlock()
		if done || late {
			return done
		}
	}
}

// unreserve gives the reservation of a connection back.
func (g *Guard) unreserve(c net.Conn) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.unreserve(c)
}

// attempt is the outcome of tryResize.
type attempt struct {
	done    bool
	closing bool // the connection has been closed meanwhile
	used    bool // the connection has carried a message
	victim  bool // another connection must be closed to make room
}

func (g *Guard) tryResize(c net.Conn, n int64) (victim net.Conn, x attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.table.connections[c]
	if s == nil || s.closing && n > s.held {
		return nil, attempt{closing: true}
	}
	more, size := n-s.held, n
	if s.used {
		size = 0 // daemons may use what large buffers of callers leave
	}
	switch {
	case more <= 0:
		g.budget.Return(-more)
	case g.table.crowded(c, more, g.budget.Limit()/firstShare) || !g.budget.TakeFor(more, size):
		x.used = s.used
		if g.table.freeing < more {
			if victim, x.victim = g.table.holder(c); x.victim {
				g.table.close(victim)
			}
		}
		return victim, x
	}
	g.table.resize(c, n)
	return nil, attempt{done: true}
}
