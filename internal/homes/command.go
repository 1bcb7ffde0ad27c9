package homes

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

const (
	// MinLevel is the level of the control log from which on daemons obey home regions, see
	// member.Level.
	MinLevel = 2
	// levelRetryAfter is the delay that a sender is told while a daemon of an older build is up.
	// Upgrading it takes longer, but the call is cheap.
	levelRetryAfter = 2 * time.Second
)

// CheckLevel returns NoQuorum if not all known daemons obey home regions. level is the level that
// all of them can read. Older daemons would send requests to any region.
func CheckLevel(level int) error {
	if level < MinLevel {
		return result.NewRetryAfter(result.NoQuorum, levelRetryAfter, "a daemon of an older build is up that does not obey home regions: level %d instead of %d", level, MinLevel)
	}
	return nil
}
