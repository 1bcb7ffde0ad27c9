package node

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// statusLogger logs changes in what the node knows: whether its configuration is the
// newest, and which upstreams are up.
type statusLogger struct {
	n     *Node
	fresh bool
	known map[string]upstream.Announcement // by ID
}

func newStatusLogger(n *Node) *statusLogger {
	return &statusLogger{n: n, known: map[string]upstream.Announcement{}}
}

// logChanges logs what has changed since the last call. It writes one line for each change.
func (w *statusLogger) logChanges() {
	if fresh := w.n.follower.Fresh(); fresh != w.fresh {
		w.fresh = fresh
		version := w.n.follower.Config().Version
		if fresh {
			w.n.log.Info("Control group reached: the configuration is the newest.", "configuration", version)
		} else {
			w.n.log.Warn("Control group lost: the configuration may be outdated.", "configuration", version, "lease_ms", freshnessLease.Milliseconds())
		}
	}
	current := map[string]upstream.Announcement{}
	for _, a := range w.n.directory.Known() {
		current[a.ID] = a
		previous, ok := w.known[a.ID]
		switch {
		case !ok || previous.Incarnation != a.Incarnation:
			w.logUpstream("Upstream is up.", a)
		case previous.Silent != a.Silent && a.Silent:
			w.logUpstream("Upstream is silent.", a)
		case previous.Silent != a.Silent:
			w.logUpstream("Upstream sends heartbeats again.", a)
		}
	}
	for id, a := range w.known {
		if _, ok := current[id]; !ok {
			w.logUpstream("Upstream was removed.", a)
		}
	}
	w.known = current
}

func (w *statusLogger) logUpstream(message string, a upstream.Announcement) {
	w.n.log.Info(message, "upstream", a.ID, "service", a.Service, "address", a.Address, "incarnation", a.Incarnation, "seq", a.Seq, "models", a.Models,
		"up_s", int(time.Since(time.UnixMilli(a.Incarnation)).Seconds()))
}
