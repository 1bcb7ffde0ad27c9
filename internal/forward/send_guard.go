package forward

import (
	"errors"
	"net"
	"sync"
)

var (
	errSealed      = errors.New("request was abandoned before it was sent")
	errAlreadySent = errors.New("request was already sent on another connection")
)

// sendGuard controls the writes of one request. It allows them on one connection only,
// after a last check, and never after the request was sealed. Therefore what seal returns
// cannot become false later.
type sendGuard struct {
	check func() error

	mu       sync.Mutex
	conn     net.Conn // connection on which the request is sent; nil before the first byte
	sealed   bool
	checkErr error // error of check
}

// allow is called before every write on conn and returns an error if the write must not
// happen.
func (s *sendGuard) allow(conn net.Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.conn == conn:
		return nil
	case s.conn != nil:
		return errAlreadySent
	case s.sealed:
		return errSealed
	}
	if s.checkErr = s.check(); s.checkErr != nil {
		s.sealed = true
		return s.checkErr
	}
	s.conn = conn
	return nil
}

// seal abandons the request. It reports whether any byte may have been sent, and the
// error of the last check.
func (s *sendGuard) seal() (sent bool, checkErr error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	return s.conn != nil, s.checkErr
}
