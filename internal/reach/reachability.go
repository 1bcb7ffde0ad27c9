package reach

import (
	"context"
	"errors"
)

// Reachability is whether an upstream accepts connections.
type Reachability int

const (
	// Unknown means that this daemon has no connection and no other daemon can tell.
	Unknown Reachability = iota
	// Reachable means that this daemon or another one gets a connection.
	Reachable
	// Unreachable means that neither this daemon nor another one gets a connection. A daemon without
	// others judges alone.
	Unreachable
)

// Reach tries to connect to the upstream at address, directly and through another daemon.
func (l *Links) Reach(address string) Reachability {
	if !l.hasOthers() {
		if l.probe(address) {
			return Reachable
		}
		return Unreachable
	}
	c, err := l.Dial(context.Background(), "tcp", address)
	if err == nil {
		c.Close()
		return Reachable
	}
	c, _, err = l.dialHelpers(context.Background(), address, l.deployment.Region)
	switch {
	case err == nil:
		c.Close()
		l.log.Warn("Another daemon reaches an upstream that this one does not: it has not crashed.", "address", address)
		return Reachable
	case errors.Is(err, errUnreachable):
		return Unreachable
	}
	return Unknown
}
