package node

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/proxy"
	"github.com/apricotstream/apricotstream/internal/upstream"
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
	if upstream.RefusesConnections(a.To.Address) {
		s.n.quarantine.RecordCrash(fingerprint, a.To.ID, a.To.Incarnation)
		return
	}
	time.AfterFunc(upstream.RestartCheckDelay, func() {
		now, ok := s.n.directory.Get(a.To.ID)
		if upstream.RefusesConnections(a.To.Address) || ok && now.Incarnation > a.To.Incarnation {
			s.n.quarantine.RecordCrash(fingerprint, a.To.ID, a.To.Incarnation)
		}
	})
}
