package telemetry

import (
	"bytes"
	"io"
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

// BenchmarkLogLine measures the cost of a log line for the goroutine that logs it.
func BenchmarkLogLine(b *testing.B) {
	l, flush := StartLogger(io.Discard, "info")
	defer flush()
	for b.Loop() {
		l.Info("Request answered.", "request", "1a93e4c6af6004a1", "route", "r-tzinw89", "account", "", "upstream", "i-8917ef9a4e",
			"status", 200, "runs", 0, "refused", 0, "hedged", false, "routing", 7, "ms", 53)
	}
}
