package systest

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// killWithParent changes cmd so that the kernel kills its process when this process ends,
// even after a panic or a timeout that skips clean-up. It returns cmd.
func killWithParent(cmd *exec.Cmd) *exec.Cmd {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// panicChildEnv is the environment variable that makes TestDaemonsEndWithATestThatPanics run
// as the child process that panics.
const panicChildEnv = "SYSTEST_PANICS"

// A daemon must not outlive a test run that panics outside the goroutine of its test.
func TestDaemonsEndWithATestThatPanics(t *testing.T) {
	g := NewWithT(t)
	if os.Getenv(panicChildEnv) != "" {
		daemon := killWithParent(exec.Command("sleep", "60"))
		g.Expect(daemon.Start()).To(Succeed())
		fmt.Println("daemon", daemon.Process.Pid)
		go panic("panic outside the goroutine of the test")
		time.Sleep(time.Minute)
	}
	run := exec.Command(os.Args[0], "-test.run=^TestDaemonsEndWithATestThatPanics$")
	run.Env = append(os.Environ(), panicChildEnv+"=1")
	out, err := run.Output()
	g.Expect(err).To(HaveOccurred())
	_, pid, ok := strings.Cut(string(out), "daemon ")
	g.Expect(ok).To(BeTrue(), string(out))
	id, err := strconv.Atoi(strings.Fields(pid)[0])
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() error { return syscall.Kill(id, 0) }, "2s", "10ms").Should(MatchError(syscall.ESRCH))
}
