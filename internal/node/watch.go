package node

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// watch logs what the node begins and ceases to believe: that its configuration
// is the newest, and which upstreams are up.
type watch struct {
	n     *Node
	fresh bool
	known map[string]upstream.Announcement
}

func newWatch(n *Node) *watch { return &watch{n: n, known: map[string]upstream.Announcement{}} }

// look compares with the last look. Lines are bounded by the changes.
func (w *watch) look() {
	if fresh := w.n.follower.Fresh(); fresh != w.fresh {
		w.fresh = fresh
		version := w.n.follower.Config().Version
		if fresh {
			w.n.log.Info("Control group reached: the configuration is the newest.", "configuration", version)
		} else {
			w.n.log.Warn("Control group lost: the configuration may be old.", "configuration", version, "lease_ms", freshness.Milliseconds())
		}
	}
	now := map[string]upstream.Announcement{}
	for _, a := range w.n.directory.Known() {
		now[a.ID] = a
		old, ok := w.known[a.ID]
		switch {
		case !ok || old.Incarnation != a.Incarnation:
			w.report("Upstream is up.", a)
		case old.Silent != a.Silent && a.Silent:
			w.report("Upstream is silent.", a)
		case old.Silent != a.Silent:
			w.report("Upstream is heard again.", a)
		}
	}
	for id, a := range w.known {
		if _, ok := now[id]; !ok {
			w.report("Upstream is gone.", a)
		}
	}
	w.known = now
}

func (w *watch) report(what string, a upstream.Announcement) {
	w.n.log.Info(what, "upstream", a.ID, "service", a.Service, "address", a.Address, "incarnation", a.Incarnation, "seq", a.Seq, "models", a.Models,
		"up_s", int(time.Since(time.UnixMilli(a.Incarnation)).Seconds()))
}
