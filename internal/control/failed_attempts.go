package control

import (
	"fmt"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/result"
)

// maxListedAttempts bounds the attempts that a log line lists. They are more than the
// replicas of a group, so that the line shows each one's answer.
const maxListedAttempts = 12

// failedAttempts lists the attempts of a call that gave no final result, for its log line.
type failedAttempts struct {
	listed  []string
	omitted int
	last    time.Duration // end of the latest attempt, on the boot clock
}

func newFailedAttempts() *failedAttempts { return &failedAttempts{last: clock.Now()} }

// add records that the replica called at did not give a final result.
func (f *failedAttempts) add(at string, err error) {
	now := clock.Now()
	took := now - f.last
	f.last = now
	if len(f.listed) == maxListedAttempts {
		f.omitted++
		return
	}
	f.listed = append(f.listed, fmt.Sprintf("%s (%d ms): %s", at, took.Milliseconds(), result.From(err).Message))
}

func (f *failedAttempts) String() string {
	if len(f.listed) == 0 {
		return "none"
	}
	s := strings.Join(f.listed, "; ")
	if f.omitted > 0 {
		s += fmt.Sprintf("; and %d more", f.omitted)
	}
	return s
}
