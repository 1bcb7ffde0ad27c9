package inbound

import (
	"cmp"
	"time"
)

// minWait is how long a connection must have waited to be closed before others. The head of an
// ordinary request is complete by then.
const minWait = 500 * time.Millisecond

// maxUnreadTime is how long a caller may take no byte of its answer before its connection may be closed
// for others. It is many times the round-trip time.
const maxUnreadTime = 5 * time.Second

// phase is what a connection is doing.
type phase int

const (
	waiting phase = iota // for the first byte of a request
	reading              // part of a request has arrived
	serving              // the request is complete and has not been answered
)

// state is what Table knows of a connection.
type state struct {
	phase phase
	since time.Time // when the phase began
	used  bool      // a request has been complete on it
	held  int64     // bytes of memory held for its request
	// unreadSince is since when the caller has taken no byte of its answer; zero: nothing is written.
	unreadSince time.Time
}

// Table decides which connections are closed when there are too many of them, or when the memory for
// their requests is in use. A connection whose request is complete is not closed as long as its caller
// takes the answer. C identifies a connection. Not safe for concurrent use.
type Table[C comparable] struct {
	max         int
	connections map[C]*state
}

// NewTable returns a table of at most max connections.
func NewTable[C comparable](max int) *Table[C] {
	return &Table[C]{max: max, connections: map[C]*state{}}
}

// Len returns the number of connections.
func (t *Table[C]) Len() int { return len(t.connections) }

// Open adds a connection. If that is one too many, it returns the connection to close for it, which
// is the new one if all others are being served, and the bytes that were held for that one.
func (t *Table[C]) Open(now time.Time, c C) (victim C, held int64, tooMany bool) {
	if tooMany = len(t.connections) >= t.max; tooMany {
		var found bool
		if victim, found = t.Victim(now, c); !found {
			return c, 0, true
		}
		held = t.Close(victim)
	}
	t.connections[c] = &state{since: now}
	return victim, held, tooMany
}

// Close removes a connection and returns the bytes that were held for it.
func (t *Table[C]) Close(c C) int64 {
	s := t.connections[c]
	if s == nil {
		return 0
	}
	delete(t.connections, c)
	return s.held
}

// Begin records that a part of a request has arrived.
func (t *Table[C]) Begin(now time.Time, c C) {
	if s := t.connections[c]; s != nil && s.phase == waiting {
		s.phase, s.since = reading, now
	}
}

// Complete records that a request is complete.
func (t *Table[C]) Complete(now time.Time, c C) {
	if s := t.connections[c]; s != nil {
		s.phase, s.since, s.used = serving, now, true
	}
}

// Answered records that a connection waits for its next request. It returns the bytes that were held
// for the last one.
func (t *Table[C]) Answered(now time.Time, c C) int64 {
	s := t.connections[c]
	if s == nil {
		return 0
	}
	held := s.held
	s.phase, s.since, s.held = waiting, now, 0
	return held
}

// Writing records that a part of an answer is being written, or that the caller has taken it.
func (t *Table[C]) Writing(now time.Time, c C, begins bool) {
	if s := t.connections[c]; s != nil {
		s.unreadSince = time.Time{}
		if begins {
			s.unreadSince = now
		}
	}
}

// Hold records that n more bytes are held for a connection. It returns false if the connection has
// been closed.
func (t *Table[C]) Hold(c C, n int64) bool {
	s := t.connections[c]
	if s != nil {
		s.held += n
	}
	return s != nil
}

// Victim returns the connection to close first, apart from one.
//
// Connections on which no request was ever complete come first, then those with an incomplete
// request, then idle ones, then those whose caller does not take the answer; among them the one that has
// waited longest. One that has waited for less than minWait comes last.
func (t *Table[C]) Victim(now time.Time, except C) (C, bool) {
	var victim C
	var worst *state
	for c, s := range t.connections {
		if c != except && (s.phase != serving || s.unread(now)) && (worst == nil || before(now, s, worst)) {
			victim, worst = c, s
		}
	}
	return victim, worst != nil
}

// Holder returns the connection with an incomplete request to close first, apart from one, so that
// its memory is free.
func (t *Table[C]) Holder(now time.Time, except C) (C, bool) {
	var victim C
	var worst *state
	for c, s := range t.connections {
		if c != except && s.phase == reading && (worst == nil || before(now, s, worst)) {
			victim, worst = c, s
		}
	}
	return victim, worst != nil
}

// unread reports whether the caller does not take its answer.
func (s *state) unread(now time.Time) bool {
	return !s.unreadSince.IsZero() && now.Sub(s.unreadSince) >= maxUnreadTime
}

// before reports whether a connection in state a is closed before one in state b.
func before(now time.Time, a, b *state) bool {
	if x, y := class(now, a), class(now, b); x != y {
		return x < y
	}
	return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) < 0
}

func class(now time.Time, s *state) int {
	switch {
	case now.Sub(s.since) < minWait:
		return 4
	case s.unread(now):
		return 3
	case !s.used:
		return 0
	case s.phase == reading:
		return 1
	}
	return 2
}
