package control

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Guards against a leader that takes the time of several leaders, or of the whole log, for that of
// its predecessor, and so acts in turn with the one before.
func TestTimeOfTermBeforeLeader(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0).UTC() }
	type entry struct {
		term uint64
		time int // of a command; 0: the first entry of a term
	}
	for _, c := range []struct {
		name     string
		snapshot uint64 // its term; its last command is of time 1
		entries  []entry
		led      time.Duration
	}{
		{"whole term in the log", 2, []entry{{2, 2}, {3, 0}, {3, 4}, {3, 9}}, 5 * time.Second},
		{"first command on a clock that lags", 2, []entry{{2, 7}, {3, 0}, {3, 2}, {3, 9}}, 2 * time.Second},
		{"the last command of the snapshot may be of an earlier term", 3, []entry{{3, 4}, {3, 9}}, 5 * time.Second},
		{"new leader without a command", 2, []entry{{2, 2}, {2, 9}, {3, 0}}, 0},
		{"new leader with one command", 2, []entry{{2, 2}, {3, 0}, {3, 9}}, 0},
		{"only a snapshot", 3, nil, 0},
	} {
		g := NewWithT(t)
		times := termTimes{}.atSnapshot(consensus.SnapshotMeta{Term: c.snapshot}, at(1))
		for _, e := range c.entries {
			if times.entry(e.term); e.time != 0 {
				times.command(state.Command{GroupTime: at(e.time)})
			}
		}
		times.entry(4)
		g.Expect(times.predecessorLed).To(Equal(c.led), c.name)
	}
}

// termTimesReplica is what a replica of the model below knows.
type termTimesReplica struct {
	times   termTimes
	clock   groupClock
	applied int // number of entries
}

// termTimesModel is a log of random leaders, with the true times of their terms.
type termTimesModel struct {
	rt       *rapid.T
	elapsed  time.Duration
	term     uint64
	entries  []termTimesEntry
	replicas [3]termTimesReplica
	began    map[uint64]time.Duration
	last     map[uint64]time.Duration // newest proposal of a term
}

type termTimesEntry struct {
	term    uint64
	command *state.Command // nil: the first entry of a term
}

func (m *termTimesModel) number(a, b int, what string) int {
	return rapid.IntRange(a, b).Draw(m.rt, what)
}

func (m *termTimesModel) wait(most time.Duration) {
	m.elapsed += time.Duration(m.number(0, int(most/time.Millisecond), "ms")) * time.Millisecond
}

func (m *termTimesModel) boot(r int) time.Duration { return m.elapsed + time.Duration(r)*time.Hour }

// apply lets replica r apply the entries up to a number. A leader reads how long its predecessor
// led when it has applied the first entry of its term.
func (m *termTimesModel) apply(r, to, leader int) {
	p := &m.replicas[r]
	for ; p.applied < to; p.applied++ {
		e := m.entries[p.applied]
		p.times.entry(e.term)
		if e.command != nil {
			p.clock = p.clock.advanceTo(e.command.Time(), m.boot(r))
			p.times.command(*e.command)
			continue
		}
		if r != leader || e.term != m.term || p.applied == 0 {
			continue
		}
		before := m.entries[p.applied-1].term
		NewWithT(m.rt).Expect(p.times.predecessorLed).To(BeNumerically("<=", m.last[before]-m.began[before]))
	}
}

// snapshot returns the end of a snapshot of the first n entries, and the time of its last command.
func (m *termTimesModel) snapshot(n int) (consensus.SnapshotMeta, time.Time) {
	s, meta := state.New(), consensus.SnapshotMeta{}
	for _, e := range m.entries[:n] {
		if meta.Term = e.term; e.command != nil {
			s.Apply(*e.command)
		}
	}
	return meta, s.Ledger.Time
}

// A leader must never take its predecessor to have led for longer than it did, over ordinary elections,
// proposals before the entries of earlier leaders are applied, restarts and snapshots: it could then
// act in turn with the leader before that one.
func TestPredecessorNeverLedForLess(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &termTimesModel{rt: rt, began: map[uint64]time.Duration{}, last: map[uint64]time.Duration{}}
		leader := 0
		for range 100 {
			m.wait(3 * time.Second)
			r := m.number(0, len(m.replicas)-1, "replica")
			p := &m.replicas[r]
			most := 0 // entries that any replica has applied
			for _, p := range m.replicas {
				most = max(most, p.applied)
			}
			switch action := m.number(0, 15, "action"); {
			case action < 2 || m.term == 0: // r is elected; entries that none has applied may be lost
				m.entries = m.entries[:len(m.entries)-m.number(0, len(m.entries)-most, "lost")]
				leader = r
				m.term++
				m.began[m.term], m.last[m.term] = m.elapsed, m.elapsed
				m.entries = append(m.entries, termTimesEntry{term: m.term})
			case action == 2: // r restarts
				n := m.number(0, p.applied, "snapshot")
				end, newest := m.snapshot(n)
				m.wait(10 * time.Second)
				*p = termTimesReplica{termTimes{}.atSnapshot(end, newest), groupClock{}.advanceTo(newest, m.boot(r)), n}
				if r == leader {
					leader = -1
				}
			case action == 3 && r != leader: // r receives a snapshot
				if n := m.number(p.applied, most, "snapshot"); n > p.applied {
					end, newest := m.snapshot(n)
					p.times, p.clock, p.applied = p.times.atSnapshot(end, newest), p.clock.advanceTo(newest, m.boot(r)), n
				}
			case action < 10: // r applies
				m.apply(r, len(m.entries)-m.number(0, len(m.entries)-p.applied, "lag"), leader)
			case leader >= 0: // the leader proposes a command
				wall := time.Unix(1_000_000, 0).Add(m.elapsed + time.Duration(m.number(-100, 100, "wall"))*time.Second)
				c := &state.Command{At: wall}
				if m.term%4 != 0 { // otherwise it runs an older build
					c.GroupTime = m.replicas[leader].clock.now(m.boot(leader), time.Unix(1_000_000, 0).Add(m.elapsed))
				}
				m.entries = append(m.entries, termTimesEntry{m.term, c})
				m.last[m.term] = m.elapsed
			}
		}
	})
}

// Guards against a new leader that knows nothing of the leader before it, or counts the time in which
// none led: its loads of weights then wait for too long, or too short a time.
func TestLeaderKnowsHowLongItsPredecessorLed(t *testing.T) {
	g := NewWithT(t)
	const address = "127.0.0.1:1"
	dir := t.TempDir()
	_, err := Init(dir, "a", consensus.Membership{"a": {ID: "a", Address: address, Voter: true}}, "key")
	g.Expect(err).NotTo(HaveOccurred())
	run := func(use func(*Replica)) Leadership {
		client := peer.NewClient(peer.DialFrom(address))
		defer client.Close()
		r, _, err := openReplica(osFolders, dir, address, client, log.New(io.Discard))
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Run(ctx) }()
		defer func() { cancel(); <-r.Done() }()
		g.Eventually(func() bool { return r.Leadership().Valid() }, "10s").Should(BeTrue())
		use(r)
		return r.Leadership()
	}
	began := time.Now()
	var led time.Duration
	first := run(func(r *Replica) {
		for range 2 {
			_, err := r.Propose(t.Context(), ProposeRequest{Command: state.Command{RetireMark: &state.RetireMark{Replica: "x"}}})
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(200 * time.Millisecond)
		}
		led = time.Since(began)
	})
	g.Expect(first.PredecessorLed).To(BeZero())
	time.Sleep(300 * time.Millisecond)
	second := run(func(*Replica) {})
	g.Expect(second.PredecessorLed).To(BeNumerically("~", led/2, led/2))
	g.Expect(second.PredecessorLed).To(BeNumerically(">=", 200*time.Millisecond))
	g.Expect(second.Since).To(BeTemporally("~", time.Now(), 5*time.Second))
	g.Expect(run(func(*Replica) {}).PredecessorLed).To(BeZero(), "the second leader committed no command")
}
