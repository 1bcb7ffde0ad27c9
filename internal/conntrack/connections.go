// Package conntrack knows the open connections of an HTTP server, so that a
// graceful shutdown cuts off no request.
package conntrack

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Connections knows the callers' connections and since when each has carried no
// request. The library's own shutdown closes idle ones at once, just as the next
// request may be on its way.
type Connections struct {
	mu    sync.Mutex
	quiet map[net.Conn]time.Time // zero while a request runs
}

// New returns an empty Connections.
func New() *Connections {
	return &Connections{quiet: map[net.Conn]time.Time{}}
}

// Track is the server's ConnState hook.
func (c *Connections) Track(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		c.quiet[conn] = time.Now()
	case http.StateActive:
		c.quiet[conn] = time.Time{}
	default:
		delete(c.quiet, conn)
	}
}

// CloseQuiet closes the connections that have carried no request for at least
// grace and returns how many others are open.
func (c *Connections) CloseIdle(now time.Time, grace time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.quiet {
		if !since.IsZero() && now.Sub(since) >= grace {
			conn.Close()
			delete(c.quiet, conn)
		}
	}
	return len(c.quiet)
}
