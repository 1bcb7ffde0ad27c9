package systest

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// dump returns the kernel's state of the process of daemon i and the end of its log. The log then
// ends with the stacks of its goroutines if the process runs: SIGQUIT makes it print them and exit.
// The last field of stat is the wait status of a process that has ended, such as 9 after SIGKILL.
func (c *cluster) dump(i int) string {
	p := c.processes[i].Process
	state, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		return fmt.Sprintf("its process does not exist: %v", err)
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid))
	if err != nil {
		return fmt.Sprintf("its process does not exist: %v", err)
	}
	_ = p.Signal(syscall.SIGQUIT)
	time.Sleep(time.Second) // until the stacks are written
	log, err := os.ReadFile(c.path(fmt.Sprintf("d%d.log", i)))
	return fmt.Sprintf("%s\n%s\n%s\n%v", state, stat, log[max(0, len(log)-64<<10):], err)
}
