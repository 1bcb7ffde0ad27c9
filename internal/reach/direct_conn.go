package reach

import (
	"net"
	"time"
)

// directConn is a direct connection to an upstream.
type directConn struct {
	net.Conn
	paths *Paths
	path  *path
}

// Read implements net.Conn.
func (c *directConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.paths.hear(c.path, time.Now())
	}
	return n, err
}
