package node

import (
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A wiped replica whose folder is not quite empty must join again: a process that outlived the
// removal has created a log, or the file system is new. Guards against a replica that ends at each
// start and a vote that is never replaced.
func TestWipedReplicaWithFilesInFolderJoins(t *testing.T) {
	for _, left := range []string{"log-00000000000000000001.wal", "lost+found"} {
		t.Run(left, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			nodes := newFoundingNodes(t, 3)
			startAll(t, nodes, 0)
			g.Eventually(func() error { return nodes[1].publish(1) }, time.Minute).Should(Succeed())
			f := nodes[0]
			f.stop()
			g.Expect(os.RemoveAll(f.cfg.DataFolder)).To(Succeed())
			g.Expect(os.Mkdir(f.cfg.DataFolder, 0o700)).To(Succeed())
			g.Expect(os.WriteFile(filepath.Join(f.cfg.DataFolder, left), []byte("x"), 0o600)).To(Succeed())
			g.Expect(f.start(t)).To(Succeed())
			g.Expect(f.founds()).To(BeFalse())
			g.Eventually(func() bool {
				m, ok := nodes[1].node.Group()[f.node.identity.Load().ID]
				return ok && m.Voter
			}, 15*time.Second).Should(BeTrue())
		})
	}
}

// Guards against a founder that forms a group, and removes the log, although its folder has only lost
// the identity: the group exists.
func TestFounderWithLogOfReplicaFormsNoGroup(t *testing.T) {
	g := NewWithT(t)
	f := newFoundingNodes(t, 1)[0]
	g.Expect(f.start(t)).To(Succeed())
	g.Eventually(func() error { return f.publish(1) }, time.Minute).Should(Succeed())
	f.stop()
	g.Expect(os.Remove(filepath.Join(f.cfg.DataFolder, "identity.json"))).To(Succeed())
	before, err := os.ReadDir(f.cfg.DataFolder)
	g.Expect(err).NotTo(HaveOccurred())
	started := make(chan error, 1)
	ended := make(chan struct{})
	t.Cleanup(func() { <-ended })
	go func() {
		defer close(ended)
		started <- f.start(t)
	}()
	g.Consistently(started, time.Second).ShouldNot(Receive()) // a single founder forms its group at once
	g.Expect(os.ReadDir(f.cfg.DataFolder)).To(HaveLen(len(before)))
}

// A process of a build that does not lock its folder, or on a file system without locks, is known by
// its address only. Guards against a second process that repairs the folder of a running one before it
// finds the address in use.
func TestFolderIsNotOpenedWhileAddressIsInUse(t *testing.T) {
	g := NewWithT(t)
	f := newFoundingNodes(t, 1)[0]
	g.Expect(f.start(t)).To(Succeed())
	f.stop()
	logs, err := filepath.Glob(filepath.Join(f.cfg.DataFolder, "log-*.wal"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(logs).To(HaveLen(1))
	content, err := os.ReadFile(logs[0])
	g.Expect(err).NotTo(HaveOccurred())
	content = append(content, 1, 2, 3) // the running process is in the middle of a write
	g.Expect(os.WriteFile(logs[0], content, 0o600)).To(Succeed())
	running, err := net.Listen("tcp", f.cfg.PeerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.start(t)).To(MatchError(syscall.EADDRINUSE))
	g.Expect(os.ReadFile(logs[0])).To(Equal(content))
	g.Expect(running.Close()).To(Succeed())
	g.Expect(f.start(t)).To(Succeed())
}
