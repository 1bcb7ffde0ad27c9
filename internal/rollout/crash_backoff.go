package rollout

import "time"

// Parameters of generating samples under which upstreams crashed.
const (
	// minCrashDelay is the delay after the first crash. It doubles with each further one, so
	// that a prompt waits about as long as the crashes have lasted.
	minCrashDelay = 200 * time.Millisecond
	// maxCrashDelay bounds how often a prompt that crashes every upstream does so.
	maxCrashDelay = 30 * time.Second
	// minAloneCrashes is the number of crashes from which the samples of a group run one
	// after the other, each alone on its upstream.
	minAloneCrashes = 2
	// survivalTime is the time for which such a sample must generate tokens before the other
	// samples of its group run beside it again.
	survivalTime = 3 * time.Second
)

// crashBackoff decides when the samples of a group may start after upstreams crashed under
// them. A sample is never given up: the crashes may have other causes than its prompt. It is
// a state machine without I/O.
type crashBackoff struct {
	groups map[int]*groupCrashes // groups without a completed sample since the latest crash
}

// groupCrashes is the state of a group.
type groupCrashes struct {
	upstreams    map[string]bool // incarnations that crashed
	notBefore    time.Time       // end of the delay
	survived     bool            // whether a sample has run for survivalTime since the latest crash
	aloneRunning bool            // whether a sample that was started alone still runs
}

// recordCrash records that an incarnation of an upstream crashed while it ran a sample of
// the group. Several samples may report the same crash.
func (b *crashBackoff) recordCrash(now time.Time, group int, incarnation string) {
	if b.groups == nil {
		b.groups = map[int]*groupCrashes{}
	}
	c := b.groups[group]
	if c == nil {
		c = &groupCrashes{upstreams: map[string]bool{}}
		b.groups[group] = c
	}
	if c.upstreams[incarnation] {
		return
	}
	c.upstreams[incarnation] = true
	c.survived = false
	delay := minCrashDelay
	for range len(c.upstreams) - 1 {
		delay = min(2*delay, maxCrashDelay)
	}
	c.notBefore = now.Add(delay)
}

// recordSurvival records that a sample of the group has run for survivalTime.
func (b *crashBackoff) recordSurvival(group int) {
	if c := b.groups[group]; c != nil {
		c.survived = true
	}
}

// recordCompletion forgets the crashes of a group, because one of its samples is complete.
func (b *crashBackoff) recordCompletion(group int) { delete(b.groups, group) }

// mayStart reports whether a sample of the group may start.
func (b *crashBackoff) mayStart(now time.Time, group int) bool {
	c := b.groups[group]
	if c == nil {
		return true
	}
	return !now.Before(c.notBefore) && (!c.suspect() || !c.aloneRunning)
}

// start records the start of a sample of the group. It reports whether the sample must run
// alone on its upstream; then endAlone must be called at its end.
func (b *crashBackoff) start(group int) (alone bool) {
	c := b.groups[group]
	if c == nil || !c.suspect() {
		return false
	}
	c.aloneRunning = true
	return true
}

// endAlone records the end of a sample that was started alone.
func (b *crashBackoff) endAlone(group int) {
	if c := b.groups[group]; c != nil {
		c.aloneRunning = false
	}
}

// suspect reports whether the group's prompt may be the cause of the crashes.
func (c *groupCrashes) suspect() bool {
	return len(c.upstreams) >= minAloneCrashes && !c.survived
}
