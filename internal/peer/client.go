package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// Timing of connections between daemons.
const (
	dialTimeout = 500 * time.Millisecond
	// redialPause keeps an unreachable address from being dialled by every
	// notice.
	redialPause = 200 * time.Millisecond
	// queueLength bounds the notices waiting for one address; newer ones are
	// dropped, as a network would.
	queueLength = 1024
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialFrom returns the Dialer of a daemon: its connections come from the IP of
// its own peer address.
func DialFrom(peerAddress string) Dialer {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: sockopt.UserTimeout(userTimeout)}
	if a, err := netip.ParseAddrPort(peerAddress); err == nil {
		d.LocalAddr = &net.TCPAddr{IP: a.Addr().AsSlice()}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// Client reaches the other daemons by address.
type Client struct {
	dial Dialer

	mu    sync.Mutex
	links map[string]*link
	done  bool
}

// NewClient returns a client that connects when first used.
func NewClient(dial Dialer) *Client {
	return &Client{dial: dial, links: map[string]*link{}}
}

// link is the connection to one address.
type link struct {
	address string
	dial    Dialer
	notices chan notice
	stop    chan struct{}

	mu      sync.Mutex
	conn    *jsonrpc2.Conn
	stream  *stream    // below conn
	heard   *heardConn // below conn
	retryAt time.Time
}

type notice struct {
	method string
	params func() ([]byte, error) // JSON
}

// quiet drops the library's own log lines: a lost connection is no news here.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

type discard struct{}

func (discard) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[address]
	if l == nil {
		l = &link{address: address, dial: c.dial, notices: make(chan notice, queueLength), stop: make(chan struct{})}
		c.links[address] = l
		if !c.done {
			go l.sendNotices()
		}
	}
	return l
}

// connect returns a working connection with its stream, or ErrUnreached.
func (l *link) connect(ctx context.Context) (*jsonrpc2.Conn, *stream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
			l.conn = nil
		default:
			return l.conn, l.stream, nil
		}
	}
	if time.Now().Before(l.retryAt) {
		return nil, nil, fmt.Errorf("%w: %s", ErrUnreachable, l.address)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := l.dial(ctx, l.address)
	if err != nil {
		l.retryAt = time.Now().Add(redialPause)
		return nil, nil, fmt.Errorf("%w: %v", ErrUnreachable, err)
	}
	l.heard = &heardConn{Conn: nc}
	l.stream = newStream(l.heard, nil)
	l.conn = jsonrpc2.NewConn(context.Background(), l.stream, discard{}, quiet)
	return l.conn, l.stream, nil
}

func (l *link) drop(conn *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
	_ = conn.Close()
}

func (l *link) sendNotices() {
	for {
		select {
		case <-l.stop:
			return
		case n := <-l.notices:
			conn, s, err := l.connect(context.Background())
			if err != nil {
				continue
			}
			if err := l.sendWaiting(s, n); err != nil {
				l.drop(conn)
			}
		}
	}
}

// sendWaiting sends n and the notices that wait behind it.
func (l *link) sendWaiting(s *stream, n notice) error {
	for {
		params, err := n.params()
		if err != nil {
			return err
		}
		s.writeNotice(n.method, params)
		select {
		case n = <-l.notices:
		default:
			return s.flush()
		}
	}
}

// Notify sends a notice without waiting; it may be lost.
func (c *Client) Notify(address, method string, params any) {
	c.NotifyAll([]string{address}, method, params)
}

// NotifyAll is Notify to many daemons; the notice is encoded once.
func (c *Client) NotifyAll(addresses []string, method string, params any) {
	n := notice{method, sync.OnceValues(func() ([]byte, error) { return json.Marshal(params) })}
	for _, a := range addresses {
		select {
		case c.link(a).notices <- n:
		default:
		}
	}
}

// Call runs a method of the daemon at address. Besides the coded errors of the
// other side it returns ErrUnreached, ErrLost or the error of ctx.
func Call[R any](ctx context.Context, c *Client, address, method string, params any) (R, error) {
	var r R
	l := c.link(address)
	conn, _, err := l.connect(ctx)
	if err != nil {
		return r, err
	}
	began := time.Now()
	err = conn.Call(ctx, method, params, &r)
	var rpc *jsonrpc2.Error
	switch {
	case err == nil:
		return r, nil
	case errors.As(err, &rpc):
		return r, decodeError(err)
	case ctx.Err() != nil:
		if time.Since(began) >= silentAfter && l.silentSince(conn, began) {
			l.drop(conn)
		}
		return r, ctx.Err()
	}
	l.drop(conn)
	return r, fmt.Errorf("%w: %v", ErrConnectionLost, err)
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	for _, l := range c.links {
		close(l.stop)
		l.mu.Lock()
		if l.conn != nil {
			_ = l.conn.Close()
		}
		l.mu.Unlock()
	}
}
