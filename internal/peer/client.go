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
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// Timing of connections between daemons.
const (
	dialTimeout = 500 * time.Millisecond
	// redialDelay is the time after a failed dial in which the address is not dialled
	// again. Otherwise every notice would dial an unreachable address.
	redialDelay = 200 * time.Millisecond
	// maxQueuedNotices bounds the queue of notices to one address. When it is full, new
	// notices are discarded, as on a lossy network.
	maxQueuedNotices = 1024
)

// methodHello is the notice that a client sends first on each connection. It has no handler and makes
// the other daemon see at once that the connection carries messages, however large the next one is.
const methodHello = "peer.Hello"

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialFrom returns a Dialer whose connections have the IP of the daemon's own peer
// address as their source. It lets the system choose the source if peerAddress is invalid.
func DialFrom(peerAddress string) Dialer {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: sockopt.UserTimeout(userTimeout)}
	if a, err := netip.ParseAddrPort(peerAddress); err == nil {
		d.LocalAddr = &net.TCPAddr{IP: a.Addr().AsSlice()}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// Client sends calls and notices to other daemons, by peer address.
type Client struct {
	dial Dialer

	mu        sync.Mutex
	endpoints map[string]*endpoint
	closed    bool
}

// NewClient returns a client that connects to an address on first use.
func NewClient(dial Dialer) *Client {
	return &Client{dial: dial, endpoints: map[string]*endpoint{}}
}

// endpoint is one peer address with its connection and its queue of notices.
type endpoint struct {
	address string
	dial    Dialer
	notices chan notice
	stop    chan struct{}

	mu       sync.Mutex
	conn     *jsonrpc2.Conn
	stream   *stream       // object stream of conn
	activity *activityConn // network connection of stream
	retryAt  time.Time     // no dial before this time
	failure  error         // of the last dial; set with retryAt

	dialing atomic.Bool // mu is held for a dial
}

// notice is a queued notice. params encodes its parameters as JSON on first use.
type notice struct {
	method string
	params func() ([]byte, error)
}

// discardLibraryLogs discards the log lines of the JSON-RPC library. Lost connections are
// expected and need no log line.
var discardLibraryLogs = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// ignoreRequests ignores the requests that a daemon sends on a connection from this client.
type ignoreRequests struct{}

func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// endpoint returns the endpoint for address and creates it if necessary.
func (c *Client) endpoint(address string) *endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[address]
	if e == nil {
		e = &endpoint{address: address, dial: c.dial, notices: make(chan notice, maxQueuedNotices), stop: make(chan struct{})}
		c.endpoints[address] = e
		if !c.closed {
			go e.sendNotices()
		}
	}
	return e
}

// connect returns the current connection with its stream, and dials if there is none. It
// returns ErrUnreachable if the dial fails or redialDelay has not passed since a failed one.
func (e *endpoint) connect(ctx context.Context) (*jsonrpc2.Conn, *stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		select {
		case <-e.conn.DisconnectNotify():
			e.conn = nil
		default:
			return e.conn, e.stream, nil
		}
	}
	if time.Now().Before(e.retryAt) {
		return nil, nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, e.address, e.failure)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	e.dialing.Store(true)
	nc, err := e.dial(ctx, e.address)
	e.dialing.Store(false)
	if err != nil {
		e.retryAt, e.failure = time.Now().Add(redialDelay), err
		return nil, nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	e.activity = &activityConn{Conn: nc}
	e.stream = newStream(e.activity, nil)
	e.stream.writeNotice(methodHello, []byte("{}")) // sent with the next message
	e.conn = jsonrpc2.NewConn(context.Background(), e.stream, ignoreRequests{}, discardLibraryLogs)
	return e.conn, e.stream, nil
}

// Connected reports whether the client holds a connection to address. It does not wait for a dial.
func (c *Client) Connected(address string) bool {
	c.mu.Lock()
	e := c.endpoints[address]
	c.mu.Unlock()
	if e == nil || e.dialing.Load() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil {
		return false
	}
	select {
	case <-e.conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

// Connect opens a connection to address unless the client holds one.
func (c *Client) Connect(ctx context.Context, address string) error {
	_, _, err := c.endpoint(address).connect(ctx)
	return err
}

// Connections returns the number of connections that the client holds.
func (c *Client) Connections() int {
	c.mu.Lock()
	endpoints := make([]*endpoint, 0, len(c.endpoints))
	for _, e := range c.endpoints {
		endpoints = append(endpoints, e)
	}
	c.mu.Unlock()
	n := 0
	for _, e := range endpoints {
		if e.mu.TryLock() { // not while it dials
			if e.conn != nil {
				n++
			}
			e.mu.Unlock()
		}
	}
	return n
}

// closeConn closes conn, so that the next use dials again.
func (e *endpoint) closeConn(conn *jsonrpc2.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == conn {
		e.conn = nil
	}
	_ = conn.Close()
}

func (e *endpoint) sendNotices() {
	for {
		select {
		case <-e.stop:
			return
		case n := <-e.notices:
			conn, s, err := e.connect(context.Background())
			if err != nil {
				continue
			}
			if err := e.sendQueued(s, n); err != nil {
				e.closeConn(conn)
			}
		}
	}
}

// sendQueued sends n and all notices queued after it.
func (e *endpoint) sendQueued(s *stream, n notice) error {
	for {
		params, err := n.params()
		if err != nil {
			return err
		}
		s.writeNotice(n.method, params)
		select {
		case n = <-e.notices:
		default:
			return s.flush()
		}
	}
}

// Notify queues a notice and returns immediately. The notice may be lost.
func (c *Client) Notify(address, method string, params any) {
	c.NotifyAll([]string{address}, method, params)
}

// NotifyAll is Notify for several addresses. The notice is encoded once.
func (c *Client) NotifyAll(addresses []string, method string, params any) {
	n := notice{method, sync.OnceValues(func() ([]byte, error) { return json.Marshal(params) })}
	for _, a := range addresses {
		select {
		case c.endpoint(a).notices <- n:
		default:
		}
	}
}

// Call calls a method of the daemon at address. It returns the coded errors of that
// daemon, ErrUnreachable, ErrConnectionLost or the error of ctx.
func Call[R any](ctx context.Context, c *Client, address, method string, params any) (R, error) {
	var r R
	e := c.endpoint(address)
	conn, _, err := e.connect(ctx)
	if err != nil {
		return r, err
	}
	startedAt := clock.Now()
	err = conn.Call(ctx, method, params, &r)
	var rpc *jsonrpc2.Error
	switch {
	case err == nil:
		return r, nil
	case errors.As(err, &rpc):
		return r, decodeError(err)
	case ctx.Err() != nil:
		if clock.Now()-startedAt >= minSilence && e.nothingReadSince(conn, startedAt) {
			e.closeConn(conn)
		}
		return r, ctx.Err()
	}
	e.closeConn(conn)
	return r, fmt.Errorf("%w: %v", ErrConnectionLost, err)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	for _, e := range c.endpoints {
		close(e.stop)
		e.mu.Lock()
		if e.conn != nil {
			_ = e.conn.Close()
		}
		e.mu.Unlock()
	}
}
