package upstream

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// PendingChecks keeps, for each incarnation of an upstream that is to be checked for a crash, the
// attempts that this daemon has ended there. It may be used by many goroutines.
type PendingChecks struct {
	mu    sync.Mutex
	byKey map[string][]pendingCheck
}

type pendingCheck struct {
	at        time.Time // when the attempt was ended
	ifCrashed func()
}

// CrashCheck checks an upstream for a crash.
type CrashCheck struct {
	// Look reports whether the upstream may have crashed. Otherwise ranAt is a time at which it ran.
	Look func() (ranAt time.Time, crashed bool)
	// Confirm calls all of ifCrashed if the upstream has crashed indeed.
	Confirm func(ifCrashed []func())
}

// NewPendingChecks returns PendingChecks without any check.
func NewPendingChecks() *PendingChecks { return &PendingChecks{byKey: map[string][]pendingCheck{}} }

// Add adds an attempt at u that was ended at the given time, and what to do if u crashes under it
// within AbandonedCheckDelay. The attempts at one upstream are checked together, with the CrashCheck of
// the first. An attempt is pending until the upstream has been seen to run AbandonedCheckDelay after its
// end: an earlier sight says nothing of a crash that follows.
func (p *PendingChecks) Add(u Announcement, at time.Time, ifCrashed func(), c CrashCheck) {
	key := fmt.Sprint(u.Address, "#", u.Incarnation)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byKey[key] = append(p.byKey[key], pendingCheck{at, ifCrashed})
	if len(p.byKey[key]) == 1 {
		p.checkAfter(time.Until(at.Add(AbandonedCheckDelay)), key, c)
	}
}

func (p *PendingChecks) checkAfter(delay time.Duration, key string, c CrashCheck) {
	time.AfterFunc(delay, func() {
		ranAt, crashed := c.Look()
		if crashed {
			c.Confirm(p.take(key))
		} else if oldest, ok := p.drop(key, ranAt.Add(-AbandonedCheckDelay)); ok {
			p.checkAfter(max(time.Until(oldest.Add(AbandonedCheckDelay)), AbandonedCheckDelay/2), key, c)
		}
	})
}

// take removes all attempts and returns what to do for them.
func (p *PendingChecks) take(key string) (ifCrashed []func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.byKey[key] {
		ifCrashed = append(ifCrashed, x.ifCrashed)
	}
	delete(p.byKey, key)
	return ifCrashed
}

// drop removes the attempts that were ended until the given time. It returns when the first of the
// others was ended, or false if there are none.
func (p *PendingChecks) drop(key string, until time.Time) (oldest time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rest := slices.DeleteFunc(p.byKey[key], func(x pendingCheck) bool { return !x.at.After(until) })
	if len(rest) == 0 {
		delete(p.byKey, key)
		return time.Time{}, false
	}
	p.byKey[key] = rest
	return rest[0].at, true
}
