package forward

import (
	"errors"
	"net"
	"sync"
)

var (
	errSealed = errors.New("the request was given up before it was sent")
	errTwice  = errors.New("the request was sent before")
)

// sending watches the bytes of one request. It lets them go on one connection
// only, after a last check, and never after the request was given up. So what
// seal says of the request stays true.
type sending struct {
	check func() error

	mu     sync.Mutex
	conn   net.Conn // on which the request is sent; nil before the first byte
	sealed bool
	failed error // what check found
}

// allow is asked before every write on conn.
func (s *sending) allow(conn net.Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.conn == conn:
		return nil
	case s.conn != nil:
		return errTwice
	case s.sealed:
		return errSealed
	}
	if s.failed = s.check(); s.failed != nil {
		s.sealed = true
		return s.failed
	}
	s.conn = conn
	return nil
}

// seal gives the request up and reports whether any byte may have left, and
// what the last check found.
func (s *sending) seal() (sent bool, failed error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	return s.conn != nil, s.failed
}
