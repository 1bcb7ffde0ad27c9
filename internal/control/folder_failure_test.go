package control

import (
	"context"
	"io"
	"maps"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// A failed write must not end the replica. Guards against a process that ends by itself on
// a day with a full disk, which takes the spare of a quorum of three voters.
func TestReplicaSurvivesFailedWrite(t *testing.T) {
	g := NewWithT(t)
	r, _ := newFaultyReplica(t, freeAddress(t), false)
	ended := run(t, r)
	g.Eventually(func() bool { return r.Leadership().Valid() }, 10*time.Second).Should(BeTrue())
	g.Expect(r.runInLoop(t.Context(), func() { r.disk.Close() })).To(Succeed()) // the next write fails
	g.Eventually(func() error { return proposeVersion(t.Context(), r, 1) }, 10*time.Second).Should(Succeed())
	g.Consistently(ended, 100*time.Millisecond).ShouldNot(Receive())
}

// The disk of each replica in turn, the leader first, refuses writes for longer than the
// others need to elect a leader. Guards against a lost acknowledgement, a replica that
// still leads or votes with a failed disk, and one that does not come back by itself.
func TestGroupSurvivesFullDisks(t *testing.T) {
	g := NewWithT(t)
	group := startFaultyGroup(t, 3)
	version := uint64(0)
	for range 3 {
		r := group.leader(g)
		folder := group.folders[r.address]
		version++
		g.Expect(group.propose(t.Context(), r, version)).To(Succeed())
		folder.full.Store(true)
		version++
		g.Expect(group.propose(t.Context(), r, version)).To(Succeed())
		g.Eventually(r.Available, 5*time.Second).Should(BeFalse())
		g.Expect(r.Leadership().Valid()).To(BeFalse())
		g.Expect(r.Status().Role).To(Equal(consensus.Follower))
		stored := r.Status().Term
		g.Consistently(func() uint64 { return r.Status().Term }, time.Second).Should(Equal(stored))
		version++
		g.Expect(group.propose(t.Context(), r, version)).To(Succeed())
		folder.full.Store(false)
		checks := folder.checks.Load()
		g.Eventually(r.Available, time.Minute).Should(BeTrue())
		g.Expect(folder.checks.Load()-checks).To(BeNumerically("<=", 2), "it comes back at the first look at a disk that works, maxReopenDelay after the last one")
		for _, x := range group.replicas {
			g.Eventually(func() uint64 { return x.config.Load().ModelVersions["m"] }, 5*time.Second).Should(Equal(version), x.address)
		}
	}
}

// The disk of the leader hangs. Guards against a leader that stays one, and that makes its
// own process wait for it with each call.
func TestGroupReplacesLeaderWhoseDiskHangs(t *testing.T) {
	g := NewWithT(t)
	group := startFaultyGroup(t, 3)
	r := group.leader(g)
	folder := group.folders[r.address]
	folder.frozen.Lock()
	err := group.propose(t.Context(), r, 1)
	g.Eventually(r.Available, stalledAfter+time.Second).Should(BeFalse())
	g.Expect(r.Leadership().Valid()).To(BeFalse())
	began := time.Now()
	_, localErr := r.submit(t.Context(), &proposal{})
	g.Expect(localErr).To(MatchError(ContainSubstring("does not take writes")))
	g.Expect(time.Since(began)).To(BeNumerically("<", callTimeout/2))
	folder.frozen.Unlock()
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(r.Available, time.Second).Should(BeTrue())
	g.Eventually(func() uint64 { return r.config.Load().ModelVersions["m"] }, 5*time.Second).Should(Equal(uint64(1)))
}

// The space left is enough for the log, but not for a snapshot. Guards against a replica that
// stops although it can store entries, and one that never writes the snapshot.
func TestReplicaSurvivesFailedSnapshot(t *testing.T) {
	g := NewWithT(t)
	r, folder := newFaultyReplica(t, freeAddress(t), false)
	run(t, r)
	g.Eventually(func() bool { return r.Leadership().Valid() }, 10*time.Second).Should(BeTrue())
	folder.noSnapshots.Store(true)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range snapshotEntries/8 + 1 {
				_ = proposeVersion(t.Context(), r, 1)
			}
		})
	}
	wg.Wait()
	g.Expect(proposeVersion(t.Context(), r, 2)).To(Succeed())
	folder.noSnapshots.Store(false)
	g.Eventually(func() uint64 {
		_ = proposeVersion(t.Context(), r, 2) // a snapshot is tried again with the next entry
		var meta consensus.SnapshotMeta
		_ = r.runInLoop(t.Context(), func() { meta, _ = r.disk.Snapshot() })
		return meta.Index
	}, 2*snapshotRetryInterval).Should(BeNumerically(">", snapshotEntries))
}

// Guards against a process that ends because its disk is full when it starts.
func TestReplicaStartsWithFullDisk(t *testing.T) {
	g := NewWithT(t)
	r, folder := newFaultyReplica(t, freeAddress(t), true)
	run(t, r)
	g.Consistently(r.Available, 300*time.Millisecond).Should(BeFalse())
	folder.full.Store(false)
	g.Eventually(func() bool { return r.Leadership().Valid() }, 10*time.Second).Should(BeTrue())
	g.Expect(proposeVersion(t.Context(), r, 1)).To(Succeed())
}

// A folder that comes back damaged, or without what was stored, must stop the replica with
// DataCorrupt: with it the replica could vote twice in one term.
func TestReplicaStopsWhenReopenedFolderLacksStoredState(t *testing.T) {
	for name, change := range map[string]func(*storage.LoadedState, *error){
		"damaged": func(_ *storage.LoadedState, err *error) { *err = result.New(result.DataCorrupt, "damaged") },
		"term":    func(l *storage.LoadedState, _ *error) { l.Hard.Term-- },
		"vote":    func(l *storage.LoadedState, _ *error) { l.Hard.Vote = "another" },
		"commit":  func(l *storage.LoadedState, _ *error) { l.Hard.Commit-- },
		"entry":   func(l *storage.LoadedState, _ *error) { l.Entries = l.Entries[:len(l.Entries)-1] },
		"replica": func(l *storage.LoadedState, _ *error) { l.Identity.ID = "another" },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r, folder := newFaultyReplica(t, freeAddress(t), false)
			ended := run(t, r)
			g.Eventually(func() bool { return r.Leadership().Valid() }, time.Minute).Should(BeTrue())
			g.Eventually(func() error { return proposeVersion(t.Context(), r, 1) }, time.Minute).Should(Succeed()) // a slow disk is no fault
			folder.change = change
			folder.full.Store(true)
			g.Expect(proposeVersion(t.Context(), r, 2)).NotTo(Succeed())
			opened := folder.opened.Load()
			folder.full.Store(false)
			var err error
			g.Eventually(ended, time.Minute).Should(Receive(&err))
			g.Expect(result.CodeOf(err)).To(Equal(result.DataCorrupt), "%v", err)
			g.Expect(folder.opened.Load()-opened).To(Equal(int32(1)), "it stops as soon as it has opened the folder")
		})
	}
}

// faultyGroup is a control group on loopback addresses whose disks can fail.
type faultyGroup struct {
	replicas []*Replica
	folders  map[string]*faultyFolder // by address
}

func startFaultyGroup(t *testing.T, size int) *faultyGroup {
	t.Helper()
	group := &faultyGroup{folders: map[string]*faultyFolder{}}
	var addresses []string
	for range size {
		addresses = append(addresses, freeAddress(t))
	}
	for _, a := range addresses {
		r, folder := newFaultyReplica(t, a, false, addresses...)
		group.replicas, group.folders[a] = append(group.replicas, r), folder
	}
	for _, r := range group.replicas {
		l, err := net.Listen("tcp", r.address)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		s := peer.NewServer()
		r.Register(s)
		go s.Serve(context.Background(), l)
		t.Cleanup(func() { l.Close(); s.Close() })
		run(t, r)
	}
	return group
}

// newFaultyReplica creates the data folder of a founder and opens it.
func newFaultyReplica(t *testing.T, address string, full bool, founders ...string) (*Replica, *faultyFolder) {
	t.Helper()
	g := NewWithT(t)
	if founders == nil {
		founders = []string{address}
	}
	dir := filepath.Join(t.TempDir(), "data")
	g.Expect(createFounder(dir, address, founders)).To(Succeed())
	client := peer.NewClient(peer.DialFrom(""))
	t.Cleanup(client.Close)
	folder := &faultyFolder{}
	folder.full.Store(full)
	r, _, err := openReplica(folder.access(), dir, address, client, log.New(io.Discard))
	g.Expect(err).NotTo(HaveOccurred())
	return r, folder
}

// run runs r until the test ends. The channel receives the error of Run.
func run(t *testing.T, r *Replica) <-chan error {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-r.Done() })
	return ended
}

// leader waits for a leader with a lease and returns it.
func (f *faultyGroup) leader(g *WithT) *Replica {
	var leader *Replica
	g.Eventually(func() bool {
		for _, r := range f.replicas {
			if r.Leadership().Valid() {
				leader = r
			}
		}
		return leader != nil
	}, 15*time.Second).Should(BeTrue())
	return leader
}

// propose publishes a version as the process of r does: through r or, if it does not
// commit it, through the others.
func (f *faultyGroup) propose(ctx context.Context, r *Replica, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	others := func() []string {
		return slices.DeleteFunc(slices.Sorted(maps.Keys(f.folders)), func(a string) bool { return a == r.address })
	}
	p := NewProposer(r, r.client, others, NewHealth(), r.log)
	_, err := p.Propose(ctx, state.Command{VersionPut: &state.VersionPut{Model: "m", Version: version}})
	return err
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

// proposeVersion publishes a version of a model through r.
func proposeVersion(ctx context.Context, r *Replica, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.Propose(ctx, ProposeRequest{Command: state.Command{VersionPut: &state.VersionPut{Model: "m", Version: version}}})
	return err
}
