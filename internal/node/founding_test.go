package node

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/apricotstream/apricotstream/internal/batch"
	"github.com/apricotstream/apricotstream/internal/reach"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

// foundingNode is a founder of a deployment whose settings always say that it starts for
// the first time.
type foundingNode struct {
	cfg  Config
	node *Node
	stop func()
}

func newFoundingNodes(t *testing.T, count int) []*foundingNode {
	t.Helper()
	// Ports of another test, or of outgoing connections, could be those that the kernel gave to a
	// listener that is closed again.
	network, release, err := testkit.ReserveNetwork()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(release)
	var founders []string
	for i := range count {
		founders = append(founders, fmt.Sprintf("%s.1.%d:7471", network, 1+i))
	}
	var out []*foundingNode
	for i, a := range founders {
		out = append(out, &foundingNode{cfg: Config{
			ID: "n" + string(rune('0'+i)), PeerAddress: a, Founders: founders, DataFolder: filepath.Join(t.TempDir(), "data"),
			FirstStart: true, Tolerance: 1,
		}})
	}
	return out
}

// start starts the node and returns once it runs, New has failed, or the test has ended.
func (f *foundingNode) start(t *testing.T) error {
	ctx, cancel := context.WithCancel(context.Background())
	newCtx, stopNew := context.WithTimeout(t.Context(), 20*time.Second)
	defer stopNew()
	deps := Dependencies{Links: reach.NewLinks(reach.Direct(""), log.New(io.Discard)), Scorer: func(*Node) batch.Scorer { return nil }}
	n, err := New(newCtx, f.cfg, deps, log.New(io.Discard))
	if err != nil {
		cancel()
		return err
	}
	if err := n.Start(ctx); err != nil {
		cancel()
		return err
	}
	f.node, f.stop = n, sync.OnceFunc(func() { cancel(); n.Wait() })
	t.Cleanup(f.stop)
	return nil
}

// startAll starts the nodes at intervals, each without waiting for the others.
func startAll(t *testing.T, nodes []*foundingNode, interval time.Duration) {
	t.Helper()
	errs := make(chan error, len(nodes))
	for _, f := range nodes {
		go func() { errs <- f.start(t) }()
		time.Sleep(interval)
	}
	for range nodes {
		NewWithT(t).Expect(<-errs).To(Succeed())
	}
}

func (f *foundingNode) publish(version uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	return f.node.PublishVersion(ctx, "m", version)
}

func (f *foundingNode) founds() bool {
	return strings.HasPrefix(string(f.node.identity.Load().ID), "f.")
}

// A founder that lost its disk must not take its old identity again, also when its settings
// still say first_start: with an empty log it could give its vote a second time, and what
// was acknowledged would be lost.
func TestWipedFounderJoinsUnderNewIdentity(t *testing.T) {
	g := NewWithT(t)
	nodes := newFoundingNodes(t, 3)
	startAll(t, nodes, 100*time.Millisecond)
	for _, f := range nodes {
		g.Expect(f.founds()).To(BeTrue())
	}
	// An unknown outcome is no fault: the change may be sent again.
	g.Eventually(func() error { return nodes[1].publish(1) }, time.Minute).Should(Succeed())
	nodes[0].stop()
	g.Expect(os.RemoveAll(nodes[0].cfg.DataFolder)).To(Succeed())
	g.Expect(nodes[0].start(t)).To(Succeed())
	g.Expect(nodes[0].founds()).To(BeFalse())
	g.Eventually(func() bool {
		m, ok := nodes[1].node.Group()[nodes[0].node.identity.Load().ID]
		return ok && m.Voter
	}, 15*time.Second).Should(BeTrue())
}

// The founders start within 0.3 s and none listens yet, and one starts later than the time
// for which the others wait for it. Guards against a group that does not form, and against
// founders that need another exchange of votes after a usual first start.
func TestFoundersFormGroup(t *testing.T) {
	t.Run("together", func(t *testing.T) {
		g := NewWithT(t)
		nodes := newFoundingNodes(t, 3)
		startAll(t, nodes, 100*time.Millisecond)
		for _, f := range nodes {
			g.Expect(f.founds()).To(BeTrue())
		}
		g.Expect(nodes[2].publish(1)).To(Succeed())
	})
	t.Run("one late", func(t *testing.T) {
		g := NewWithT(t)
		nodes := newFoundingNodes(t, 3)
		startAll(t, nodes[:2], 0)
		g.Expect(nodes[0].publish(1)).To(Succeed())
		g.Expect(nodes[2].start(t)).To(Succeed())
		g.Expect(nodes[2].founds()).To(BeFalse())
		g.Eventually(func() uint64 { return nodes[2].node.follower.Config().ModelVersions["m"] }, 10*time.Second).Should(Equal(uint64(1)))
	})
}

// Founders that are wiped while the one that holds the log does not answer must not form
// another group. Guards against two that take each other for new.
func TestWipedFoundersWaitForTheOneWithLog(t *testing.T) {
	g := NewWithT(t)
	nodes := newFoundingNodes(t, 3)
	startAll(t, nodes, 0)
	g.Expect(nodes[1].publish(1)).To(Succeed())
	g.Eventually(func() uint64 { return nodes[2].node.follower.Config().ModelVersions["m"] }, 10*time.Second).Should(Equal(uint64(1)))
	for _, f := range nodes {
		f.stop()
	}
	errs := make(chan error, 2)
	for _, f := range nodes[:2] {
		g.Expect(os.RemoveAll(f.cfg.DataFolder)).To(Succeed())
		go func() { errs <- f.start(t) }()
	}
	g.Consistently(errs, 3*time.Second).ShouldNot(Receive()) // longer than a restart of the third
	g.Expect(nodes[2].start(t)).To(Succeed())
	for range 2 {
		g.Expect(<-errs).To(HaveOccurred(), "without a quorum there is nothing to join")
	}
}

// limitedProcess is the environment variable that is set in the process whose file size is limited.
const limitedProcess = "APRICOTSTREAM_TEST_LIMITED"

// A process that starts with an empty folder while its disk is full must wait for space. It
// ended, again and again, and with it the entry and the control calls that it serves.
func TestStartWithEmptyFolderWaitsForSpace(t *testing.T) {
	g := NewWithT(t)
	if os.Getenv(limitedProcess) == "" {
		// The limit holds for the whole process, and with it for go test's log of opened files.
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
		cmd.Env = append(os.Environ(), limitedProcess+"=1")
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		out, err := cmd.CombinedOutput()
		g.Expect(err).NotTo(HaveOccurred(), string(out))
		g.Expect(string(out)).To(ContainSubstring("--- PASS: " + t.Name()))
		return
	}
	f := newFoundingNodes(t, 1)[0]
	var unlimited unix.Rlimit
	g.Expect(unix.Getrlimit(unix.RLIMIT_FSIZE, &unlimited)).To(Succeed())
	restore := sync.OnceFunc(func() { g.Expect(unix.Setrlimit(unix.RLIMIT_FSIZE, &unlimited)).To(Succeed()) })
	t.Cleanup(restore)
	g.Expect(unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 1, Max: unlimited.Max})).To(Succeed())
	started := make(chan error, 1)
	go func() { started <- f.start(t) }()
	g.Consistently(started, 2*createRetryDelay).ShouldNot(Receive())
	restore()
	g.Eventually(started, 10*time.Second).Should(Receive(Succeed()))
	g.Expect(f.publish(1)).To(Succeed())
}
