package upstream

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/member"
)

// countingGroup counts the notices to the other daemons.
type countingGroup struct{ notices int }

func (g *countingGroup) Broadcast(string, any) { g.notices++ }
func (g *countingGroup) ConfirmAll(context.Context, string, any, time.Duration) (member.ZoneReply, error) {
	return member.ZoneReply{}, nil
}

// Guards against upstreams that the entries learn of seconds after a restart of all: the first
// announcement reached a replica before it knew any other daemon.
func TestEveryAnnouncementIsSentAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := &countingGroup{}
		d := NewDirectory(group)
		for seq := range uint64(20) {
			g.Expect(d.Announce(Announcement{ID: "u", Incarnation: 1, Seq: seq + 1, Service: "s", Address: "127.0.0.1:1", Zone: "z", Class: ClassRegular, Concurrency: 1, TTL: 4})).To(Succeed())
			if seq == 3 {
				g.Expect(group.notices).To(Equal(4), "one for each in the first 3.6 s")
			}
			time.Sleep(1200 * time.Millisecond)
		}
		g.Expect(group.notices).To(BeNumerically("<", 15), "later ones that change nothing are sent less often")
	})
}
