package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Detection of connections that have gone silent without a reset.
const (
	// userTimeout ends a connection whose bytes are not acknowledged; two
	// retransmissions on the links between daemons fit.
	userTimeout = 1500 * time.Millisecond
	// silentAfter is the shortest wait for an answer that speaks against the
	// connection when nothing else arrived on it meanwhile.
	silentAfter = 300 * time.Millisecond
)

// keepAlive finds a dead connection on which nothing is sent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: 500 * time.Millisecond, Count: 3}

// heardConn remembers when bytes last arrived.
type heardConn struct {
	net.Conn
	at atomic.Int64 // Unix nanoseconds
}

// Read implements net.Conn.
func (c *heardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.at.Store(time.Now().UnixNano())
	}
	return n, err
}

// silentSince reports whether nothing arrived on conn after began.
func (l *link) silentSince(conn *jsonrpc2.Conn, began time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn == conn && l.heard != nil && l.heard.at.Load() < began.UnixNano()
}
