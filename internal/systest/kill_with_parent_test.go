package systest

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
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
	g.Eventually(func() (bool, error) { return hasEnded(id) }, "2s", "10ms").Should(BeTrue())
}

// hasEnded reports whether a process has ended. The process of an orphan that has ended stays
// listed as a zombie until process 1 waits for it, which takes seconds on some machines.
func hasEnded(pid int) (bool, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	// The state follows the name of the program, which is in parentheses and may hold any character.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	return len(fields) > 0 && (fields[0] == "Z" || fields[0] == "X"), nil
}
