package upstream

import (
	"net"
	"time"
)

// Finding out whether an upstream died.
const (
	// refuseTimeout is many times a round trip in a region.
	refuseTimeout = 250 * time.Millisecond
	// RestartCheck is how long after a failure an upstream is looked at again: it
	// may have died and been started under the same address.
	RestartCheckDelay = 1500 * time.Millisecond
)

// Refuses reports whether nobody accepts connections at address, an IP:port.
func RefusesConnections(address string) bool {
	c, err := net.DialTimeout("tcp", address, refuseTimeout)
	if err == nil {
		c.Close()
	}
	return err != nil
}
