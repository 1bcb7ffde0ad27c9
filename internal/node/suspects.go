package node

import (
	"net"
	"time"

	"github.com/apricotstream/apricotstream/internal/proxy"
)

// Finding out whether an upstream died of a request.
const (
	probeTimeout = 250 * time.Millisecond
	// restartCheck is when the upstream is looked at again: it may have died and
	// been started again.
	restartCheck = 1500 * time.Millisecond
)

// suspects implements proxy.Suspects over the shared quarantine.
type suspects struct{ n *Node }

// Blocked implements proxy.Suspects.
func (s suspects) Blocked(fingerprint string) bool {
	return s.n.quarantine.Record(fingerprint).Blocked()
}

// Failed implements proxy.Suspects: an upstream that refuses connections after
// it broke off has died; one that lives on proves nothing against the request.
func (s suspects) Failed(_ *proxy.Request, fingerprint string, a proxy.Attempt) {
	if refuses(a.To.Address) {
		s.n.quarantine.Died(fingerprint, a.To.ID, a.To.Incarnation)
		return
	}
	time.AfterFunc(restartCheck, func() {
		now, ok := s.n.directory.Get(a.To.ID)
		if refuses(a.To.Address) || ok && now.Incarnation > a.To.Incarnation {
			s.n.quarantine.Died(fingerprint, a.To.ID, a.To.Incarnation)
		}
	})
}

// refuses reports whether nobody listens at address.
func refuses(address string) bool {
	c, err := net.DialTimeout("tcp", address, probeTimeout)
	if err == nil {
		c.Close()
	}
	return err != nil
}
