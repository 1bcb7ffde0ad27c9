package ratecap

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/peer"
)

// Methods between daemons.
const (
	// MethodAcquire asks the leader for a token, and reports observations to it:
	// AcquireRequest -> AcquireReply.
	MethodAcquire = "rate.acquire"
	// MethodCaps is the notice by which the leader tells the caps: []SentCap.
	MethodCaps = "rate.caps"
)

// AcquireRequest asks for one token. Without an upstream it only reports.
type AcquireRequest struct {
	Upstream    string            `json:"id,omitempty"`
	Incarnation int64             `json:"inc,omitempty"`
	Purpose     Purpose           `json:"for,omitempty"`
	Seen        []SentObservation `json:"seen,omitempty"`
	All         bool              `json:"all,omitempty"` // asks for all caps
	// ColdRate is set if the upstream is cold: the requests a second that it takes.
	ColdRate float64 `json:"cold_rate,omitempty"`
}

// AcquireReply is the leader's reply, or the address of the leader from another replica.
type AcquireReply struct {
	Leader  string    `json:"leader,omitempty"` // peer address; the replica that was asked does not lead
	Granted bool      `json:"ok,omitempty"`
	WaitMs  int64     `json:"wait_ms,omitempty"` // until there may be a token; 0 if granted
	Caps    []SentCap `json:"caps,omitempty"`    // of the upstream, or all
	// Cold is set if ColdRate was applied. A leader of an older build grants without it.
	Cold bool `json:"cold,omitempty"`
}

// SentObservation is an Observation between two daemons, whose clocks differ.
type SentObservation struct {
	ID          string  `json:"id"`
	Incarnation int64   `json:"inc"`
	Rate        float64 `json:"rate,omitempty"`
	SentMs      int64   `json:"sent_ms"` // time since the request was sent
	AgeMs       int64   `json:"ms"`      // time since the answer came
}

// SentCap is a Cap between two daemons, whose clocks differ.
type SentCap struct {
	ID          string  `json:"id"`
	Incarnation int64   `json:"inc"`
	Rate        float64 `json:"rate"`
	NamedMs     int64   `json:"ms"`              // time since the rate was last named
	Ended       bool    `json:"ended,omitempty"` // the rate is no longer named
	EndedMs     int64   `json:"ended_ms,omitempty"`
}

func (o Observation) toSend(now time.Time) SentObservation {
	return SentObservation{ID: o.ID, Incarnation: o.Incarnation, Rate: o.Rate, SentMs: now.Sub(o.SentAt).Milliseconds(), AgeMs: now.Sub(o.At).Milliseconds()}
}

func (s SentObservation) received(now time.Time) Observation {
	return Observation{ID: s.ID, Incarnation: s.Incarnation, Rate: s.Rate, SentAt: ago(now, s.SentMs), At: ago(now, s.AgeMs)}
}

func (c Cap) toSend(now time.Time, id string) SentCap {
	s := SentCap{ID: id, Incarnation: c.Incarnation, Rate: c.Rate, NamedMs: now.Sub(c.NamedAt).Milliseconds()}
	if !c.EndedAt.IsZero() {
		s.Ended, s.EndedMs = true, now.Sub(c.EndedAt).Milliseconds()
	}
	return s
}

func (s SentCap) received(now time.Time) Cap {
	c := Cap{Incarnation: s.Incarnation, Rate: s.Rate, NamedAt: ago(now, s.NamedMs)}
	if s.Ended {
		c.EndedAt = ago(now, s.EndedMs)
	}
	return c
}

// valid reports whether a received rate may be used.
func (s SentCap) valid() bool { return s.ID != "" && s.Rate > 0 && s.Rate <= MaxRate }

func (s SentObservation) valid() bool { return s.ID != "" && s.Rate >= 0 && s.Rate <= MaxRate }

func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// AskOver returns a Deployment's Ask that calls the other daemons through c.
func AskOver(c *peer.Client) func(context.Context, string, AcquireRequest) (AcquireReply, error) {
	return func(ctx context.Context, address string, q AcquireRequest) (AcquireReply, error) {
		return peer.Call[AcquireReply](ctx, c, address, MethodAcquire, q)
	}
}
