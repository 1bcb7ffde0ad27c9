package member

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
)

// ZoneCall asks a relay to make a call to all other daemons of its availability zone, and
// to handle it itself.
type ZoneCall struct {
	Method  string          `json:"method"`
	Params  json.RawMessage `json:"params"`
	Timeout time.Duration   `json:"timeout"` // nanoseconds
	Caller  string          `json:"caller"`  // peer address of the daemon that asks, which is left out
}

// ZoneReply counts the daemons that were called.
type ZoneReply struct {
	Called    int `json:"called"`
	Confirmed int `json:"confirmed"` // that replied without an error
}

// relayReplyMargin is the time that a relay leaves for its reply to arrive.
const relayReplyMargin = 60 * time.Millisecond

// ConfirmAll makes a call to all other daemons that are up, and waits until they have
// replied or timeout has passed. It returns how many it called, and how many replied
// without an error. In a large deployment one relay in each availability zone makes the
// calls there. The daemons of a zone whose relay does not reply in half of the time are
// called directly.
func (g *Gossip) ConfirmAll(ctx context.Context, method string, params any, timeout time.Duration) (ZoneReply, error) {
	raw, err := json.Marshal(params)
	if err != nil {
		return ZoneReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !g.Large() {
		return g.confirm(ctx, g.Others(), method, raw), nil
	}
	own := g.self().PeerAddress
	call := ZoneCall{Method: method, Params: raw, Timeout: timeout/2 - relayReplyMargin, Caller: own}
	var mu sync.Mutex
	var sum ZoneReply
	var wg sync.WaitGroup
	for zone, relay := range g.relays() {
		wg.Go(func() {
			r, err := g.callZone(ctx, relay, call, timeout/2)
			if err != nil {
				r = g.confirm(ctx, g.zone(zone), method, raw)
			}
			mu.Lock()
			defer mu.Unlock()
			sum.Called += r.Called
			sum.Confirmed += r.Confirmed
		})
	}
	wg.Wait()
	return sum, nil
}

// callZone asks the relay at an address to make a call. It returns an error if the relay is
// this daemon, or does not reply within timeout.
func (g *Gossip) callZone(ctx context.Context, relay string, call ZoneCall, timeout time.Duration) (ZoneReply, error) {
	if relay == call.Caller {
		return ZoneReply{}, result.New(result.Internal, "this daemon is the relay")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return peer.Call[ZoneReply](ctx, g.client, relay, MethodConfirmZone, call)
}

// confirm calls the daemons at addresses.
func (g *Gossip) confirm(ctx context.Context, addresses []string, method string, params json.RawMessage) ZoneReply {
	var confirmed atomic.Int64
	var wg sync.WaitGroup
	for _, a := range addresses {
		wg.Go(func() {
			if _, err := peer.Call[json.RawMessage](ctx, g.client, a, method, params); err == nil {
				confirmed.Add(1)
			}
		})
	}
	wg.Wait()
	return ZoneReply{Called: len(addresses), Confirmed: int(confirmed.Load())}
}

// handleZoneCall makes a call to this daemon and to the others of its availability zone.
func (g *Gossip) handleZoneCall(ctx context.Context, q ZoneCall) (ZoneReply, error) {
	if q.Method == MethodConfirmZone {
		return ZoneReply{}, result.New(result.BodyMalformed, "calls through relays are not nested")
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	var addresses []string
	for _, a := range append(g.zone(g.self().Zone), g.self().PeerAddress) {
		if a != q.Caller {
			addresses = append(addresses, a)
		}
	}
	return g.confirm(ctx, addresses, q.Method, q.Params), nil
}
