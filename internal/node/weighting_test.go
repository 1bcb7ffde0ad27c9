package node

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/reach"
)

// Guards against a log that fills up, and a load that changes the order of answers without weighting.
func TestWeightingIsLoggedAtMostOnceAMinute(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	e := newEntryWeighting("a", log.New(&out))
	equal := []member.Daemon{{ID: "a", Capacity: member.Capacity{Cores: 1}}, {ID: "b", Capacity: member.Capacity{Cores: 1}}}
	different := append([]member.Daemon{{ID: "c", Capacity: member.Capacity{Cores: 0.25}}}, equal...)
	now := time.Unix(1000, 0)
	e.observe(now, equal, 5)
	_, inFlight := e.load()
	g.Expect(inFlight).To(BeZero())
	g.Expect(out.String()).To(BeEmpty())
	for i := range 119 {
		now = now.Add(time.Second)
		e.observe(now, [][]member.Daemon{different, equal}[i%2], 5)
	}
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(2), out.String())
	g.Expect(out.String()).To(And(ContainSubstring("active=true entries=3 smallest=0.33"), ContainSubstring("active=false")))
	_, inFlight = e.load()
	g.Expect(inFlight).To(Equal(5))
}

// Guards against an entry whose capacity is not announced.
func TestEntryAnnouncesItsCapacity(t *testing.T) {
	g := NewWithT(t)
	logger := log.New(io.Discard)
	cfg := Config{ID: "a", Region: "r", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", Capacity: member.Capacity{Cores: 0.144, LinkMbps: 45}}
	n, err := New(t.Context(), cfg, Dependencies{Links: reach.NewLinks(reach.Direct(""), logger)}, logger)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n.gossip.Live()).To(ConsistOf(HaveField("Capacity", cfg.Capacity)))
	g.Expect(n.Entries(member.Caller{}, nil)).To(Equal([]string{"127.0.0.1:2"}))
}
