package inbound

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
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
	// maxRoomWait is how long a part of a head waits for the memory of closed connections, which is
	// free when their goroutines have ended.
	maxRoomWait      = time.Second
	roomPollInterval = 5 * time.Millisecond
	// maxWriteBytes is the largest part of an answer that is written at a time.
	maxWriteBytes = 16 << 10
	// maxDescriptors is the number of descriptors that is assumed when the system sets no limit.
	maxDescriptors = 1 << 16
	// minConnections is the smallest number of connections of a listener.
	minConnections = 16
)

// Reasons for which connections are closed, the values of the label of the counter.
const (
	reasonConnections = "connections" // too many are open
	reasonMemory      = "memory"      // the memory for requests is in use
)

// Descriptors returns the number of descriptors that the process may open.
func Descriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur == 0 || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int(limit.Cur)
}

// Share returns the number of connections that a part of the descriptors allows.
func Share(descriptors int, part float64) int {
	return max(minConnections, int(part*float64(descriptors)))
}

// Guard bounds the connections of one listener and the memory of the heads of their requests. It is
// safe for concurrent use.
type Guard struct {
	name     string
	budget   *membudget.Budget
	log      *log.Logger
	logLimit *rate.Limiter

	mu      sync.Mutex
	table   *Table[*conn]
	freeing int64 // bytes held for connections that have been closed and whose goroutines have not ended
}

// NewGuard returns a guard that keeps to a number of connections. The heads share budget with other
// buffers of the process. name is the name of the listener in logs and metrics.
func NewGuard(name string, connections int, budget *membudget.Budget, logger *log.Logger) *Guard {
	g := &Guard{name: name, budget: budget, log: logger, logLimit: rate.NewLimiter(rate.Every(logInterval), logBurst), table: NewTable[*conn](connections)}
	metrics.GetOrCreateGauge(fmt.Sprintf("apricotstream_connections{listener=%q}", name), func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.table.Len())
	})
	return g
}

// Protect makes s keep to the bounds of the guard for the connections of l. It returns the listener
// that s must serve. The hooks of s must be set before the call, and s must not be in use.
func (g *Guard) Protect(s *http.Server, l net.Listener) net.Listener {
	track, handler := s.ConnState, s.Handler
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			g.answered(c)
		}
		if track != nil {
			track(nc, state)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			if r.Body == nil || r.Body == http.NoBody {
				g.complete(c)
			} else {
				c.headRead()
				r.Body = &body{ReadCloser: r.Body, conn: c}
			}
		}
		handler.ServeHTTP(w, r)
	})
	return &listener{Listener: l, guard: g}
}

type connKey struct{}

// listener accepts the connections of a guard.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, guard: l.guard, inHead: true}
		if l.guard.open(c) {
			return c, nil
		}
	}
}

// open adds a connection and closes another one if that is one too many. It returns false if the new
// one is closed.
func (g *Guard) open(c *conn) bool {
	g.mu.Lock()
	victim, held, tooMany := g.table.Open(time.Now(), c)
	if tooMany {
		g.free(victim, held)
	}
	g.mu.Unlock()
	if tooMany {
		g.closed(victim, reasonConnections)
	}
	return victim != c
}

// free records that the memory held for c is free as soon as its goroutine has ended. The caller holds g.mu.
func (g *Guard) free(c *conn, held int64) {
	c.freeing += held
	g.freeing += held
}

// closed closes a connection that has been taken from the table.
func (g *Guard) closed(c *conn, reason string) {
	c.Conn.Close()
	metrics.GetOrCreateCounter(fmt.Sprintf("apricotstream_connections_closed_total{listener=%q,reason=%q}", g.name, reason)).Inc()
	if g.logLimit.Allow() {
		g.log.Warn("Closed a caller's connection to protect the process.", "listener", g.name, "reason", reason, "caller", c.RemoteAddr(), "buffered", g.budget.Used())
	}
}

// hold holds memory for a part of a head. If there is none, it closes c and returns false.
func (g *Guard) hold(c *conn, n int64) bool {
	g.mu.Lock()
	g.table.Begin(time.Now(), c)
	g.mu.Unlock()
	for end := time.Now().Add(maxRoomWait); !g.tryHold(c, n); time.Sleep(roomPollInterval) {
		if !g.makeRoom(c, n) || time.Now().After(end) {
			g.mu.Lock()
			g.free(c, g.table.Close(c))
			g.mu.Unlock()
			g.closed(c, reasonMemory)
			return false
		}
	}
	return true
}

// makeRoom closes another connection if the memory of those that have been closed is less than n
// bytes. It returns false if there is nothing to wait for.
func (g *Guard) makeRoom(c *conn, n int64) bool {
	g.mu.Lock()
	if g.freeing >= n {
		g.mu.Unlock()
		return true
	}
	victim, found := g.table.Holder(time.Now(), c)
	if found {
		g.free(victim, g.table.Close(victim))
	}
	freeing := g.freeing
	g.mu.Unlock()
	if found {
		g.closed(victim, reasonMemory)
	}
	return found || freeing > 0
}

func (g *Guard) tryHold(c *conn, n int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.Take(n) {
		return false
	}
	if !g.table.Hold(c, n) {
		g.budget.Return(n)
	}
	return true // one that has been closed meanwhile fails in its next read
}

// ended records that the goroutine of a connection has ended.
func (g *Guard) ended(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Return(g.table.Close(c) + c.freeing)
	g.freeing -= c.freeing
	c.freeing = 0
}

func (g *Guard) complete(c *conn) {
	c.headRead()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Complete(time.Now(), c)
}

func (g *Guard) answered(c *conn) {
	c.nextHead()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Return(g.table.Answered(time.Now(), c))
}

func (g *Guard) writing(c *conn, begins bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Writing(time.Now(), c, begins)
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	guard   *Guard
	freeing int64 // bytes held for it since it was closed; protected by the guard's mutex

	mu     sync.Mutex
	inHead bool // what is read belongs to the head of a request
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	inHead := c.inHead
	c.mu.Unlock()
	if n > 0 && inHead && !c.guard.hold(c, charge(b[:n])) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. It writes small parts, so that a caller that takes few bytes at a time
// differs from one that takes none.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		part := b[written:min(len(b), written+maxWriteBytes)]
		c.guard.writing(c, true)
		n, err := c.Conn.Write(part)
		c.guard.writing(c, false)
		if written += n; err != nil || written == len(b) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.ended(c)
	return c.Conn.Close()
}

// CloseWrite closes the writing side, so that a caller reads the whole refusal of a request that the
// server has not read to its end.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

func (c *conn) headRead() { c.setInHead(false) }
func (c *conn) nextHead() { c.setInHead(true) }

func (c *conn) setInHead(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = v
}

// body is the body of a request. The request is complete when it has been read.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.guard.complete(b.conn)
	}
	return n, err
}
