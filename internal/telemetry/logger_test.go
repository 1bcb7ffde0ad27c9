package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Lines of several processes and days can be merged by their times.
func TestLinesCarryTheDateInUTC(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	NewLogger(&out, "info").Info("Daemon started.")
	word, _, _ := strings.Cut(strings.TrimPrefix(out.String(), "time="), " ")
	at, err := time.Parse(time.RFC3339, word)
	g.Expect(err).NotTo(HaveOccurred(), out.String())
	g.Expect(at).To(BeTemporally("~", time.Now(), time.Minute))
	g.Expect(word).To(HaveSuffix("Z"))
}

// BenchmarkLine is what one decision's line costs the goroutine that logs it.
func BenchmarkLine(b *testing.B) {
	l, flush := StartLogger(io.Discard, "info")
	defer flush()
	for b.Loop() {
		l.Info("Request answered.", "request", "1a93e4c6af6004a1", "route", "r-tzinw89", "account", "", "upstream", "i-8917ef9a4e",
			"status", 200, "runs", 0, "refused", 0, "hedged", false, "routing", 7, "ms", 53)
	}
}
