package reach

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// Times of paths.
const (
	// initialProbeDelay is the time from the failure of a path to its first probe. It doubles
	// with each failure in a row, up to maxProbeDelay.
	initialProbeDelay = 250 * time.Millisecond
	maxProbeDelay     = 2 * time.Second
	// minSoundTime is how long the probes of a path must succeed before it is used again. It
	// doubles each time the path fails within flapWindow of its return, up to maxSoundTime.
	minSoundTime = 500 * time.Millisecond
	maxSoundTime = 4 * time.Second
	flapWindow   = 10 * time.Second
	// doubtTime is how long paths of which nothing was heard are doubted after the link of the
	// daemon has failed. Later they are tried like any other.
	doubtTime = 10 * time.Second
	// pathRetention is how long a path that is not used is remembered.
	pathRetention = 2 * time.Minute
	// soundProbeDelay is the time from a connection to the next probe of a path that has not
	// failed.
	soundProbeDelay = time.Second
	// minUnreached is the number of upstreams that cannot be reached, with none heard since,
	// from which on the daemon may have lost its links. A single upstream may have crashed.
	minUnreached = 2
)

// path is the direct way from this daemon to the address of one upstream.
type path struct {
	heard      atomic.Int64 // when bytes last arrived or a connection was opened, Unix nanoseconds
	usedAt     time.Time
	failedAt   time.Time // when it failed; zero: connections can be opened as far as known
	soundSince time.Time // the first of the probes that have succeeded since then; zero: none
	nextProbe  time.Time
	probeDelay time.Duration
	probing    bool
	unreached  bool      // the newest direct connection could not be opened
	relaying   bool      // another daemon has reached the upstream since it failed
	returnedAt time.Time // when it was last used again after a failure
	soundTime  time.Duration
}

// Paths is what one daemon knows of its direct paths to upstreams. It does no I/O and takes no
// locks, except that heard may be set at any time; the caller passes in the time and serializes
// the calls.
type Paths struct {
	byAddress map[string]*path
	// doubtSince is when the last attempt was made that failed although another daemon reaches
	// the upstream: this daemon's own link failed. Paths of which nothing was heard since are
	// not trusted.
	doubtSince    time.Time
	unreached     map[string]bool // addresses that failed since anything was heard directly
	unreachedFrom time.Time       // when the first of them failed
	heard         atomic.Int64    // when anything was heard directly, Unix nanoseconds
	prunedAt      time.Time
}

// NewPaths returns Paths without any failure.
func NewPaths() *Paths { return &Paths{byAddress: map[string]*path{}, unreached: map[string]bool{}} }

// get returns the path to address, and creates it if necessary.
func (p *Paths) get(now time.Time, address string) *path {
	x := p.byAddress[address]
	if x == nil {
		x = &path{soundTime: minSoundTime}
		p.byAddress[address] = x
	}
	x.usedAt = now
	if now.Sub(p.prunedAt) >= pathRetention {
		p.prune(now)
	}
	return x
}

func (p *Paths) prune(now time.Time) {
	p.prunedAt = now
	for address, x := range p.byAddress {
		if now.Sub(x.usedAt) >= pathRetention {
			delete(p.byAddress, address)
			delete(p.unreached, address)
		}
	}
}

// Relayed reports whether connections to address should go through another daemon, and whether
// the direct path should be probed now. The caller must report the end of the probe.
func (p *Paths) Relayed(now time.Time, address string) (relayed, probe bool) {
	x := p.get(now, address)
	if x.failedAt.IsZero() && !p.doubtful(now, x) {
		return false, false
	}
	probe = !x.probing && !now.Before(x.nextProbe)
	x.probing = x.probing || probe
	return true, probe
}

// BeginProbe reports whether the path to address, of which nothing was heard since the given
// time, should be probed now. The caller must report the end of the probe.
func (p *Paths) BeginProbe(now time.Time, address string, since time.Time) bool {
	x := p.get(now, address)
	if x.probing || !x.failedAt.IsZero() || x.heardSince(since) || now.Before(x.nextProbe) {
		return false
	}
	x.probing = true
	return true
}

// doubtful reports whether nothing was heard on the path since the link of this daemon came
// into doubt.
func (p *Paths) doubtful(now time.Time, x *path) bool {
	return !p.doubtSince.IsZero() && now.Sub(p.doubtSince) < doubtTime && !x.heardSince(p.doubtSince)
}

func (x *path) heardSince(t time.Time) bool { return x.heard.Load() >= t.UnixNano() }

// hear records that something was heard on the path. It may be called at any time.
func (p *Paths) hear(x *path, now time.Time) {
	x.heard.Store(now.UnixNano())
	p.heard.Store(now.UnixNano())
}

// HeardSince reports whether the upstream at address was heard directly since t.
func (p *Paths) HeardSince(now time.Time, address string, t time.Time) bool {
	return p.get(now, address).heardSince(t)
}

// Connected records that a direct connection to address was opened. It reports whether a path
// that had failed is used again.
func (p *Paths) Connected(now time.Time, address string) (returned bool) {
	x := p.get(now, address)
	p.hear(x, now)
	x.probing, x.unreached = false, false
	if x.failedAt.IsZero() {
		x.probeDelay, x.nextProbe = 0, now.Add(soundProbeDelay)
		return false
	}
	if x.soundSince.IsZero() {
		x.soundSince = now
	}
	x.probeDelay, x.nextProbe = 0, now.Add(initialProbeDelay)
	if now.Sub(x.soundSince) < x.soundTime {
		return false
	}
	x.failedAt, x.soundSince, x.returnedAt = time.Time{}, time.Time{}, now
	return true
}

// Failed records that no direct connection to address could be opened. It reports whether the
// path was believed to be sound.
func (p *Paths) Failed(now time.Time, address string) (changed bool) {
	x := p.get(now, address)
	x.probing, x.soundSince, x.unreached = false, time.Time{}, true
	x.probeDelay = min(max(2*x.probeDelay, initialProbeDelay), maxProbeDelay)
	x.nextProbe = now.Add(x.probeDelay)
	if p.heard.Load() >= p.unreachedFrom.UnixNano() {
		clear(p.unreached)
		p.unreachedFrom = now
	}
	p.unreached[address] = true
	if !x.failedAt.IsZero() {
		return false
	}
	x.failedAt, x.relaying = now, false
	if !x.returnedAt.IsZero() && now.Sub(x.returnedAt) < flapWindow {
		x.soundTime = min(2*x.soundTime, maxSoundTime)
	} else {
		x.soundTime = minSoundTime
	}
	return true
}

// Relaying records that another daemon reaches the upstream at address, which it was asked for at
// since. If the direct path has failed, the link of this daemon is to blame. It reports whether
// this was not known before.
func (p *Paths) Relaying(now time.Time, address string, since time.Time) (changed bool) {
	x := p.get(now, address)
	if x.failedAt.IsZero() || x.relaying || x.heardSince(since) {
		return false
	}
	x.relaying, p.doubtSince = true, since
	return true
}

// Down records that another daemon does not reach the upstream at address either: the path is
// not to blame.
func (p *Paths) Down(now time.Time, address string) {
	x := p.get(now, address)
	x.failedAt, x.soundSince = time.Time{}, time.Time{}
}

// Unreached returns the addresses that could not be reached if the daemon may have lost its links:
// several could not, and nothing was heard of any upstream directly since. Otherwise it returns
// nil.
func (p *Paths) Unreached() []string {
	if len(p.unreached) < minUnreached || p.heard.Load() >= p.unreachedFrom.UnixNano() {
		return nil
	}
	return slices.Collect(maps.Keys(p.unreached))
}

// FailedJustNow reports whether the newest direct connection to address could not be opened, and
// the path need not be probed again yet.
func (p *Paths) FailedJustNow(now time.Time, address string) bool {
	x := p.get(now, address)
	return x.unreached && now.Before(x.nextProbe)
}
