package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/peer"
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

// abandonedStreams are attempts of one request on three upstreams, which have just been abandoned.
type abandonedStreams struct {
	n       *Node
	tracker crashTracker
	refuses atomic.Bool // whether the upstreams refuse connections
	list    []upstream.Announcement
}

// newAbandonedStreams ends the attempts a second after its call. The node is alone or has others.
func newAbandonedStreams(g Gomega, others ...reach.Deployment) *abandonedStreams {
	x := &abandonedStreams{}
	dial := func(context.Context, string, string) (net.Conn, error) {
		if x.refuses.Load() {
			return nil, errors.New("connection refused")
		}
		c, _ := net.Pipe()
		return c, nil
	}
	x.n = &Node{
		log: log.New(io.Discard), quarantine: quarantine.NewTable(time.Now, nil), directory: upstream.NewDirectory(alone{}),
		dependencies: Dependencies{Links: reach.NewLinks(dial, log.New(io.Discard))},
	}
	for _, o := range others {
		x.n.dependencies.Links.Deploy(o, peer.NewServer())
	}
	x.tracker = newCrashTracker(x.n)
	for i, id := range []string{"u1", "u2", "u3"} {
		x.list = append(x.list, upstream.Announcement{ID: id, Incarnation: 1, Service: "s", Address: fmt.Sprint("127.0.0.1:", i+1), Zone: id, Class: upstream.ClassRegular, Concurrency: 1, TTL: 5})
	}
	x.announce(g)
	time.Sleep(time.Second)
	for _, a := range x.list {
		x.tracker.Abandoned(&proxy.Request{}, "fp", proxy.Attempt{To: a, Began: time.Now()})
	}
	return x
}

func (x *abandonedStreams) announce(g Gomega) {
	for i := range x.list {
		x.list[i].Seq++
		g.Expect(x.n.directory.Announce(x.list[i])).To(Succeed())
	}
}

// Guards against a request that is held back because upstreams were full: these refuse connections
// too, but go on announcing themselves. Entries are told of every second heartbeat.
func TestFullUpstreamsAreNoCrashes(t *testing.T) {
	for first := time.Duration(0); first < 2*time.Second; first += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			x := newAbandonedStreams(g)
			x.refuses.Store(true)
			time.Sleep(first)
			for range 5 {
				x.announce(g)
				time.Sleep(2050 * time.Millisecond)
			}
			g.Expect(x.tracker.Blocked("fp")).To(BeFalse(), "heartbeats from %v on", first)
		})
	}
}

// Guards against a crash that is never counted because the upstream announced itself between the end
// of the attempt and its crash. The request must be held back 3 s after the third crash.
func TestCrashAfterAbandonedAttemptCountsInTime(t *testing.T) {
	for crash := time.Duration(0); crash < upstream.AbandonedCheckDelay; crash += 25 * time.Millisecond {
		for announced := time.Duration(0); announced <= crash; announced += 25 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				x := newAbandonedStreams(g)
				time.Sleep(announced)
				x.announce(g)
				time.Sleep(crash - announced)
				x.refuses.Store(true)
				time.Sleep(2900 * time.Millisecond)
				g.Expect(x.tracker.Blocked("fp")).To(BeTrue(), "announced %v and crashed %v after the end of the attempts", announced, crash)
			})
		}
	}
}
