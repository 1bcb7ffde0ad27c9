package control

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

var seriesSeeds = flag.Uint64("group.series", 4, "number of seeds, for each number of voters, of the schedules with machines that are replaced in series")

// Timing of the schedules in which machines are replaced in series.
const (
	seriesRounds     = 6 // at least
	seriesMoreRounds = 3 // at most
	seriesLongPace   = 8500 * time.Millisecond
	seriesLate       = 300 * time.Millisecond // longest time by which a loss comes later than allowed
	seriesOverlap    = 3 * time.Second        // longest time for which a machine runs beside its successor
	seriesRecovery   = 12 * time.Second       // the group has a leader this long after all machines are back
	seriesCutOff     = 2 * consensus.DefaultElectionTimeout
)

// simSeries is how machines are replaced in series.
type simSeries struct {
	halfway    string        // what happens halfway from one loss to the next
	pace       time.Duration // shortest time from the start of the last successor to the next loss
	overlaps   bool          // successors start before the old machines go
	leaderGoes bool          // in each round, the leader's machine is one of those that go
	oneZone    bool
}

// seriesHalfway are the disturbances from one loss to the next. What was down or cut off counts
// as lost until the repair time after its return.
var seriesHalfway = map[string]func(s *simDeployment){
	"nothing": func(*simDeployment) {},
	"leader killed": func(s *simDeployment) {
		if l := s.leader(); l != nil {
			l.machine.crash()
			s.after(simKilled, func() {
				l.machine.boot()
				s.restartRepairTime()
			})
		}
	},
	"leader cut off": func(s *simDeployment) {
		if l := s.leader(); l != nil {
			s.side = map[*simMachine]int{l.machine: 1}
			s.after(seriesCutOff, func() {
				s.side = nil
				s.restartRepairTime()
			})
		}
	},
	"all killed": func(s *simDeployment) {
		s.kill(nil)
		s.listings = nil
		s.after(simKilled, s.restartRepairTime)
	},
}

// restartRepairTime lets the repair of what is not repaired yet take its full time from now on.
func (s *simDeployment) restartRepairTime() {
	for _, l := range s.losses {
		if !s.repaired(l) {
			l.back = s.now
		}
	}
}

// replaceAfterStart starts the successor of m, at another address, before m goes.
func (s *simDeployment) replaceAfterStart(m *simMachine) {
	next, loss := s.addMachine(), &simLoss{}
	next.zone = m.zone
	s.losses = append(s.losses, loss)
	s.logf("%s starts beside %s", next.address, m.address)
	next.boot()
	s.after(s.between(simProbe, seriesOverlap), func() {
		s.logf("%s goes", m.address)
		m.leave()
		next.loss, loss.back = loss, s.now
	})
}

// seriesVictims returns the machines that go next.
func (s *simDeployment) seriesVictims(v simSeries) []*simMachine {
	var out []*simMachine
	for _, i := range s.rnd.Perm(len(s.machines)) {
		if m := s.machines[i]; !m.gone && (!v.oneZone || m.zone == s.machines[0].zone) {
			out = append(out, m)
		}
	}
	if l := s.leader(); v.leaderGoes && l != nil {
		out = append([]*simMachine{l.machine}, slices.DeleteFunc(out, func(m *simMachine) bool { return m == l.machine })...)
	}
	return out[:min(s.maxLost, len(out))]
}

// unfinishedRepair describes a group that does not survive as many further losses as may come
// now. It returns "" if the voters that run are a quorum after any of them.
func (s *simDeployment) unfinishedRepair() string {
	runs := map[consensus.ID]bool{}
	var newest consensus.Status
	for _, p := range s.running() {
		runs[p.id] = true
		if st := p.node.Status(); newest.ID == "" || st.LastIndex > newest.LastIndex {
			newest = st
		}
	}
	if l := s.leader(); l != nil {
		newest = l.node.Status()
	}
	var voters, learners, gone, outside []string
	running := 0
	for _, id := range newest.Members.IDs() {
		switch {
		case !newest.Members.IsVoter(id):
			learners = append(learners, string(id))
		case runs[id]:
			running++
			fallthrough
		default:
			voters = append(voters, string(id))
		}
		if !runs[id] {
			gone = append(gone, string(id))
		}
	}
	if running-s.maxLost >= newest.Members.Quorum() {
		return ""
	}
	for _, m := range s.machines {
		if p := m.process; p != nil && newest.Members[p.id].ID == "" {
			outside = append(outside, string(p.id))
		} else if m.joining {
			outside = append(outside, m.address+" (joining)")
		}
	}
	return fmt.Sprintf("%d of %d voters run, and %d more may go now: voters %v, learners %v, of which gone %v; outside %v; leader %q",
		running, len(voters), s.maxLost, voters, learners, gone, outside, newest.Leader)
}

// playSeries replaces the tolerated number of machines by machines at new addresses in each
// round, and the next ones as soon as that is allowed. The final fault follows the last round.
func (s *simDeployment) playSeries(v simSeries) {
	s.namesAll, s.recovery = true, seriesRecovery
	formed := func() bool { return s.votersNow() == s.voters && s.acked > InitialIndex }
	if !s.runUntil(simWarmUp, formed) {
		s.fail("no group within %v", simWarmUp)
		return
	}
	s.run(s.now + s.between(0, 2*time.Second))
	unfinished := ""
	for round := range seriesRounds + s.rnd.IntN(seriesMoreRounds+1) {
		s.logf("round %d", round+1)
		for _, m := range s.seriesVictims(v) {
			if v.overlaps {
				s.replaceAfterStart(m)
			} else {
				s.replace(m).zone = m.zone
			}
		}
		allRun := func() bool { return !slices.ContainsFunc(s.losses, func(l *simLoss) bool { return l.back == 0 }) }
		if !s.runUntil(s.now+2*simRestart+seriesOverlap, allRun) {
			s.fail("a successor did not start")
			return
		}
		began := s.now
		s.run(began + v.pace/2)
		seriesHalfway[v.halfway](s)
		allowed := func() bool { return s.now >= began+v.pace && s.mayLose(s.maxLost) && s.side == nil }
		if !s.runUntil(s.now+simLongestRun/3, allowed) {
			s.fail("a machine did not come back")
			return
		}
		s.run(s.now + s.between(0, seriesLate))
		if found := s.unfinishedRepair(); found != "" && unfinished == "" {
			unfinished = fmt.Sprintf("the repair of round %d has not ended in time: %s", round+1, found)
			s.logf("%s", unfinished)
		}
	}
	s.finalFault()
	if unfinished != "" {
		s.failure = strings.TrimSuffix(unfinished+"; in the end: "+s.failure, "; in the end: ")
	}
}

// seriesShapes are the ways in which machines are replaced.
var seriesShapes = []simSeries{{}, {overlaps: true}, {leaderGoes: true}, {oneZone: true}, {overlaps: true, leaderGoes: true}, {overlaps: true, oneZone: true}}

// newSeries returns how machines are replaced. All shapes occur with all disturbances in as
// many seeds in series as there are pairs of them.
func (s *simDeployment) newSeries(seed uint64) simSeries {
	halfway, n := slices.Sorted(maps.Keys(seriesHalfway)), int(seed)
	v := seriesShapes[(n+n/len(halfway)+s.voters)%len(seriesShapes)]
	v.halfway, v.pace = halfway[n%len(halfway)], s.repair
	if v.halfway == "all killed" && s.rnd.IntN(2) == 0 {
		v.pace = seriesLongPace
	}
	return v
}

// Guards against a group that is lost for good because its machines were replaced one after the
// other: members that are gone took the room of the successors, which stayed outside.
func TestMachinesReplacedInSeriesKeepTheirVotes(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for seed := *groupFirst; seed < *groupFirst+*seriesSeeds; seed++ {
			t.Run(fmt.Sprintf("%d voters/%d", voters, seed), func(t *testing.T) {
				t.Parallel()
				s := newSpareless(seed, voters)
				v := s.newSeries(seed)
				s.playSeries(v)
				if *groupTrace && s.failure != "" {
					t.Log(strings.Join(s.trace, "\n"))
				}
				NewWithT(t).Expect(s.failure).To(BeEmpty(), "%+v", v)
			})
		}
	}
}
