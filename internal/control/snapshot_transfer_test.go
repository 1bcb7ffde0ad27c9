package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// transferReplica is a replica without a loop that sends or receives snapshots.
func transferReplica(t *testing.T) *Replica {
	t.Helper()
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	r := &Replica{
		log: log.New(io.Discard), client: peer.NewClient(peer.DialFrom("")), cluster: "c", address: l.Addr().String(),
		inbox: make(chan StepNotice, 1), receivedSnapshots: map[consensus.ID]receivedSnapshot{}, snapshotTransfers: map[uint64]chan SnapshotAck{},
		done: make(chan struct{}),
	}
	r.status.Store(&consensus.Status{ID: "b"})
	s := peer.NewServer()
	r.Register(s)
	go s.Serve(context.Background(), l)
	t.Cleanup(func() {
		l.Close()
		s.Close()
		r.client.Close()
	})
	return r
}

// snapshotFile returns the encoded form of a snapshot with size bytes of data.
func snapshotFile(t *testing.T, size int) ([]byte, []byte) {
	t.Helper()
	g := NewWithT(t)
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(rand.Uint32())
	}
	dir := t.TempDir()
	s := consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 7, Term: 3}, Data: data}
	g.Expect(storage.Create(dir, storage.Identity{Cluster: "c", ID: "a"}, s)).To(Succeed())
	disk, _, err := storage.Open(dir)
	g.Expect(err).NotTo(HaveOccurred())
	defer disk.Close()
	f, err := disk.OpenSnapshot()
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	b, err := io.ReadAll(f)
	g.Expect(err).NotTo(HaveOccurred())
	return b, data
}

// Sending a snapshot must not cost so much that a replica which lost its disk is still
// behind when the next disk may be lost. The time depends on the machine; the bytes that
// are allocated for each byte of the snapshot show how often it is encoded and copied.
func TestSnapshotTransferCopiesEachByteFewTimes(t *testing.T) {
	const (
		size             = 2 << 20
		maxBytesForEach  = 15.0 // by sender and receiver together, decoding included
		transferDeadline = 30 * time.Second
	)
	g := NewWithT(t)
	from, to := transferReplica(t), transferReplica(t)
	file, data := snapshotFile(t, size)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	m := consensus.Message{Kind: consensus.MsgSnapshot, From: "a", To: "b", Snapshot: &consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 7, Term: 3}}}
	n, err := from.sendSnapshotParts(bytes.NewReader(file), len(data), to.address, m)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(len(file)))
	var received StepNotice
	g.Eventually(to.inbox, transferDeadline).Should(Receive(&received))
	runtime.ReadMemStats(&after)
	g.Expect(received.Message.Snapshot.Meta.Index).To(Equal(uint64(7)))
	g.Expect(bytes.Equal(received.Message.Snapshot.Data, data)).To(BeTrue())
	allocated := float64(after.TotalAlloc-before.TotalAlloc) / float64(len(file))
	t.Logf("%.1f bytes allocated for each byte", allocated)
	g.Expect(allocated).To(BeNumerically("<=", maxBytesForEach))
}

// A receiver whose buffer was too small for the last quarter of a snapshot held it nearly
// twice while it grew the buffer, at the time at which it needs the most memory.
func TestReceivedSnapshotFitsItsFirstBuffer(t *testing.T) {
	g := NewWithT(t)
	to := transferReplica(t)
	file, data := snapshotFile(t, 2<<20)
	g.Expect(len(file)).To(BeNumerically(">", len(data)))
	first := SnapshotPart{Message: consensus.Message{From: "a"}, Transfer: 1, Size: storage.MaxSnapshotFileBytes(len(data)), Data: file[:snapshotPartBytes]}
	_, err := to.appendPart(first)
	g.Expect(err).NotTo(HaveOccurred())
	rest := first
	rest.Offset, rest.Data, rest.Last = snapshotPartBytes, file[snapshotPartBytes:], true
	whole, err := to.appendPart(rest)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(whole).To(Equal(file))
	g.Expect(cap(whole)).To(Equal(first.Size))
}

// The sender must announce at least the size of the file, not that of the data in it.
func TestSnapshotPartAnnouncesSizeOfFile(t *testing.T) {
	g := NewWithT(t)
	from := transferReplica(t)
	file, data := snapshotFile(t, 2<<20)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	parts := make(chan SnapshotPart, len(file)/snapshotPartBytes+1)
	s := peer.NewServer()
	defer s.Close()
	peer.HandleNotice(s, MethodSnapshot, func(p SnapshotPart) {
		parts <- p
		from.receiveSnapshotAck(SnapshotAck{Transfer: p.Transfer, Received: p.Offset + len(p.Data)})
	})
	go s.Serve(context.Background(), l)
	_, err = from.sendSnapshotParts(bytes.NewReader(file), len(data), l.Addr().String(), consensus.Message{To: "b"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect((<-parts).Size).To(BeNumerically(">=", len(file)))
}

// A receiver that rejects a part, or does not answer, must end the transfer with an error,
// so that the leader sends the snapshot again.
func TestSnapshotTransferEndsWithAnErrorWhenRejectedOrUnanswered(t *testing.T) {
	g := NewWithT(t)
	from, to := transferReplica(t), transferReplica(t)
	m := consensus.Message{To: "b", Snapshot: &consensus.Snapshot{}}
	old := m
	old.To = "b.lost"
	_, err := from.sendSnapshotParts(bytes.NewReader(make([]byte, 10)), 10, to.address, old)
	g.Expect(err).To(MatchError(ContainSubstring("is for replica b.lost, not b")))
	to.cluster = "another"
	_, err = from.sendSnapshotParts(bytes.NewReader(make([]byte, 10)), 10, to.address, m)
	g.Expect(err).To(MatchError(ContainSubstring("belongs to cluster another")))
	_, err = from.sendSnapshotParts(bytes.NewReader(make([]byte, 10)), 10, "127.0.0.1:1", m)
	g.Expect(err).To(MatchError(errSnapshotStalled))
}

// Parts must decode to the same value whichever decoder reads them.
func TestSnapshotPartDecodesLikeJSON(t *testing.T) {
	g := NewWithT(t)
	m := consensus.Message{From: `a","data":"`, Snapshot: &consensus.Snapshot{Meta: consensus.SnapshotMeta{
		Index: 7, Members: consensus.Membership{`b","data":"`: {ID: `b","data":"`}},
	}}}
	for _, data := range [][]byte{nil, {}, {1}, bytes.Repeat([]byte{250}, 1000)} {
		raw, err := json.Marshal(SnapshotPart{Cluster: `c","data":"`, Address: "x", Transfer: 1 << 63, Message: m, Size: 5, Offset: 3, Last: true, Data: data})
		g.Expect(err).NotTo(HaveOccurred())
		var want SnapshotPart
		g.Expect(json.Unmarshal(raw, &want)).To(Succeed())
		got, err := decodeSnapshotPart(raw)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want))
	}
	for _, raw := range []string{"", "{", `{"data":5}`, `{"cluster":"c","data":"?"}`, `{"cluster":5,"data":"AQ=="}`} {
		_, err := decodeSnapshotPart([]byte(raw))
		g.Expect(err).To(HaveOccurred(), raw)
	}
}
