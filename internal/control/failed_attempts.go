package control

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
)

// maxListedAttempts bounds the attempts that a log line lists. They are more than the
// replicas of a group, so that the line shows each one's answer.
const maxListedAttempts = 12

// maxAnswers bounds the replicas whose newest answers the line on a rejected request has.
const maxAnswers = 8

// failedAttempts lists the attempts of a call that gave no final result, for its log line.
type failedAttempts struct {
	listed  []string
	omitted int
	last    time.Duration     // end of the latest attempt, on the boot clock
	asked   []string          // the first replicas that were called, at most maxAnswers
	newest  map[string]string // the newest answer of each of them
}

func newFailedAttempts() *failedAttempts {
	return &failedAttempts{last: clock.Now(), newest: map[string]string{}}
}

// add records that the replica called at did not give a final result.
func (f *failedAttempts) add(at string, err error) {
	now := clock.Now()
	took := now - f.last
	f.last = now
	f.addAnswer(at, err)
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

// addAnswer keeps the newest answer of each replica. A daemon without one may be among the seeds.
func (f *failedAttempts) addAnswer(at string, err error) {
	if result.CodeOf(err) == result.NotReplica {
		return
	}
	if _, ok := f.newest[at]; !ok {
		if len(f.asked) == maxAnswers {
			return
		}
		f.asked = append(f.asked, at)
	}
	f.newest[at] = strings.TrimPrefix(result.From(err).Message, noLeaderKnown+": ")
	if errors.Is(err, peer.ErrUnreachable) {
		f.newest[at] = "unreachable"
	}
}

// newestAnswers returns the newest answer of each replica that was called, or "none".
func (f *failedAttempts) newestAnswers() string {
	if len(f.asked) == 0 {
		return "none"
	}
	answers := make([]string, len(f.asked))
	for i, at := range f.asked {
		answers[i] = at + ": " + f.newest[at]
	}
	return strings.Join(answers, "; ")
}
