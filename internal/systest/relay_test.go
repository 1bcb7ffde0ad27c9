package systest

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// tcpClose is the TCP state of a connection after a reset by its peer.
const tcpClose = 7

// wasReset reports whether the peer has reset the connection or its state is unknown.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err != nil || info.State == tcpClose
	})
	return reset || err != nil
}

// network relays the connections between daemons, and those from daemons to the receivers
// of orders and reports. It can block them silently: connections are neither refused nor
// closed, but no bytes are forwarded.
type network struct {
	mu      sync.Mutex
	blocked map[[2]string]bool // by source and destination IP

	bytes map[string]int64 // sent and received, by IP
}

func newNetwork() *network {
	return &network{blocked: map[[2]string]bool{}, bytes: map[string]int64{}}
}

// addBytes counts k bytes that were forwarded.
func (n *network) addBytes(from, to string, k int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[from] += int64(k)
	n.bytes[to] += int64(k)
}

// transferred returns the number of bytes that ip has sent and received.
func (n *network) transferred(ip string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[ip]
}

// setBlocked blocks or unblocks the connections between two addresses in both directions.
func (n *network) setBlocked(a, b string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{a, b}] = blocked
	n.blocked[[2]string{b, a}] = blocked
}

// isBlocked reports whether the connections from one address to the other are blocked.
func (n *network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[[2]string{from, to}]
}

// relay accepts connections at address and forwards them to target until stop is closed.
func (n *network) relay(address, target string, stop <-chan struct{}) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		<-stop
		l.Close()
	}()
	to, _, _ := net.SplitHostPort(address)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
			go n.forward(c, from, to, target, stop)
		}
	}()
	return nil
}

// forward forwards the connection c to target. It connects to target once the addresses are
// not blocked, but not if the caller has reset c by then.
func (n *network) forward(c net.Conn, from, to, target string, stop <-chan struct{}) {
	n.waitUntilUnblocked(from, to, stop)
	if wasReset(c) {
		c.Close()
		return
	}
	d, err := net.Dial("tcp", target)
	if err != nil {
		c.Close()
		return
	}
	go n.copy(d, c, from, to, stop)
	n.copy(c, d, to, from, stop)
}

// copy copies bytes from src to dst, except while the addresses are blocked.
func (n *network) copy(dst, src net.Conn, from, to string, stop <-chan struct{}) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, 64<<10)
	for {
		k, err := src.Read(buf)
		n.waitUntilUnblocked(from, to, stop)
		if wasReset(src) {
			return // a real network does not deliver the data of a connection that its sender has reset
		}
		if k > 0 {
			n.addBytes(from, to, k)
			if _, err := dst.Write(buf[:k]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUntilUnblocked waits until the addresses are not blocked or stop is closed.
func (n *network) waitUntilUnblocked(from, to string, stop <-chan struct{}) {
	for n.isBlocked(from, to) {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}
