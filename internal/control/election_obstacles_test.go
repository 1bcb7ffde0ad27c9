package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a log line for each heartbeat or request, and against counts that are lost
// between two lines or when the folder is opened again.
func TestElectionObstaclesAreLoggedOnceAnInterval(t *testing.T) {
	g := NewWithT(t)
	l := obstacleLog{}
	logged := 0
	for ms := range 5000 {
		logged += l.due(10*ms, time.Duration(ms+1)*time.Millisecond)
	}
	g.Expect(logged).To(Equal(40010), "five lines, the first one at 2 ms")
	g.Expect(l.due(3, time.Hour)).To(Equal(3), "a new count that starts at 0")
}
