package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/proxy"
	"github.com/apricotstream/apricotstream/internal/reach"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Guards against a crash that is never counted because the upstream was heard just before it, as one
// that runs other requests is.
func TestCrashOfBusyUpstreamAfterAbandonedAttemptCounts(t *testing.T) {
	for crash := 25 * time.Millisecond; crash < upstream.AbandonedCheckDelay; crash += 25 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			x := newAbandonedStreams(g)
			time.Sleep(crash - time.Millisecond)
			for _, a := range x.list {
				c, err := x.n.dependencies.Links.Dial(t.Context(), "tcp", a.Address)
				g.Expect(err).NotTo(HaveOccurred())
				c.Close()
			}
			time.Sleep(time.Millisecond)
			x.refuses.Store(true)
			time.Sleep(2900 * time.Millisecond)
			g.Expect(x.tracker.Blocked("fp")).To(BeTrue(), "heard until it crashed %v after the end of the attempts", crash)
		})
	}
}

// Guards against a crash that is never counted because another attempt on the upstream was abandoned
// before: the upstream still runs when that one is checked.
func TestCrashAfterLaterAbandonedAttemptCounts(t *testing.T) {
	for later := 50 * time.Millisecond; later < 2*upstream.AbandonedCheckDelay; later += 50 * time.Millisecond {
		for crash := 25 * time.Millisecond; crash < upstream.AbandonedCheckDelay; crash += 75 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				x := newAbandonedStreams(g)
				time.Sleep(later)
				for _, a := range x.list {
					x.tracker.Abandoned(&proxy.Request{}, "later", proxy.Attempt{To: a, Began: time.Now()})
				}
				time.Sleep(crash)
				x.refuses.Store(true)
				time.Sleep(2900 * time.Millisecond)
				g.Expect(x.tracker.Blocked("later")).To(BeTrue(), "abandoned %v after another attempt, crashed %v later", later, crash)
			})
		}
	}
}

// Guards against a crash that is never counted because no other daemon could tell in time whether the
// upstream accepts connections, as when all are slow for a moment.
func TestCrashCountsOnceOtherDaemonsCanTell(t *testing.T) {
	for slow := time.Duration(0); slow <= 3*time.Second; slow += 200 * time.Millisecond {
		for _, abandoned := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				answersAt := time.Now().Add(time.Second + slow)
				x := newAbandonedStreams(g, reach.Deployment{
					Helpers: func() []reach.Helper { return []reach.Helper{{Address: "helper", Zone: "z"}} },
					DialHelper: func(context.Context, string) (net.Conn, error) {
						if time.Now().Before(answersAt) {
							return nil, errors.New("slow")
						}
						c, helper := net.Pipe()
						go func() {
							in := bufio.NewReader(helper)
							_, _ = in.ReadString('\n')
							_, _ = io.WriteString(helper, "unreachable refused\n")
							helper.Close()
						}()
						return c, nil
					},
				})
				x.refuses.Store(true)
				if !abandoned {
					for _, a := range x.list {
						go x.tracker.ConnectionLost(&proxy.Request{}, "lost", proxy.Attempt{To: a, Began: time.Now()})
					}
				}
				time.Sleep(8 * time.Second)
				if abandoned {
					g.Expect(x.tracker.Blocked("fp")).To(BeTrue(), "abandoned, other daemons slow for %v", slow)
				} else {
					g.Expect(x.tracker.Blocked("lost")).To(BeTrue(), "connection lost, other daemons slow for %v", slow)
				}
			})
		}
	}
}
