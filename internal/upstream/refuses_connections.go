package upstream

import (
	"net"
	"time"
)

// Timing of the detection of crashed upstreams.
const (
	// connectTimeout is many times the round-trip time within a region.
	connectTimeout = 250 * time.Millisecond
	// RestartCheckDelay is how long after a failure an upstream is checked again. It may
	// have crashed and been restarted at the same address.
	RestartCheckDelay = 1500 * time.Millisecond
	// AbandonedCheckDelay is how long after a daemon has ended a request itself its upstream is
	// checked. The upstream may work on it for that long.
	AbandonedCheckDelay = 500 * time.Millisecond
)

// RefusesConnections reports whether no TCP connection to address, an IP:port, can be
// opened.
func RefusesConnections(address string) bool {
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	if err == nil {
		c.Close()
	}
	return err != nil
}
