package fenced

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/httpclient"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/sockopt"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

// leaseDuration is the duration of the lease in the tests.
const leaseDuration = 800 * time.Millisecond

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func fixedLease(term uint64, d time.Duration) Lease {
	l := control.Leadership{Term: term, Until: time.Now().Add(d)}
	return func() control.Leadership { return l }
}

// TestMain runs runPausingSender instead of the tests if PAUSING_SENDER is set, which is so
// in the child process of TestProcessStoppedAfterLeaseCheckDoesNotWrite.
func TestMain(m *testing.M) {
	if url := os.Getenv("PAUSING_SENDER"); url != "" {
		runPausingSender(url)
		return
	}
	os.Exit(m.Run())
}

// runPausingSender sends one order. Between the check of the lease and the system call it
// prints a line and pauses, so that the test can stop the process there.
func runPausingSender(url string) {
	s := NewSender(dialTCP, fixedLease(1, leaseDuration), 1)
	send := func(fd int, b []byte) (int, error) {
		_, _ = os.Stdout.WriteString("checked\n")
		time.Sleep(leaseDuration / 4) // the test stops the process here
		return sockopt.SendNonblocking(fd, b)
	}
	t := s.client.Transport.(*httpclient.Transport)
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		f := c.(fencedConn)
		f.send = send
		return f, err
	}
	_ = s.Post(context.Background(), url, VMOrder{Fence: 1}, nil)
}

// countingServer starts a server that counts the requests it receives.
func countingServer() (*httptest.Server, *atomic.Int32) {
	var n atomic.Int32
	return httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { n.Add(1) })), &n
}

func TestProcessStoppedAfterLeaseCheckDoesNotWrite(t *testing.T) {
	g := NewWithT(t)
	srv, received := countingServer()
	defer srv.Close()
	for _, stopped := range []bool{false, true} {
		received.Store(0)
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "PAUSING_SENDER="+srv.URL)
		out, err := cmd.StdoutPipe()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(cmd.Start()).To(Succeed())
		line, _ := bufio.NewReader(out).ReadString('\n')
		g.Expect(line).To(Equal("checked\n"))
		if !stopped {
			g.Expect(cmd.Wait()).To(Succeed())
			g.Expect(received.Load()).To(Equal(int32(1)), "the pause alone must not prevent the order from being sent")
			continue
		}
		g.Expect(cmd.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		time.Sleep(2 * leaseDuration)
		_ = cmd.Process.Signal(syscall.SIGCONT)
		g.Expect(cmd.Wait()).NotTo(Succeed(), "the watchdog must have killed the process")
		g.Consistently(received.Load, leaseDuration, 20*time.Millisecond).Should(BeZero())
	}
}

func TestPostRequiresLease(t *testing.T) {
	g := NewWithT(t)
	srv, received := countingServer()
	defer srv.Close()
	for _, lease := range []Lease{fixedLease(2, leaseDuration), fixedLease(1, minLeaseRemaining-time.Millisecond), fixedLease(0, 0)} {
		err := NewSender(dialTCP, lease, 1).Post(context.Background(), srv.URL, VMOrder{Fence: 1}, nil)
		g.Expect(result.CodeOf(err)).To(Equal(result.Fenced))
	}
	g.Expect(received.Load()).To(BeZero())
}

// Bytes that a receiver has not accepted must not reach it after the lease has ended. The
// kernel must abort the connection by itself.
func TestKernelDropsUnacknowledgedBytes(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	c, err := dialTCP(context.Background(), l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	peer, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer peer.Close()
	f, err := newFencedConn(c, fixedLease(1, 5*time.Second), 1)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.Write(make([]byte, 64<<20))
	g.Expect(err).To(MatchError(syscall.ETIMEDOUT))
	_, err = f.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(syscall.ETIMEDOUT), "the connection has not ended in order")
}

// Guards against a response with an invalid status that is taken for a success.
func TestResponseWithAnInvalidStatusIsNoSuccess(t *testing.T) {
	g := NewWithT(t)
	r := testkit.ServeRaw(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}")
	})
	err := NewSender(dialTCP, fixedLease(1, time.Minute), 1).Post(t.Context(), "http://"+r.Address, VMOrder{Fence: 1}, nil)
	g.Expect(result.CodeOf(err)).To(Equal(result.UpstreamFailed))
}

// Guards against a part of a response that is taken for the whole, because the receiver resets the
// connection while the request is being written.
func TestResponseThatIsResetUnderARequestIsNoSuccess(t *testing.T) {
	g := NewWithT(t)
	r := testkit.ServeRaw(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{}")
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
		c.Close()
	})
	order := VMOrder{Fence: 1, ID: strings.Repeat("x", 8<<20)}
	for range 20 {
		var reply VMOrderReply
		err := NewSender(dialTCP, fixedLease(1, time.Minute), 1).Post(t.Context(), "http://"+r.Address, order, &reply)
		g.Expect(result.CodeOf(err)).To(Equal(result.UpstreamFailed))
	}
}

// Guards against an order that goes where its response sends it: net/http would repeat it at
// another address, as another method.
func TestOrderDoesNotFollowRedirects(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		g := NewWithT(t)
		target, received := countingServer()
		srv := httptest.NewServer(http.RedirectHandler(target.URL, status))
		s := NewSender(dialTCP, fixedLease(1, time.Minute), 1)
		g.Expect(result.CodeOf(s.Post(t.Context(), srv.URL, VMOrder{Fence: 1}, nil))).To(Equal(result.UpstreamFailed))
		g.Expect(result.CodeOf(s.Get(t.Context(), srv.URL, nil))).To(Equal(result.UpstreamFailed))
		g.Expect(received.Load()).To(BeZero(), "status %d", status)
		srv.Close()
		target.Close()
	}
}

// Guards against a receiver in trouble that sends a head without end: its bytes must not be kept.
func TestHeadWithoutEndOfAReceiverIsCut(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	sent := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n := 0
		for err == nil {
			var m int
			m, err = c.Write([]byte("HTTP/1.1 103 Early Hints\r\nX: " + strings.Repeat("x", 1000) + "\r\n\r\n"))
			n += m
		}
		sent <- n
	}()
	s := NewSender(dialTCP, fixedLease(1, time.Minute), 1)
	began := time.Now()
	g.Expect(result.CodeOf(s.Post(t.Context(), "http://"+l.Addr().String(), VMOrder{Fence: 1}, nil))).To(Equal(result.UpstreamFailed))
	g.Expect(time.Since(began)).To(BeNumerically("<", requestTimeout))
	var n int
	g.Eventually(sent, time.Second).Should(Receive(&n))
	g.Expect(n).To(BeNumerically("<", 8<<20), "what the kernel buffers, not what a process keeps")
}
