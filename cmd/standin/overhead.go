package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/standin"
)

// overheadCommand measures the latency that an entry adds and the processor time that it
// uses.
type overheadCommand struct {
	Direct             string `long:"direct" required:"true" description:"URL at the upstream"`
	Through            string `long:"through" required:"true" description:"URL of the same at an entry"`
	KeyFile            string `long:"key-file" required:"true" description:"file with the caller's key"`
	UseIdempotencyKeys bool   `long:"once" description:"send each request under a new idempotency key"`
	Requests           int    `long:"requests" default:"10000" description:"requests on each way"`
	Concurrency        int    `long:"concurrency" default:"1" description:"requests at once"`
	PID                int    `long:"pid" description:"process of the entry, to count its processor time"`
}

// Execute implements flags.Commander.
func (c *overheadCommand) Execute([]string) error {
	key, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return err
	}
	o := standin.Overhead{
		Direct: c.Direct, Through: c.Through, Key: strings.TrimSpace(string(key)), UseIdempotencyKeys: c.UseIdempotencyKeys,
		Requests: c.Requests, Concurrency: c.Concurrency, Body: []byte(`{"guess":"wren"}`),
	}
	before := processCPUTime(c.PID)
	direct, through := o.Run(context.Background())
	used := processCPUTime(c.PID) - before
	fmt.Printf("concurrency %d, %d requests on each path\n", c.Concurrency, c.Requests)
	fmt.Printf("direct   p50 %-8v p99 %-8v %8.0f/s failed %d\n", direct.P50, direct.P99, direct.Rate, direct.Failed)
	fmt.Printf("entry    p50 %-8v p99 %-8v %8.0f/s failed %d\n", through.P50, through.P99, through.Rate, through.Failed)
	fmt.Printf("added    p50 %-8v p99 %v\n", through.P50-direct.P50, through.P99-direct.P99)
	if used > 0 {
		fmt.Printf("entry's processor time: %v a request, %.0f requests/s a core\n",
			(used / time.Duration(c.Requests)).Round(time.Microsecond), float64(c.Requests)/used.Seconds())
	}
	return nil
}

// clockTick is the unit of the processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// processCPUTime returns the processor time that a process has used, or 0 if it is unknown.
func processCPUTime(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, ok := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if err != nil || !ok || len(fields) < 13 {
		return 0
	}
	var user, system int64
	_, _ = fmt.Sscan(fields[11], &user)
	_, _ = fmt.Sscan(fields[12], &system)
	return time.Duration(user+system) * clockTick
}
