package node

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// statusLogger logs changes in what the node knows: whether its configuration is the
// newest, and which upstreams are up.
type statusLogger struct {
	n     *Node
	fresh bool
	known map[string]upstream.Announcement // by ID
	steps clock.Steps
}

func newStatusLogger(n *Node) *statusLogger {
	return &statusLogger{n: n, known: map[string]upstream.Announcement{}}
}

// logChanges logs steps of the wall clock and what has changed since the last call. It
// writes one line for each change.
func (l *statusLogger) logChanges() {
	if step := l.steps.Observe(time.Now(), clock.Now()); step != 0 {
		l.n.log.Warn("Wall clock has stepped.", "ms", step.Milliseconds())
	}
	if fresh := l.n.follower.Fresh(); fresh != l.fresh {
		l.fresh = fresh
		version := l.n.follower.Config().Version
		if fresh {
			l.n.log.Info("Control group reached: the configuration is the newest.", "configuration", version)
		} else {
			l.n.log.Warn("Control group lost: the configuration may be outdated.", "configuration", version, "lease_ms", freshnessLease.Milliseconds())
		}
	}
	current := map[string]upstream.Announcement{}
	for _, a := range l.n.directory.Listed() {
		current[a.ID] = a
		previous, ok := l.known[a.ID]
		switch {
		case !ok || previous.Incarnation != a.Incarnation:
			l.logUpstream("Upstream is up.", a)
		case previous.Software != a.Software:
			l.logUpstream("Upstream announces another software version.", a)
		case previous.Silent != a.Silent && a.Silent:
			l.logUpstream("Upstream is silent.", a)
		case previous.Silent != a.Silent:
			l.logUpstream("Upstream sends heartbeats again.", a)
		}
	}
	for id, a := range l.known {
		if _, ok := current[id]; !ok {
			l.logUpstream("Upstream was removed.", a)
		}
	}
	l.known = current
}

func (l *statusLogger) logUpstream(message string, a upstream.Announcement) {
	l.n.log.Info(message, "upstream", a.ID, "service", a.Service, "address", a.Address, "incarnation", a.Incarnation, "seq", a.Seq, "models", a.Models, "software", a.Software,
		"up_s", int(time.Since(time.UnixMilli(a.Incarnation)).Seconds()))
}

// statusFields returns the sizes that grow with the deployment and its work.
func (n *Node) statusFields(ctx context.Context) []any {
	fields := []any{"daemons", len(n.gossip.Live()), "upstreams", len(n.directory.Listed()), "peer_connections", n.client.Connections()}
	if n.replica == nil {
		return fields
	}
	size, err := n.replica.Size(ctx)
	if err != nil {
		return fields // the loop does not run; its own lines say why
	}
	return append(fields, "log_entries", size.LogEntries, "log_kb", size.LogBytes>>10, "snapshot_kb", size.SnapshotBytes>>10, "batches", size.Batches, "text_kb", size.TextBytes>>10, "retained_kb", size.RetainedBytes>>10)
}
