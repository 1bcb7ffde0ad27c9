package peer

import (
	"slices"
	"time"
)

const (
	// maxIdleTime is how long a connection must have carried no message to be closed for a new one.
	// A daemon that is alive sends more often, or dials again at the next use without a loss.
	maxIdleTime = time.Minute
	// relayShare is the part of the connections that may be relayed to upstreams. The others are
	// left for calls and notices.
	relayShare = 0.5
)

// connState is what a table knows of a connection.
type connState struct {
	since   time.Time // when it was opened, or when its newest message was complete
	used    bool      // a message has been complete on it
	relayed bool      // it is passed on to an upstream
	closing bool      // it has been closed, and its goroutine has not ended
	held    int64     // bytes of memory held for its frame
	// reserved is the most that its frame will hold if it is a call of a method of
	// ShareFrames, else 0.
	reserved int64
}

// table decides which connections of the peer listener are closed when there are too many of them,
// or when the memory for their frames is in use. Connections on which no message was ever complete
// are closed first, those that were opened first before others: a daemon sends a message at once. C
// identifies a connection. Not safe for concurrent use.
type table[C comparable] struct {
	max         int
	connections map[C]*connState
	relayed     int
	closing     int
	freeing     int64 // bytes held for connections that are closing
	first       int64 // bytes held for first messages of connections
	reserved    int64 // bytes reserved for calls of methods of ShareFrames, until their handlers return
	waiting     []waiter[C]
}

func newTable[C comparable](max int) *table[C] {
	return &table[C]{max: max, connections: map[C]*connState{}}
}

// len returns the number of connections that are not closing.
func (t *table[C]) len() int { return len(t.connections) - t.closing }

// open adds a connection. If that is one too many, it returns the one to close for it, which is the
// new one if no other may be closed. The new one is then not added.
func (t *table[C]) open(now time.Time, c C) (victim C, tooMany bool) {
	if tooMany = t.len() >= t.max; tooMany {
		var found bool
		if victim, found = t.oldest(func(s *connState) bool { return !s.used }); !found {
			victim, found = t.oldest(func(s *connState) bool { return !s.relayed && s.held == 0 && now.Sub(s.since) >= maxIdleTime })
		}
		if !found {
			return c, true
		}
		t.close(victim)
	}
	t.connections[c] = &connState{since: now}
	return victim, tooMany
}

// close records that a connection has been closed. Its memory is free when its goroutine has ended.
func (t *table[C]) close(c C) {
	if s := t.connections[c]; s != nil && !s.closing {
		s.closing = true
		t.closing++
		t.freeing += s.held
	}
}

// ended removes a connection and returns the bytes that were held for it.
func (t *table[C]) ended(c C) int64 {
	s := t.connections[c]
	if s == nil {
		return 0
	}
	held := t.resize(c, 0)
	t.unreserve(c)
	t.leave(c)
	if s.closing {
		t.closing--
	}
	if s.relayed {
		t.relayed--
	}
	delete(t.connections, c)
	return held
}

// complete records that a message is complete.
func (t *table[C]) complete(now time.Time, c C) {
	if s := t.connections[c]; s != nil {
		if !s.used {
			t.first -= s.held
		}
		s.since, s.used = now, true
	}
}

// relay records that a connection is passed on to an upstream. It returns false if there are too
// many of them.
func (t *table[C]) relay(now time.Time, c C) bool {
	s := t.connections[c]
	if s != nil && s.relayed {
		return true
	}
	if s == nil || s.closing || t.relayed >= int(relayShare*float64(t.max)) {
		return false
	}
	t.relayed++
	s.relayed = true
	t.complete(now, c)
	return true
}

// resize records that n bytes are held for a connection, and returns how many were.
func (t *table[C]) resize(c C, n int64) (before int64) {
	s := t.connections[c]
	if s == nil {
		return 0
	}
	before, s.held = s.held, n
	if s.closing {
		t.freeing += n - before
	}
	if !s.used {
		t.first += n - before
	}
	return before
}

// waiter is a connection whose frame waits for a reservation.
type waiter[C comparable] struct {
	c C
	n int64
}

// reserve reserves n bytes of limit for the frame that begins on a connection. It returns false if they
// are not free; the connection then waits in the order of the first calls, so that large frames are not
// passed by small ones for ever. A single frame may have more than limit. All of a frame is reserved
// before it is read: frames that have arrived in part would otherwise wait for each other. First messages
// need no reservation, because they have a share of their own.
func (t *table[C]) reserve(c C, n, limit int64) bool {
	s := t.connections[c]
	if s == nil || s.closing || !s.used {
		t.leave(c)
		return true
	}
	ahead := t.reserved
	at := slices.IndexFunc(t.waiting, func(w waiter[C]) bool { return w.c == c })
	if at < 0 {
		at = len(t.waiting)
		t.waiting = append(t.waiting, waiter[C]{c, n})
	}
	for _, w := range t.waiting[:at] {
		ahead += w.n
	}
	if ahead > 0 && ahead+n > limit {
		return false
	}
	t.leave(c)
	s.reserved = n
	t.reserved += n
	return true
}

// leave ends the wait of a connection for a reservation.
func (t *table[C]) leave(c C) {
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter[C]) bool { return w.c == c })
}

// unreserve gives the reservation of a connection back.
func (t *table[C]) unreserve(c C) {
	if s := t.connections[c]; s != nil {
		t.reserved -= s.reserved
		s.reserved = 0
	}
}

// detach makes the memory held and reserved for the frame of a connection independent of the
// connection, and returns both. reserved must be subtracted from that of the table in the end.
func (t *table[C]) detach(c C) (held, reserved int64) {
	s := t.connections[c]
	if s == nil {
		return 0, 0
	}
	reserved, s.reserved = s.reserved, 0
	return t.resize(c, 0), reserved
}

// crowded reports whether first messages may not hold n more bytes for a connection because they hold
// limit bytes together then. A single one may hold more.
func (t *table[C]) crowded(c C, n, limit int64) bool {
	s := t.connections[c]
	return s != nil && !s.used && t.first > s.held && t.first+n > limit
}

// holder returns the connection to close so that its memory is free, apart from one.
func (t *table[C]) holder(except C) (C, bool) {
	own := t.connections[except]
	return t.oldest(func(s *connState) bool { return s != own && !s.used && s.held > 0 })
}

// oldest returns the connection that matches and has carried no message for the longest time.
func (t *table[C]) oldest(matches func(*connState) bool) (C, bool) {
	var victim C
	var first *connState
	for c, s := range t.connections {
		if !s.closing && matches(s) && (first == nil || s.since.Before(first.since)) {
			victim, first = c, s
		}
	}
	return victim, first != nil
}
