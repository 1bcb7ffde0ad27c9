package control

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/state"
)

// A leader's wall clock that was wrong for a while, or is set right, must neither expire
// batch jobs nor their items: they were reported as aborted, or were lost, long before
// their time.
func TestBatchJobOutlivesStepsOfWallClock(t *testing.T) {
	for name, c := range map[string]struct{ atStart, step time.Duration }{
		"ahead": {0, time.Hour}, "back": {0, -time.Hour}, "set right": {time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := startSingleReplica(t, t.TempDir())
			setWallClock := func(offset time.Duration) {
				g.Expect(r.runInLoop(t.Context(), func() { r.wallClock = func() time.Time { return time.Now().Add(offset) } })).To(Succeed())
			}
			accept := func(id string) {
				b := state.Batch{ID: id, Account: "a", ItemTTL: 10 * time.Second, Retention: 20 * time.Second, Items: []state.BatchItem{{ID: "i"}}}
				_, err := r.Propose(t.Context(), ProposeRequest{Command: state.Command{BatchAccept: &state.BatchAccept{Batch: b}}})
				g.Expect(err).NotTo(HaveOccurred())
			}
			setWallClock(c.atStart)
			accept("first")
			setWallClock(c.step)
			accept("second")
			setWallClock(0)
			accept("third")
			open, err := r.OpenBatches(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(open).To(HaveLen(3))
			for _, o := range open {
				g.Expect(time.Since(o.Batch.Accepted)).To(BeNumerically("~", 0, 5*time.Second), o.Batch.ID)
			}
		})
	}
}

// startSingleReplica starts the only voter of a group, with a data folder in dir.
func startSingleReplica(t *testing.T, dir string) *Replica {
	g := NewWithT(t)
	const address = "127.0.0.1:1"
	_, err := Init(dir, "a", consensus.Membership{"a": {ID: "a", Address: address, Voter: true}}, "key")
	g.Expect(err).NotTo(HaveOccurred())
	client := peer.NewClient(peer.DialFrom(address))
	r, _, err := openReplica(osFolders, dir, address, client, log.New(io.Discard))
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = r.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-r.Done(); client.Close() })
	g.Eventually(func() bool { return r.Leadership().Valid() }, "10s").Should(BeTrue())
	return r
}

// The time of the group must neither run faster than real time nor go back, whichever
// replica leads and whatever its wall clock shows. It may only lose the time for which a
// replica that leads next did not run.
func TestGroupTimeRunsEvenlyOverLeaders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		const replicas = 3
		var elapsed, lastAt, lost time.Duration
		var clocks [replicas]groupClock
		boot := func(i int) time.Duration { return elapsed + time.Duration(i)*time.Hour }
		var start, last time.Time
		began := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			elapsed += time.Duration(rapid.IntRange(0, 5000).Draw(rt, "ms")) * time.Millisecond
			leader := rapid.IntRange(0, replicas-1).Draw(rt, "leader")
			if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 { // the leader starts again with its log alone
				down := time.Duration(rapid.IntRange(0, 10).Draw(rt, "down")) * time.Second
				elapsed += down
				lost += elapsed - lastAt
				clocks[leader] = groupClock{}.advanceTo(last, boot(leader))
			}
			wall := time.Unix(1_000_000, 0).Add(elapsed + time.Duration(rapid.IntRange(-3600, 3600).Draw(rt, "wall"))*time.Second)
			now := clocks[leader].now(boot(leader), wall)
			if start.IsZero() {
				start, began = now, elapsed
			}
			g.Expect(now).To(BeTemporally(">=", last))
			g.Expect(now.Sub(start)).To(BeNumerically("<=", elapsed-began))
			g.Expect(now.Sub(start)).To(BeNumerically(">=", elapsed-began-lost))
			last, lastAt = now, elapsed
			for i := range clocks { // applied everywhere
				clocks[i] = clocks[i].advanceTo(now, boot(i))
			}
		}
	})
}

// A replica that has started again, or has received a snapshot, continues from the time in
// its log or in the snapshot before it has applied anything, not from its wall clock.
func TestGroupTimeContinuesFromLogAndSnapshot(t *testing.T) {
	g := NewWithT(t)
	at := time.Unix(2_000_000, 0).UTC()
	b, err := state.Command{GroupTime: at, RetireMark: &state.RetireMark{Replica: "x"}}.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	expectTime := func(r *Replica) {
		g.Expect(r.groupClock.now(clock.Now(), time.Now())).To(BeTemporally("~", at, time.Minute))
	}
	openLearner := func(dir string) *Replica {
		client := peer.NewClient(peer.DialFrom("127.0.0.1:1"))
		t.Cleanup(client.Close)
		r, _, err := openReplica(osFolders, dir, "127.0.0.1:1", client, log.New(io.Discard))
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { r.disk.Close() })
		return r
	}
	restart := func(r *Replica, dir string) *Replica {
		g.Expect(r.disk.Close()).To(Succeed()) // what ends the ownership of a killed process
		return openLearner(dir)
	}

	dir := t.TempDir()
	g.Expect(InitLearner(dir, "cluster", "l")).To(Succeed())
	r := openLearner(dir)
	g.Expect(r.disk.Append(nil, []consensus.Entry{{Index: 1, Term: 1, Data: b}, {Index: 2, Term: 1, Kind: consensus.EntryNoop}})).To(Succeed())
	expectTime(restart(r, dir))

	st := state.New()
	st.Ledger.Time = at
	data, err := st.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	dir = t.TempDir()
	g.Expect(InitLearner(dir, "cluster", "l")).To(Succeed())
	r = openLearner(dir)
	g.Expect(r.installSnapshot(consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 5, Term: 1, Members: consensus.Membership{}}, Data: data})).To(Succeed())
	expectTime(r)
	expectTime(restart(r, dir))
}
