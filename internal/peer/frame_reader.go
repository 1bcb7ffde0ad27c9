package peer

import (
	"net"
	"time"
)

// frameStallTimeout is how long the next bytes of a frame that has begun are awaited. A frozen peer
// must not keep the memory of half a frame; a slow link may take its time.
const frameStallTimeout = 10 * time.Second

// frameReader reads from a connection on which frames arrive. It is used by one goroutine.
type frameReader struct {
	conn    net.Conn
	inFrame bool // a frame has begun and is not complete
	limited bool // the connection has a read deadline
}

// Read implements io.Reader. Between two frames it waits without a limit.
func (r *frameReader) Read(b []byte) (int, error) {
	if r.inFrame || r.limited {
		var deadline time.Time
		if r.inFrame {
			deadline = time.Now().Add(frameStallTimeout)
		}
		if err := r.conn.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		r.limited = r.inFrame
	}
	return r.conn.Read(b)
}
