package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/apricotstream/apricotstream/internal/clock"
)

// Timeouts to detect dead connections that were not reset.
const (
	// userTimeout closes a connection whose sent bytes are not acknowledged in time. It
	// allows for two retransmissions between daemons.
	userTimeout = 1500 * time.Millisecond
	// minSilence is the shortest wait for a reply after which a connection counts as
	// dead, if nothing else arrived on it in the meantime.
	minSilence = 300 * time.Millisecond
)

// keepAlive detects a dead connection on which nothing is being sent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: 500 * time.Millisecond, Count: 3}

// activityConn records when bytes last arrived.
type activityConn struct {
	net.Conn
	lastRead atomic.Int64 // reading of the boot clock in nanoseconds
}

// Read implements net.Conn.
func (c *activityConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(int64(clock.Now()))
	}
	return n, err
}

// nothingReadSince reports whether conn is the current connection and nothing has arrived
// on it since the boot clock showed t.
func (e *endpoint) nothingReadSince(conn *jsonrpc2.Conn, t time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn == conn && e.activity != nil && e.activity.lastRead.Load() < int64(t)
}
