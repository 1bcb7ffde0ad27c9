package control

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// Guards against a lost vote that is not replaced, or a change that is refused again and again,
// without a line in the log, or with ten lines a second.
func TestRepairThatIsHeldUpIsLoggedAtDoublingIntervals(t *testing.T) {
	g := NewWithT(t)
	x := newSimGroup(3)
	x.stop("r1", 0)
	x.start("r1b", 1)
	x.view.Members["r1b"] = consensus.Member{ID: "r1b", Address: "m1"}
	x.view.Match["r1b"], x.view.TakeoverIndex["r1"] = 7, simTakeoverIndex
	var out bytes.Buffer
	logger := log.New(&out)
	lines := func() int { return strings.Count(out.String(), "\n") }
	var d membershipDelays
	for at := time.Duration(0); at < 4*time.Second; at += reconcileInterval {
		d.logLostVotes(simEpoch.Add(at), x.view, logger)
	}
	g.Expect(lines()).To(Equal(3), "after 0.5, 1 and 2 s")
	g.Expect(out.String()).To(ContainSubstring("lost=r1 successor=r1b member=true answers=true must_hold=8 holds=7 commit=10 ms=500"))
	for at := time.Duration(0); at < 4*time.Second; at += reconcileInterval {
		d.logRefusal(simEpoch.Add(at), "change", errors.New("refused"), logger)
	}
	g.Expect(lines()).To(Equal(6))
	x.view.Members = x.view.without("r1")
	d.logLostVotes(simEpoch.Add(5*time.Second), x.view, logger)
	d.logRefusal(simEpoch.Add(5*time.Second), "change", errors.New("refused for another reason"), logger)
	g.Expect(lines()).To(Equal(6))
	g.Expect(d.lostVotes).To(BeEmpty())
}
