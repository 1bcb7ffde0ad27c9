package telemetry

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Log lines of several processes and days can be merged by time only if their timestamps
// have a date and a common time zone.
func TestLogTimestampsHaveDateInUTC(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	NewLogger(&out, "info").Info("Daemon started.")
	timestamp, _, _ := strings.Cut(strings.TrimPrefix(out.String(), "time="), " ")
	at, err := time.Parse(time.RFC3339, timestamp)
	g.Expect(err).NotTo(HaveOccurred(), out.String())
	g.Expect(at).To(BeTemporally("~", time.Now(), time.Minute))
	g.Expect(timestamp).To(HaveSuffix("Z"))
}

// closedOutput is set in the environment of a process that logs to a closed pipe.
const closedOutput = "TEST_CLOSED_OUTPUT"

// Guards against processes that end, and with them their replicas, once the receiver of their
// logs has closed its end of the pipe.
func TestProcessOutlivesReceiverOfItsLogs(t *testing.T) {
	if os.Getenv(closedOutput) != "" {
		logger, flush := StartLogger(os.Stdout, "info")
		before := linesDropped.Get()
		logger.Info("Daemon started.")
		flush()
		if linesDropped.Get() == before {
			os.Exit(3) // the pipe was open
		}
		os.Exit(0)
	}
	g := NewWithT(t)
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Close()).To(Succeed())
	defer w.Close()
	c := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	c.Env = append(os.Environ(), closedOutput+"=1")
	c.Stdout = w
	g.Expect(c.Run()).To(Succeed())
}

// BenchmarkLogLine measures the cost of a log line for the goroutine that logs it.
func BenchmarkLogLine(b *testing.B) {
	l, flush := StartLogger(io.Discard, "info")
	defer flush()
	for b.Loop() {
		l.Info("Request answered.", "request", "1a93e4c6af6004a1", "route", "r-tzinw89", "account", "", "upstream", "i-8917ef9a4e",
			"status", 200, "runs", 0, "refused", 0, "hedged", false, "routing", 7, "ms", 53)
	}
}
