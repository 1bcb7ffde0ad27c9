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

// tied returns cmd such that its process is killed when this one ends, also by a
// panic or a timeout that runs no clean-up.
func tied(cmd *exec.Cmd) *exec.Cmd {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// panicsEnv makes TestDaemonsEndWithATestThatPanics be its own panicking child.
const panicsEnv = "SYSTEST_PANICS"

// No daemon outlives a test run that panics outside the goroutine of its test.
func TestDaemonsEndWithATestThatPanics(t *testing.T) {
	g := NewWithT(t)
	if os.Getenv(panicsEnv) != "" {
		daemon := tied(exec.Command("sleep", "60"))
		g.Expect(daemon.Start()).To(Succeed())
		fmt.Println("daemon", daemon.Process.Pid)
		go panic("as a test would")
		time.Sleep(time.Minute)
	}
	run := exec.Command(os.Args[0], "-test.run=^TestDaemonsEndWithATestThatPanics$")
	run.Env = append(os.Environ(), panicsEnv+"=1")
	out, err := run.Output()
	g.Expect(err).To(HaveOccurred())
	_, pid, ok := strings.Cut(string(out), "daemon ")
	g.Expect(ok).To(BeTrue(), string(out))
	id, err := strconv.Atoi(strings.Fields(pid)[0])
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() error { return syscall.Kill(id, 0) }, "2s", "10ms").Should(MatchError(syscall.ESRCH))
}
