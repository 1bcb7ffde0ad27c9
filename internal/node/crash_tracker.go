package node

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/proxy"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// crashTracker implements proxy.CrashTracker with the quarantine that all daemons share.
type crashTracker struct{ n *Node }

// Blocked implements proxy.CrashTracker.
func (s crashTracker) Blocked(fingerprint string) bool {
	return s.n.quarantine.Record(fingerprint).Blocked()
}

// ConnectionLost implements proxy.CrashTracker. It counts a crash against the request if
// the upstream refuses connections, now or after upstream.RestartCheck, or has announced
// a newer incarnation by then. A lost connection to an upstream that still runs doesn't
// count.
func (s crashTracker) ConnectionLost(_ *proxy.Request, fingerprint string, a proxy.Attempt) {
	if upstream.RefusesConnections(a.To.Address) {
		s.n.quarantine.RecordCrash(fingerprint, a.To.ID, a.To.Incarnation)
		return
	}
	time.AfterFunc(upstream.RestartCheckDelay, func() {
		current, ok := s.n.directory.Get(a.To.ID)
		if upstream.RefusesConnections(a.To.Address) || ok && current.Incarnation > a.To.Incarnation {
			s.n.quarantine.RecordCrash(fingerprint, a.To.ID, a.To.Incarnation)
		}
	})
}
