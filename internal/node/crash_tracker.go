package node

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/proxy"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/reach"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// earlyCrashTime is the time from its first bytes in which a stream that crashes its upstream mostly
// does so. A later crash is weaker evidence, see quarantine.LateCrash.
const earlyCrashTime = time.Second

// Announcements of an upstream that refuses connections after its attempt was abandoned.
const (
	// crashedSilence is the silence after which an upstream that has announced itself since its
	// attempt was abandoned counts as crashed. Entries are told of heartbeats at least every 2 s. A
	// crash has to be counted within 3 s.
	crashedSilence = 2500 * time.Millisecond
	// announcementDelay is the longest time that a heartbeat takes to this daemon through another
	// one. An upstream that is heard of later, after it has refused connections, runs.
	announcementDelay = 500 * time.Millisecond
)

// While no other daemon can tell whether an upstream accepts connections, for example because all are
// slow, it is checked again after unknownRetryDelay, for unknownTime at most. A helper that failed is
// asked again after a second.
const (
	unknownRetryDelay = 500 * time.Millisecond
	unknownTime       = 5 * time.Second
)

var (
	earlyCrashes = metrics.NewCounter(`apricotstream_crashes_under_requests_total{late="false"}`)
	lateCrashes  = metrics.NewCounter(`apricotstream_crashes_under_requests_total{late="true"}`)
)

// crashTracker implements proxy.CrashTracker with the quarantine that all daemons share.
type crashTracker struct {
	n         *Node
	survivors *quarantine.Survivors
	abandoned *upstream.PendingChecks
}

func newCrashTracker(n *Node) crashTracker {
	return crashTracker{n, &quarantine.Survivors{}, upstream.NewPendingChecks()}
}

// Blocked implements proxy.CrashTracker. A request that this daemon has seen run without a crash is
// released.
func (t crashTracker) Blocked(fingerprint string) bool {
	if !t.n.quarantine.Record(fingerprint).Blocked() {
		return false
	}
	if t.survivors.Has(time.Now(), fingerprint) {
		t.release(fingerprint)
		return false
	}
	return true
}

// Survived implements proxy.CrashTracker. Crashes that were counted against the request had another
// cause.
func (t crashTracker) Survived(fingerprint string) {
	t.survivors.Add(time.Now(), fingerprint)
	if t.n.quarantine.Record(fingerprint).Crashed() {
		t.release(fingerprint)
	}
}

func (t crashTracker) release(fingerprint string) {
	if t.n.quarantine.Release(fingerprint) {
		t.n.log.Info("Request is no longer suspect: an upstream has run it without a crash.", "fingerprint", fingerprint)
	}
}

// ConnectionLost implements proxy.CrashTracker. It counts a crash against the request if
// the upstream refuses connections of several daemons, now or after upstream.RestartCheckDelay, or has
// been started again by then. A lost connection to an upstream that still runs
// doesn't count, nor does one to an upstream that was withdrawn, which ends as planned, or a request
// that has run without a crash.
func (t crashTracker) ConnectionLost(q *proxy.Request, fingerprint string, a proxy.Attempt) {
	if t.excused(fingerprint, a) {
		return
	}
	late, at := a.RanFor >= earlyCrashTime, time.Now()
	if t.n.dependencies.Links.RefusesConnections(a.To.Address) {
		t.count(q, fingerprint, a, late, at)
		return
	}
	t.countIfCrashed(q, fingerprint, a, late, at, upstream.RestartCheckDelay)
}

// countIfCrashed counts a crash after a delay if the upstream has crashed. While this is not known, it
// checks again.
func (t crashTracker) countIfCrashed(q *proxy.Request, fingerprint string, a proxy.Attempt, late bool, at time.Time, delay time.Duration) {
	time.AfterFunc(delay, func() {
		if t.excused(fingerprint, a) {
			return
		}
		switch r := t.reach(a); {
		case r == reach.Unreachable:
			t.count(q, fingerprint, a, late, at)
		case r == reach.Unknown && time.Since(at) < unknownTime:
			t.countIfCrashed(q, fingerprint, a, late, at, unknownRetryDelay)
		}
	})
}

// Abandoned implements proxy.CrashTracker. It counts a crash against the request, as a late one, if
// the upstream is found to have crashed later. An upstream that is heard is not connected to. One that is
// full may refuse connections too, so it has to refuse them twice and must no longer
// announce itself. That it has done so since the attempt is no proof: it may have crashed just after.
func (t crashTracker) Abandoned(q *proxy.Request, fingerprint string, a proxy.Attempt) {
	if t.excused(fingerprint, a) {
		return
	}
	at := time.Now()
	ifCrashed := func() {
		if !t.excused(fingerprint, a) {
			t.count(q, fingerprint, a, true, at)
		}
	}
	t.abandoned.Add(a.To, at, ifCrashed, upstream.CrashCheck{
		Look: func() (ranAt time.Time, crashed bool) {
			now := time.Now()
			heardSince := now.Add(-upstream.AbandonedCheckDelay / 2)
			if t.n.dependencies.Links.HeardSince(a.To.Address, heardSince) && !t.restarted(a) {
				return heardSince, false
			}
			r := t.reach(a)
			if r == reach.Unknown {
				return now.Add(-unknownTime), false
			}
			return now, r == reach.Unreachable
		},
		Confirm: func(count []func()) { t.confirmCrash(a, at, time.Now(), upstream.RestartCheckDelay, count) },
	})
}

// confirmCrash calls count after a delay if the upstream of an attempt that was abandoned at the given
// time, and that refused connections at refusedAt, still does and is silent. If it has announced itself
// since the attempt, it checks it again after crashedSilence.
func (t crashTracker) confirmCrash(a proxy.Attempt, abandonedAt, refusedAt time.Time, delay time.Duration, count []func()) {
	time.AfterFunc(delay, func() {
		switch r := t.reach(a); {
		case r == reach.Unknown && time.Since(refusedAt) < unknownTime:
			t.confirmCrash(a, abandonedAt, refusedAt, unknownRetryDelay, count)
			return
		case r != reach.Unreachable:
			return
		}
		heardAt := t.n.directory.HeardAt(a.To.ID, a.To.Incarnation)
		if !heardAt.Before(abandonedAt) && !t.restarted(a) {
			if heardAt.After(refusedAt.Add(announcementDelay)) {
				return
			}
			if silentAt := heardAt.Add(crashedSilence); time.Now().Before(silentAt) {
				t.confirmCrash(a, abandonedAt, refusedAt, time.Until(silentAt), count)
				return
			}
		}
		for _, c := range count {
			c()
		}
	})
}

// excused reports whether a crash of the upstream of an attempt would say nothing of the request.
func (t crashTracker) excused(fingerprint string, a proxy.Attempt) bool {
	return t.survivors.Has(time.Now(), fingerprint) || t.withdrawn(a)
}

// count records that the upstream of an attempt, which ended at the given time, has crashed under the
// request.
func (t crashTracker) count(q *proxy.Request, fingerprint string, a proxy.Attempt, late bool, at time.Time) {
	var r quarantine.Record
	if late {
		lateCrashes.Inc()
		r = t.n.quarantine.RecordLateCrash(fingerprint, a.To.ID, a.To.Incarnation, a.To.Zone, at)
	} else {
		earlyCrashes.Inc()
		r = t.n.quarantine.RecordCrash(fingerprint, a.To.ID, a.To.Incarnation)
	}
	t.n.log.Warn("Upstream has crashed under a request.", "request", q.ID, "fingerprint", fingerprint, "upstream", a.To.ID, "incarnation", a.To.Incarnation,
		"ran_ms", a.RanFor.Milliseconds(), "ms", time.Since(a.Began).Milliseconds(), "late", late, "crashes", len(r.Upstreams), "late_crashes", len(r.Late), "blocked", r.Blocked())
}

// reach returns whether the upstream of an attempt can be reached. One that was started again cannot.
func (t crashTracker) reach(a proxy.Attempt) reach.Reachability {
	if t.restarted(a) {
		return reach.Unreachable
	}
	return t.n.dependencies.Links.Reach(a.To.Address)
}

// restarted reports whether a newer incarnation of the upstream of an attempt is known, under its
// id or at its address.
func (t crashTracker) restarted(a proxy.Attempt) bool {
	for _, u := range t.n.directory.Listed() {
		if (u.ID == a.To.ID || u.Address == a.To.Address) && u.Incarnation > a.To.Incarnation {
			return true
		}
	}
	return false
}

// withdrawn reports whether the upstream of an attempt has announced that it leaves, or says so in
// its answers.
func (t crashTracker) withdrawn(a proxy.Attempt) bool {
	current, ok := t.n.directory.Get(a.To.ID)
	return ok && current.Leaving && current.Incarnation == a.To.Incarnation || t.n.directory.Left(a.To)
}
