package node

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/proxy"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// crashTracker implements proxy.CrashTracker with the quarantine that all daemons share.
type crashTracker struct{ n *Node }

// Blocked implements proxy.CrashTracker.
func (t crashTracker) Blocked(fingerprint string) bool {
	return t.n.quarantine.Record(fingerprint).Blocked()
}

// ConnectionLost implements proxy.CrashTracker. It counts a crash against the request if
// the upstream refuses connections of several daemons, now or after upstream.RestartCheckDelay, or has
// announced a newer incarnation by then. A lost connection to an upstream that still runs
// doesn't count.
func (t crashTracker) ConnectionLost(_ *proxy.Request, fingerprint string, a proxy.Attempt) {
	if t.n.dependencies.Links.RefusesConnections(a.To.Address) {
		t.n.quarantine.RecordCrash(fingerprint, a.To.ID, a.To.Incarnation)
		return
	}
	time.AfterFunc(upstream.RestartCheckDelay, func() {
		current, ok := t.n.directory.Get(a.To.ID)
		if t.n.dependencies.Links.RefusesConnections(a.To.Address) || ok && current.Incarnation > a.To.Incarnation {
			t.n.quarantine.RecordCrash(fingerprint, a.To.ID, a.To.Incarnation)
		}
	})
}
