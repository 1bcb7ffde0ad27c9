// Package conntrack tracks the open connections of an HTTP server, so that a graceful
// shutdown interrupts no request.
package conntrack

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Connections tracks the callers' connections and since when each one has been idle. It is
// used because http.Server.Shutdown closes idle connections at once, although the next
// request may already be in flight. It is safe for concurrent use.
type Connections struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time // zero while a request is in progress
}

// New returns an empty Connections.
func New() *Connections {
	return &Connections{idleSince: map[net.Conn]time.Time{}}
}

// Track records a change of state of conn. It is the ConnState hook of an http.Server.
func (c *Connections) Track(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		c.idleSince[conn] = time.Now()
	case http.StateActive:
		c.idleSince[conn] = time.Time{}
	default:
		delete(c.idleSince, conn)
	}
}

// Active returns the number of connections with a request in progress.
func (c *Connections) Active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, since := range c.idleSince {
		if since.IsZero() {
			n++
		}
	}
	return n
}

// CloseIdle closes the connections that have been idle for at least grace and returns how
// many other connections are open.
func (c *Connections) CloseIdle(now time.Time, grace time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if !since.IsZero() && now.Sub(since) >= grace {
			conn.Close()
			delete(c.idleSince, conn)
		}
	}
	return len(c.idleSince)
}
