package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/proxy"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/reach"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// alone is a group without other daemons.
type alone struct{}

func (alone) Broadcast(string, any) {}

func (alone) ConfirmAll(context.Context, string, any, time.Duration) (member.ZoneReply, error) {
	return member.ZoneReply{}, nil
}

// Guards against a sound request that is held back because upstreams failed under it, as a whole
// availability zone does at once, or because they ended as planned. A request that no upstream has
// run whole is held back after two crashes.
func TestSoundRequestsAreNotHeldBack(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("connection refused") }
	for _, c := range []struct {
		name     string
		before   func(tracker crashTracker)
		after    func(tracker crashTracker)
		withdraw bool
		blocked  bool
	}{
		{name: "it has never been run whole", blocked: true},
		{name: "it was run whole before", before: func(x crashTracker) { x.Survived("fp") }},
		{name: "it is run whole afterwards", after: func(x crashTracker) { x.Survived("fp") }},
		{name: "another request was run whole", before: func(x crashTracker) { x.Survived("other") }, blocked: true},
		{name: "its upstreams were withdrawn", withdraw: true},
	} {
		g := NewWithT(t)
		n := &Node{
			log: log.New(io.Discard), quarantine: quarantine.NewTable(time.Now, nil), directory: upstream.NewDirectory(alone{}),
			dependencies: Dependencies{Links: reach.NewLinks(refuse, log.New(io.Discard))},
		}
		tracker := newCrashTracker(n)
		if c.before != nil {
			c.before(tracker)
		}
		for _, id := range []string{"u1", "u2", "u3"} {
			a := upstream.Announcement{ID: id, Incarnation: 1, Seq: 1, Service: "s", Address: "127.0.0.1:1", Zone: "z", Class: upstream.ClassRegular, Concurrency: 1, TTL: 5}
			g.Expect(n.directory.Announce(a)).To(Succeed())
			if c.withdraw {
				leaving := a
				leaving.Leaving, leaving.Seq = true, 2
				g.Expect(n.directory.Announce(leaving)).To(Succeed())
			}
			tracker.ConnectionLost(&proxy.Request{}, "fp", proxy.Attempt{To: a, Began: time.Now()})
		}
		if c.after != nil {
			c.after(tracker)
		}
		g.Expect(tracker.Blocked("fp")).To(Equal(c.blocked), c.name)
	}
}

// Guards against a request that is held back because upstreams were full: these refuse connections
// too, but announce themselves. Upstreams that crashed just after the request was ended do not.
func TestFullUpstreamsAreNoCrashes(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("connection refused") }
	for _, full := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			n := &Node{
				log: log.New(io.Discard), quarantine: quarantine.NewTable(time.Now, nil), directory: upstream.NewDirectory(alone{}),
				dependencies: Dependencies{Links: reach.NewLinks(refuse, log.New(io.Discard))},
			}
			tracker := newCrashTracker(n)
			for i, id := range []string{"u1", "u2", "u3"} {
				a := upstream.Announcement{ID: id, Incarnation: 1, Seq: 1, Service: "s", Address: fmt.Sprint("127.0.0.1:", i+1), Zone: id, Class: upstream.ClassRegular, Concurrency: 1, TTL: 5}
				g.Expect(n.directory.Announce(a)).To(Succeed())
				tracker.Abandoned(&proxy.Request{}, "fp", proxy.Attempt{To: a, Began: time.Now()})
				if full {
					a.Seq = 2
					g.Expect(n.directory.Announce(a)).To(Succeed())
				}
			}
			time.Sleep(3 * time.Second)
			g.Expect(tracker.Blocked("fp")).To(Equal(!full))
		})
	}
}
