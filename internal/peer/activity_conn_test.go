package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

type echo struct {
	Text string `json:"text"`
}

// A connection goes silent without a reset while new connections work. The call that times
// out must close it, and the next call must open another one.
func TestSilentConnectionIsClosed(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	s := NewServer()
	Handle(s, "echo", func(_ context.Context, e echo) (echo, error) { return e, nil })
	defer s.Close()
	go s.Serve(context.Background(), l)

	var dials atomic.Int32
	c := NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			clientSide, serverSide := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, serverSide) }() // reads everything and never replies
			return clientSide, nil
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
	defer c.Close()

	call := func() (echo, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*minSilence)
		defer cancel()
		return Call[echo](ctx, c, l.Addr().String(), "echo", echo{"x"})
	}
	_, err = call()
	g.Expect(err).To(HaveOccurred())
	g.Eventually(func() error {
		got, err := call()
		if err == nil && got.Text != "x" {
			return errors.New("unexpected reply")
		}
		return err
	}, 3*time.Second, 50*time.Millisecond).Should(Succeed())
	g.Expect(dials.Load()).To(Equal(int32(2)))
}

// A slow reply must not close a connection on which other replies arrive.
func TestBusyConnectionStaysOpen(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	s := NewServer()
	release := make(chan struct{})
	Handle(s, "slow", func(_ context.Context, e echo) (echo, error) { <-release; return e, nil })
	Handle(s, "echo", func(_ context.Context, e echo) (echo, error) { return e, nil })
	defer s.Close()
	defer close(release)
	go s.Serve(context.Background(), l)
	var dials atomic.Int32
	c := NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*minSilence)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = Call[echo](ctx, c, l.Addr().String(), "slow", echo{"x"})
	}()
	for ctx.Err() == nil {
		callCtx, callCancel := context.WithTimeout(context.Background(), time.Second)
		_, err := Call[echo](callCtx, c, l.Addr().String(), "echo", echo{"x"})
		callCancel()
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
	}
	<-done
	_, err = Call[echo](context.Background(), c, l.Addr().String(), "echo", echo{"x"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(dials.Load()).To(Equal(int32(1)))
}
