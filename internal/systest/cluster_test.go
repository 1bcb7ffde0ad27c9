package systest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/cli"
	"github.com/apricotstream/apricotstream/internal/gateway"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/standin"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

// Default number of daemons, and number of replicas, of a cluster. They are those of the
// deployments in the folder examples.
const (
	daemons  = 6
	replicas = 3
)

// binary is the path of the program under test. TestMain builds it.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "systest")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "apricotstream")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/apricotstream").CombinedOutput()
	if err != nil {
		fmt.Println(string(out))
		os.Exit(1)
	}
	var release func()
	if loopbackNetwork, release, err = testkit.ReserveNetwork(); err != nil {
		panic(err)
	}
	code := m.Run()
	release()
	os.RemoveAll(dir)
	os.Exit(code)
}

// loopbackNetwork is the start of all addresses of this run. No other run uses it.
var loopbackNetwork string

// lastSubnet counts the clusters of a run. Each has its own subnet of loopback addresses.
var lastSubnet atomic.Int32

// cluster is a cluster of daemons behind relays, six by default. Daemon numbers start at 1.
// Daemons 1 to 3 are the replicas. The zones of the daemons are a, b and c in turn.
type cluster struct {
	t           testing.TB
	g           *WithT
	n           int    // daemons
	dir         string // of all files of the cluster
	id          string // cluster id, as printed by init
	subnet      int    // third byte of all addresses
	peerNetwork *network
	stop        chan struct{}     // closed at the end of the test
	processes   map[int]*exec.Cmd // by daemon number
}

// newCluster starts a cluster and waits until every daemon is fresh, see waitFresh. extra is
// appended to every settings file.
func newCluster(t testing.TB, extra string) *cluster {
	return newSizedCluster(t, daemons, extra)
}

// newSizedCluster is newCluster with n daemons. n must be at least 3 and less than 100.
func newSizedCluster(t testing.TB, n int, extra string) *cluster {
	c := &cluster{
		t: t, g: NewWithT(t), n: n, dir: t.TempDir(), subnet: 20 + int(lastSubnet.Add(1)),
		peerNetwork: newNetwork(), stop: make(chan struct{}), processes: map[int]*exec.Cmd{},
	}
	t.Cleanup(c.close)
	for i := 1; i <= c.n; i++ {
		c.writeSettings(i, extra)
		c.g.Expect(c.peerNetwork.relay(c.peer(i), c.listen(i), c.stop)).To(Succeed())
	}
	for i := 1; i <= replicas; i++ {
		words := strings.Fields(c.runCLI(c.initArgs(i)...))
		c.id = words[len(words)-1]
	}
	for i := 1; i <= c.n; i++ {
		c.start(i)
	}
	for i := 1; i <= c.n; i++ {
		c.waitFresh(i)
	}
	return c
}

// initArgs returns the arguments of the init command of replica i.
func (c *cluster) initArgs(i int) []string {
	args := []string{"init", "--config", c.config(i), "--operator-key-file", c.path("operator.key")}
	for j := 1; j <= replicas; j++ {
		args = append(args, "--voter", fmt.Sprintf("d%d=%s@%s", j, c.peer(j), c.zone(j)))
	}
	return args
}

// Addresses and paths of daemon i. peer is the address of the relay in front of the daemon,
// which all other daemons use, and listen is the address that the daemon listens on.
func (c *cluster) ip(i int) string      { return fmt.Sprintf("%s.%d.%d", loopbackNetwork, c.subnet, i) }
func (c *cluster) peer(i int) string    { return c.ip(i) + ":7070" }
func (c *cluster) listen(i int) string  { return c.ip(100+i) + ":7070" }
func (c *cluster) entry(i int) string   { return c.ip(i) + ":8080" }
func (c *cluster) zone(i int) string    { return string("abc"[(i-1)%3]) }
func (c *cluster) path(f string) string { return filepath.Join(c.dir, f) }
func (c *cluster) config(i int) string  { return c.path(fmt.Sprintf("d%d.ini", i)) }
func (c *cluster) data(i int) string    { return c.path(fmt.Sprintf("data-d%d", i)) }

// entries returns the addresses of all entries for callers and upstreams.
func (c *cluster) entries() []string {
	var out []string
	for i := 1; i <= c.n; i++ {
		out = append(out, c.entry(i))
	}
	return out
}

// writeSettings writes the settings file of daemon i.
func (c *cluster) writeSettings(i int, extra string) {
	var peers []string
	for j := 1; j <= c.n; j++ {
		if j != i {
			peers = append(peers, c.peer(j))
		}
	}
	s := fmt.Sprintf("[daemon]\nid = d%d\nzone = %s\nregion = r\ncaller_address = %s\npeer_address = %s\npeer_listen = %s\n",
		i, c.zone(i), c.entry(i), c.peer(i), c.listen(i))
	if i <= replicas {
		s += "data_folder = " + c.data(i) + "\n"
	}
	s += "\n[peers]\naddresses = " + strings.Join(peers, ", ") + "\n" + extra
	c.g.Expect(os.WriteFile(c.config(i), []byte(s), 0o600)).To(Succeed())
}

// runCLI runs a command line in this process, fails the test if that fails and returns the
// output.
func (c *cluster) runCLI(args ...string) string {
	c.t.Helper()
	out, err := c.tryCLI(args...)
	c.g.Expect(err).NotTo(HaveOccurred(), "%v", args)
	return out
}

// tryCLI runs a command line in this process and returns its output.
func (c *cluster) tryCLI(args ...string) (string, error) {
	var out, errOut bytes.Buffer
	if code := cli.Run(args, &out, &errOut); code != cli.ExitOK {
		return out.String(), fmt.Errorf("exit %d: %s", code, errOut.String())
	}
	return out.String(), nil
}

// runOperator runs a command with the operator's key. The command tries the entries in turn.
func (c *cluster) runOperator(args ...string) string {
	c.t.Helper()
	return c.runCLI(c.operatorArgs(args, c.entries())...)
}

// operatorArgs adds the operator's key and the entries to the arguments of a command.
func (c *cluster) operatorArgs(args, entries []string) []string {
	args = append(args, "--key-file", c.path("operator.key"))
	for _, e := range entries {
		args = append(args, "--entry", e)
	}
	return args
}

// start starts daemon i. Its output is appended to its log file.
func (c *cluster) start(i int) {
	log, err := os.OpenFile(c.path(fmt.Sprintf("d%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.g.Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	cmd := killWithParent(exec.Command(binary, "serve", "--config", c.config(i)))
	cmd.Stdout, cmd.Stderr = log, log
	c.g.Expect(cmd.Start()).To(Succeed())
	c.processes[i] = cmd
}

// kill kills daemon i.
func (c *cluster) kill(i int) {
	_ = c.processes[i].Process.Kill()
	_ = c.processes[i].Wait()
	delete(c.processes, i)
}

// terminate shuts daemon i down gracefully and waits until it has ended.
func (c *cluster) terminate(i int) {
	_ = c.processes[i].Process.Signal(syscall.SIGTERM)
	_ = c.processes[i].Wait()
	delete(c.processes, i)
}

// freeze stops the process of daemon i without ending it.
func (c *cluster) freeze(i int) { c.signal(i, syscall.SIGSTOP) }

// unfreeze continues the process of daemon i.
func (c *cluster) unfreeze(i int) { c.signal(i, syscall.SIGCONT) }

// signal sends a signal to daemon i. The test fails if it cannot be sent.
func (c *cluster) signal(i int, s syscall.Signal) {
	if err := c.processes[i].Process.Signal(s); err != nil {
		c.t.Errorf("%v to d%d: %v", s, i, err)
	}
}

// isolate silently blocks the connections between daemon i and all other daemons.
func (c *cluster) isolate(i int) { c.setLinks(i, true) }

// heal unblocks the connections between daemon i and all other daemons.
func (c *cluster) heal(i int) { c.setLinks(i, false) }

func (c *cluster) setLinks(i int, blocked bool) {
	for j := 1; j <= c.n; j++ {
		if j != i {
			c.peerNetwork.setBlocked(c.ip(i), c.ip(j), blocked)
		}
	}
}

// status returns the status of entry i, or an error if the entry does not return it.
func (c *cluster) status(i int) (gateway.StatusBody, error) {
	var s gateway.StatusBody
	out, err := c.tryCLI(c.operatorArgs([]string{"status", "--json"}, []string{c.entry(i)})...)
	if err == nil {
		err = json.Unmarshal([]byte(out), &s)
	}
	return s, err
}

// leader returns the number of the daemon that entry i regards as the leader, or 0 if it
// knows none.
func (c *cluster) leader(i int) int {
	s, err := c.status(i)
	if err != nil || s.Group == nil || s.Group.Leader == "" {
		return 0
	}
	var n int
	_, _ = fmt.Sscanf(string(s.Group.Leader), "d%d", &n)
	return n
}

// waitFresh waits until the given daemons are fresh: their copy of the configuration contains
// every change that was committed more than the freshness lease ago.
func (c *cluster) waitFresh(ids ...int) {
	c.t.Helper()
	for _, i := range ids {
		c.g.Eventually(func() bool {
			s, err := c.status(i)
			return err == nil && s.Fresh
		}, 15*time.Second, 50*time.Millisecond).Should(BeTrue(), func() string {
			return fmt.Sprintf("daemon %d is not fresh: %s", i, c.dump(i))
		})
	}
}

// waitOthersFreshAt waits until daemon i has heard from every other daemon that it is fresh.
// A daemon that knows no fresh one lists all daemons as entries, itself included.
func (c *cluster) waitOthersFreshAt(i int) {
	c.t.Helper()
	c.g.Eventually(func() int {
		s, err := c.status(i)
		if err != nil {
			return 0
		}
		return len(slices.DeleteFunc(s.Daemons, func(d member.Daemon) bool { return !d.Fresh }))
	}, 15*time.Second, 50*time.Millisecond).Should(Equal(c.n), "daemon %d does not know all others as fresh", i)
}

// waitConfigVersion waits until the given daemons are fresh and have at least the given
// version of the configuration. A daemon that is fresh may lack changes that are newer than
// the freshness lease, but not older ones.
func (c *cluster) waitConfigVersion(version uint64, ids ...int) {
	c.t.Helper()
	began := time.Now() // the version is confirmed
	for _, i := range ids {
		c.g.Eventually(func() bool {
			asked := time.Now()
			s, err := c.status(i)
			if err != nil || !s.Fresh {
				return false
			}
			if asked.Sub(began) >= freshnessLease {
				c.g.Expect(s.ConfigVersion).To(BeNumerically(">=", version), "daemon %d is fresh without a change that is older than the freshness lease", i)
			}
			return s.ConfigVersion >= version
		}, 15*time.Second, 50*time.Millisecond).Should(BeTrue(), "daemon %d is not fresh or has no configuration %d", i, version)
	}
}

// createAccount creates a client account with a key and returns the key.
func (c *cluster) createAccount(name string) string {
	c.runOperator("account", "create", name)
	c.runOperator("key", "create", "--account", name, "--out", c.path(name+".key"))
	b, err := os.ReadFile(c.path(name + ".key"))
	c.g.Expect(err).NotTo(HaveOccurred())
	return strings.TrimSpace(string(b))
}

// putDocument activates a service document.
func (c *cluster) putDocument(text string) {
	f := c.path("document.ini")
	c.g.Expect(os.WriteFile(f, []byte(text), 0o600)).To(Succeed())
	c.runOperator("service", "put", f)
}

// startPlain starts an upstream of a plain service in this process and waits until an entry
// lists it.
func (c *cluster) startPlain(o standin.Options) *standin.Upstream {
	u := c.newUpstream(o)
	c.startUpstream(u, func() error { return u.Serve(c.ctx(), standin.Plain{Upstream: u}.Handler()) })
	return u
}

// startEngine starts a model engine in this process and waits until an entry lists it.
func (c *cluster) startEngine(o standin.Options) *standin.Upstream {
	u := c.newUpstream(o)
	c.startUpstream(u, func() error { return u.Serve(c.ctx(), standin.Engine{Upstream: u}.Handler()) })
	return u
}

// newUpstream returns an upstream that announces itself to all entries, with defaults for
// the options that are not set.
func (c *cluster) newUpstream(o standin.Options) *standin.Upstream {
	o.Entries = c.entries()
	o.Class = firstNonEmpty(o.Class, "regular")
	o.Zone = firstNonEmpty(o.Zone, "a")
	o.Address = firstNonEmpty(o.Address, c.ip(200)+":0")
	if o.Concurrency == 0 {
		o.Concurrency = 8
	}
	if o.Version == 0 {
		o.Version = 1
	}
	return standin.NewUpstream(o)
}

// firstNonEmpty returns a, or b if a is empty.
func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// startUpstream calls serve, which serves u, and waits until an entry lists u.
func (c *cluster) startUpstream(u *standin.Upstream, serve func() error) {
	go func() {
		if err := serve(); err != nil {
			c.t.Errorf("upstream %s: %v", u.ID, err)
		}
	}()
	c.g.Eventually(func() string { return c.runOperator("upstream", "list") }, 10*time.Second, 50*time.Millisecond).Should(ContainSubstring(u.ID))
}

// ctx returns a context that ends with the cluster.
func (c *cluster) ctx() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-c.stop
		cancel()
	}()
	return ctx
}

// close ends the daemons. If the test failed it prints the end of their logs.
func (c *cluster) close() {
	for i := range c.processes {
		c.unfreeze(i)
		c.kill(i)
	}
	close(c.stop)
	if !c.t.Failed() {
		return
	}
	for i := 1; i <= c.n; i++ {
		b, _ := os.ReadFile(c.path(fmt.Sprintf("d%d.log", i)))
		c.t.Logf("log of d%d:\n%s", i, b[max(0, len(b)-4000):])
	}
}
