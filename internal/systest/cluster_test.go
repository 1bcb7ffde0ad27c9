package systest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/cli"
	"github.com/apricotstream/apricotstream/internal/gateway"
	"github.com/apricotstream/apricotstream/internal/standin"
)

// Daemons and replicas of a cluster, as on the users' six VMs.
const (
	daemons  = 6
	replicas = 3
)

// binary is the program under test, built once.
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
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// loopback is the network of this run, so that two runs on one machine do not
// take each other's addresses.
var loopback = 2 + os.Getpid()%250

// nets numbers the clusters of a run, each with its own loopback network.
var nets atomic.Int32

// cluster is six daemons, three of them replicas, behind relays. Daemon numbers
// start at 1; daemons 1 to 3 are replicas; zones go round a, b, c.
type cluster struct {
	t    testing.TB
	g    *WithT
	n    int // daemons
	dir  string
	id   string // of the cluster, as init printed it
	net  int
	wire *network
	stop chan struct{}
	proc map[int]*exec.Cmd
}

// newCluster starts a cluster and waits until every daemon is fresh. extra is
// added to every settings file.
func newCluster(t testing.TB, extra string) *cluster {
	return newSizedCluster(t, daemons, extra)
}

// newSizedCluster is newCluster with n daemons, at least 3 and less than 100.
func newSizedCluster(t testing.TB, n int, extra string) *cluster {
	c := &cluster{
		t: t, g: NewWithT(t), n: n, dir: t.TempDir(), net: 20 + int(nets.Add(1)),
		wire: newNetwork(), stop: make(chan struct{}), proc: map[int]*exec.Cmd{},
	}
	t.Cleanup(c.close)
	for i := 1; i <= c.n; i++ {
		c.writeSettings(i, extra)
		c.g.Expect(c.wire.relay(c.peer(i), c.listen(i), c.stop)).To(Succeed())
	}
	for i := 1; i <= replicas; i++ {
		words := strings.Fields(c.cli(c.initArgs(i)...))
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

func (c *cluster) initArgs(i int) []string {
	args := []string{"init", "--config", c.config(i), "--operator-key-file", c.path("operator.key")}
	for j := 1; j <= replicas; j++ {
		args = append(args, "--voter", fmt.Sprintf("d%d=%s@%s", j, c.peer(j), c.zone(j)))
	}
	return args
}

func (c *cluster) ip(i int) string      { return fmt.Sprintf("127.%d.%d.%d", loopback, c.net, i) }
func (c *cluster) peer(i int) string    { return c.ip(i) + ":7070" }
func (c *cluster) listen(i int) string  { return c.ip(100+i) + ":7070" }
func (c *cluster) entry(i int) string   { return c.ip(i) + ":8080" }
func (c *cluster) zone(i int) string    { return string("abc"[(i-1)%3]) }
func (c *cluster) path(f string) string { return filepath.Join(c.dir, f) }
func (c *cluster) config(i int) string  { return c.path(fmt.Sprintf("d%d.ini", i)) }
func (c *cluster) data(i int) string    { return c.path(fmt.Sprintf("data-d%d", i)) }

func (c *cluster) entries() []string {
	var out []string
	for i := 1; i <= c.n; i++ {
		out = append(out, c.entry(i))
	}
	return out
}

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

// cli runs a command line in this process and returns what it printed.
func (c *cluster) cli(args ...string) string {
	c.t.Helper()
	out, err := c.tryCLI(args...)
	c.g.Expect(err).NotTo(HaveOccurred(), "%v", args)
	return out
}

func (c *cluster) tryCLI(args ...string) (string, error) {
	var out, errOut bytes.Buffer
	if code := cli.Run(args, &out, &errOut); code != cli.ExitOK {
		return out.String(), fmt.Errorf("exit %d: %s", code, errOut.String())
	}
	return out.String(), nil
}

// op runs an operator's command at the given entries, all when none is given.
func (c *cluster) op(args ...string) string {
	c.t.Helper()
	return c.cli(c.opArgs(args, c.entries())...)
}

func (c *cluster) opArgs(args, entries []string) []string {
	args = append(args, "--key-file", c.path("operator.key"))
	for _, e := range entries {
		args = append(args, "--entry", e)
	}
	return args
}

func (c *cluster) start(i int) {
	log, err := os.OpenFile(c.path(fmt.Sprintf("d%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.g.Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	cmd := tied(exec.Command(binary, "serve", "--config", c.config(i)))
	cmd.Stdout, cmd.Stderr = log, log
	c.g.Expect(cmd.Start()).To(Succeed())
	c.proc[i] = cmd
}

func (c *cluster) kill(i int) {
	_ = c.proc[i].Process.Kill()
	_ = c.proc[i].Wait()
	delete(c.proc, i)
}

// terminate asks for a graceful shutdown and waits for it.
func (c *cluster) terminate(i int) {
	_ = c.proc[i].Process.Signal(syscall.SIGTERM)
	_ = c.proc[i].Wait()
	delete(c.proc, i)
}

func (c *cluster) freeze(i int) { _ = c.proc[i].Process.Signal(syscall.SIGSTOP) }

func (c *cluster) thaw(i int) { _ = c.proc[i].Process.Signal(syscall.SIGCONT) }

// isolate cuts daemon i off from all others, silently; heal undoes it.
func (c *cluster) isolate(i int) { c.links(i, true) }

func (c *cluster) heal(i int) { c.links(i, false) }

func (c *cluster) links(i int, cut bool) {
	for j := 1; j <= c.n; j++ {
		if j != i {
			c.wire.set(c.ip(i), c.ip(j), cut)
		}
	}
}

// status asks one entry; an error when it does not answer.
func (c *cluster) status(i int) (gateway.StatusBody, error) {
	var s gateway.StatusBody
	out, err := c.tryCLI(c.opArgs([]string{"status", "--json"}, []string{c.entry(i)})...)
	if err == nil {
		err = json.Unmarshal([]byte(out), &s)
	}
	return s, err
}

// leader returns the number of the leading daemon as entry i sees it, 0 for none.
func (c *cluster) leader(i int) int {
	s, err := c.status(i)
	if err != nil || s.Group == nil || s.Group.Leader == "" {
		return 0
	}
	var n int
	_, _ = fmt.Sscanf(string(s.Group.Leader), "d%d", &n)
	return n
}

func (c *cluster) waitFresh(ids ...int) {
	c.t.Helper()
	for _, i := range ids {
		c.g.Eventually(func() bool {
			s, err := c.status(i)
			return err == nil && s.Fresh
		}, 15*time.Second, 50*time.Millisecond).Should(BeTrue(), "daemon %d is not fresh", i)
	}
}

// account creates a client account with a key and returns the key.
func (c *cluster) account(name string) string {
	c.op("account", "create", name)
	c.op("key", "create", "--account", name, "--out", c.path(name+".key"))
	b, err := os.ReadFile(c.path(name + ".key"))
	c.g.Expect(err).NotTo(HaveOccurred())
	return strings.TrimSpace(string(b))
}

// document activates a service document.
func (c *cluster) document(text string) {
	f := c.path("document.ini")
	c.g.Expect(os.WriteFile(f, []byte(text), 0o600)).To(Succeed())
	c.op("service", "put", f)
}

// plain starts a plain service in this process and waits until it is known.
func (c *cluster) plain(o standin.Options) *standin.Upstream {
	u := c.upstream(o)
	c.run(u, func() error { return u.Serve(c.ctx(), standin.Plain{Upstream: u}.Handler()) })
	return u
}

// engine starts a model engine in this process and waits until it is known.
func (c *cluster) engine(o standin.Options) *standin.Upstream {
	u := c.upstream(o)
	c.run(u, func() error { return u.Serve(c.ctx(), standin.Engine{Upstream: u}.Handler()) })
	return u
}

func (c *cluster) upstream(o standin.Options) *standin.Upstream {
	o.Entries = c.entries()
	o.Class = cmpOr(o.Class, "regular")
	o.Zone = cmpOr(o.Zone, "a")
	o.Address = cmpOr(o.Address, c.ip(200)+":0")
	if o.Concurrency == 0 {
		o.Concurrency = 8
	}
	if o.Version == 0 {
		o.Version = 1
	}
	return standin.NewUpstream(o)
}

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func (c *cluster) run(u *standin.Upstream, serve func() error) {
	go func() { _ = serve() }()
	c.g.Eventually(func() string { return c.op("upstream", "list") }, 10*time.Second, 50*time.Millisecond).Should(ContainSubstring(u.ID))
}

// ctx ends with the cluster.
func (c *cluster) ctx() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-c.stop
		cancel()
	}()
	return ctx
}

func (c *cluster) close() {
	for i := range c.proc {
		c.thaw(i)
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
