package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/membudget"
	"github.com/apricotstream/apricotstream/internal/result"
)

// serveGuarded serves the call echo under a guard.
func serveGuarded(t *testing.T, connections int, budget *membudget.Budget) (address string, c *Client) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := NewServer()
	Handle(s, "echo", func(_ context.Context, e echo) (echo, error) { return e, nil })
	s.Protect(NewGuard(connections, budget, log.New(io.Discard)))
	go s.Serve(t.Context(), l)
	c = NewClient(DialFrom(""))
	t.Cleanup(func() { c.Close(); l.Close(); s.Close() })
	return l.Addr().String(), c
}

// Guards against a frame of a daemon that is refused because others hold the memory, even if it is the
// first one of its connection, and against memory that is not given back.
func TestLargeFrameOfADaemonPassesAmongHostileOnes(t *testing.T) {
	g := NewWithT(t)
	const largest = 2 << 20
	budget := membudget.New(largest + largest/growthFactor + 1024)
	address, c := serveGuarded(t, 64, budget)
	var crowd []net.Conn
	for range 12 {
		hostile, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		crowd = append(crowd, hostile)
		_, _ = fmt.Fprintf(hostile, "Content-Length: %d\r\n\r\n%s", largest/2, strings.Repeat("x", 400<<10)) // fails once it is closed
	}
	g.Eventually(budget.Used, 10*time.Second).Should(BeNumerically(">=", largest/2), "one hostile frame has its whole buffer")
	text := strings.Repeat("x", largest-1000)
	r, err := Call[echo](t.Context(), c, address, "echo", echo{text})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Text == text).To(BeTrue())
	c.Close()
	for _, hostile := range crowd {
		hostile.Close()
	}
	g.Eventually(budget.Used, 10*time.Second).Should(BeZero())
}

// Guards against a connection of a daemon that is closed for others that carry nothing, and against
// new daemons that are kept out.
func TestDaemonsAreServedAmongSilentConnections(t *testing.T) {
	g := NewWithT(t)
	address, known := serveGuarded(t, 8, nil)
	dials := 0
	known.dial = func(ctx context.Context, address string) (net.Conn, error) {
		dials++
		return DialFrom("")(ctx, address)
	}
	for i := range 40 {
		hostile, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer hostile.Close()
		_, err = Call[echo](t.Context(), known, address, "echo", echo{fmt.Sprint(i)})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(dials).To(Equal(1))
	other := NewClient(DialFrom(""))
	defer other.Close()
	_, err := Call[echo](t.Context(), other, address, "echo", echo{"new"})
	g.Expect(err).NotTo(HaveOccurred())
}

// failingListener fails to accept a few times, as without descriptors.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, net.ErrClosed
}

// Guards against a daemon that accepts no peer any more after it had no descriptors for a moment.
func TestServeGoesOnAfterAFailedAccept(t *testing.T) {
	g := NewWithT(t)
	l := &failingListener{failures: 2}
	NewServer().Serve(t.Context(), l)
	g.Expect(l.failures).To(Equal(-1))
}

// Guards against frames that need more memory than largestHold says, so that one that was let in
// cannot be read to its end.
func TestFrameNeedsNoMoreThanItsLargestHold(t *testing.T) {
	for _, length := range []int64{0, 1, smallFrameBytes, smallFrameBytes + 1, 4 * smallFrameBytes, 4*smallFrameBytes + 1, 100_000, 1 << 20, 1<<20 + 1, 64<<20 - 1} {
		for _, first := range []int64{0, 100, smallFrameBytes, 50_000, 900_000} { // size of an earlier frame
			t.Run(fmt.Sprint(length, " after ", first), func(t *testing.T) {
				g := NewWithT(t)
				most, held := int64(0), int64(0)
				resize := func(n int64) bool {
					most, held = max(most, n), n
					return true
				}
				var b frameBuffer
				_, err := b.read(zeros{}, first, resize)
				g.Expect(err).NotTo(HaveOccurred())
				most = 0 // a buffer that is used again is held already
				got, err := b.read(zeros{}, length, resize)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got).To(HaveLen(int(length)))
				g.Expect(most).To(BeNumerically("<=", largestHold(length)))
				b.drop(0, resize)
				g.Expect(held).To(BeZero())
				g.Expect(len(b.buf)).To(BeNumerically("<=", smallFrameBytes))
			})
		}
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// Guards against a frame that is read on without memory.
func TestFrameWithoutMemoryEnds(t *testing.T) {
	var b frameBuffer
	_, err := b.read(zeros{}, 1<<20, func(n int64) bool { return n < 100<<10 })
	NewWithT(t).Expect(errors.Is(err, errNoRoom)).To(BeTrue())
}

// Guards against large calls that wait unread until their senders take the connection for lost, and against
// refusals without the beginning of the parameters, while a call holds the memory that they share.
func TestCallsThatDoNotFitAreRefusedOnTheirConnection(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := NewServer()
	running, finish := make(chan struct{}, 2), make(chan struct{})
	HandleRaw(s, "job", func(context.Context, json.RawMessage) (echo, error) {
		running <- struct{}{}
		<-finish
		return echo{"done"}, nil
	})
	ShareFrames(s, "job", func(_ context.Context, head []byte, bytes int64) (echo, error) {
		g.Expect(bytes).To(BeNumerically(">", 2<<20))
		return echo{}, result.New(result.Overloaded, "%s", head[:len(`{"text":"2`)])
	})
	Handle(s, "echo", func(_ context.Context, e echo) (echo, error) { return e, nil })
	budget := membudget.New(8 << 20)
	guard := NewGuard(8, budget, log.New(io.Discard))
	s.Protect(guard)
	go s.Serve(t.Context(), l)
	t.Cleanup(func() { l.Close(); s.Close() })
	first, second := NewClient(DialFrom("")), NewClient(DialFrom(""))
	t.Cleanup(first.Close)
	t.Cleanup(second.Close)
	job := func(c *Client, text string) (echo, error) {
		return Call[echo](t.Context(), c, l.Addr().String(), "job", echo{text + strings.Repeat("x", 2<<20)})
	}
	ended := make(chan error, 1)
	go func() {
		_, err := job(first, "1")
		ended <- err
	}()
	g.Eventually(running).Should(Receive())
	dials := 0
	second.dial = func(ctx context.Context, address string) (net.Conn, error) {
		dials++
		return DialFrom("")(ctx, address)
	}
	for range 2 {
		began := time.Now()
		_, err = job(second, "2")
		g.Expect(result.CodeOf(err)).To(Equal(result.Overloaded))
		g.Expect(result.From(err).Message).To(Equal(`{"text":"2`))
		g.Expect(time.Since(began)).To(BeNumerically(">=", shareWait))
	}
	large := echo{strings.Repeat("y", 2<<20)}
	r, err := Call[echo](t.Context(), second, l.Addr().String(), "echo", large)
	g.Expect(err).NotTo(HaveOccurred(), "other calls use the rest of the memory")
	g.Expect(r == large).To(BeTrue())
	close(finish)
	g.Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
	_, err = job(second, "2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(dials).To(Equal(1))
	g.Eventually(budget.Used, 10*time.Second).Should(BeZero())
	guard.mu.Lock()
	defer guard.mu.Unlock()
	g.Expect(guard.table.reserved).To(BeZero())
}
