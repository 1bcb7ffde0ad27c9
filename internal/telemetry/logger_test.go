package telemetry

import (
	"bytes"
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
