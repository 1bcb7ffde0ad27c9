package ratecap

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// A cold upstream whose service has a bound counts as one that names the bound as its rate, with
// stricter terms. In any second it may get one and a half times its bound and 5 requests. A
// bucket issues at most minBurst + bound x (1 s + ColdTokenTTL) tokens that can be used within
// one second, and a new leader one more.
const (
	// ColdTokenTTL is how long a token for a cold upstream may be used, counted from before it
	// was asked for. A daemon that was frozen meanwhile finds that it has run out.
	ColdTokenTTL = 300 * time.Millisecond
	// maxColdTokens bounds the tokens for cold upstreams of one service that a daemon holds or
	// asks for. More would run out unused while other daemons lack them.
	maxColdTokens = 4
	// coldAsksPerToken is how many times as often as there are tokens the daemons together ask
	// for those of a cold upstream that has none left.
	coldAsksPerToken = 3
	// leaderlessHold is the time for which a daemon without a leader asks for no tokens.
	leaderlessHold = 100 * time.Millisecond
	// coldRetention is how long the bucket of a cold upstream is kept after its last use.
	coldRetention = 10 * time.Second
)

var (
	coldPeriods  = metrics.NewCounter("apricotstream_upstream_cold_total")
	coldRequests = metrics.NewCounter("apricotstream_upstream_cold_requests_total")
	coldGranted  = metrics.NewCounter(`apricotstream_upstream_cold_tokens_total{outcome="granted"}`)
	coldDenied   = metrics.NewCounter(`apricotstream_upstream_cold_tokens_total{outcome="denied"}`)
	coldUnused   = metrics.NewCounter(`apricotstream_upstream_cold_tokens_total{outcome="unused"}`)
)

// coldUpstream is what a Keeper holds for a cold upstream.
type coldUpstream struct {
	announced upstream.Announcement
	rate      float64
	tokens    []coldToken
	asking    [ForControl]bool
	holds     [ForControl]time.Time // until when no token is asked for
}

// coldToken allows one request. A token that was issued for a caller is not used for
// background work, which the leader serves last.
type coldToken struct {
	purpose Purpose
	sendBy  time.Time
}

// take removes a token for p that has not run out.
func (x *coldUpstream) take(now time.Time, p Purpose) (sendBy time.Time, ok bool) {
	x.dropExpired(now)
	i := slices.IndexFunc(x.tokens, func(t coldToken) bool { return t.purpose == p || p == ForCaller })
	if i < 0 {
		return time.Time{}, false
	}
	sendBy = x.tokens[i].sendBy
	x.tokens = slices.Delete(x.tokens, i, i+1)
	return sendBy, true
}

func (x *coldUpstream) dropExpired(now time.Time) {
	held := len(x.tokens)
	x.tokens = slices.DeleteFunc(x.tokens, func(t coldToken) bool { return !now.Before(t.sendBy) })
	coldUnused.Add(held - len(x.tokens))
}

// wait returns how long a request need not be tried.
func (x *coldUpstream) wait(now time.Time, p Purpose) time.Duration {
	x.dropExpired(now)
	for _, t := range x.tokens {
		if t.purpose == p || p == ForCaller {
			return 0
		}
	}
	return max(x.holds[p].Sub(now), 0)
}

// whileCold returns the cap of a cold upstream that takes the given number of requests a
// second, and may name a lower rate.
func (c Cap) whileCold(now time.Time, rate float64, incarnation int64, named bool) Cap {
	if named {
		rate = min(rate, c.RateAt(now))
	}
	return Cap{Incarnation: incarnation, Rate: rate, cold: true}
}

// coldRate returns the number of requests a second that an upstream takes because it is cold,
// or 0 if that sets no bound.
func (k *Keeper) coldRate(now time.Time, a upstream.Announcement) float64 {
	if k.deployment.ColdRate == nil || !a.Cold(now) {
		return 0
	}
	return min(k.deployment.ColdRate(a.Service), MaxRate)
}

// ColdBound reports whether an upstream gets requests by tokens only because it is cold.
func (k *Keeper) ColdBound(now time.Time, a upstream.Announcement) bool {
	return k.coldRate(now, a) > 0
}

// ColdWait returns how long a cold upstream gets no requests of a purpose; 0 if one may be tried
// now, or if the upstream is not cold.
func (k *Keeper) ColdWait(now time.Time, a upstream.Announcement, p Purpose) time.Duration {
	if k.coldRate(now, a) <= 0 {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if c, _ := k.bound(now, a); !c.cold {
		return 0
	}
	return k.cold[a.ID].wait(now, p)
}

// unbounded reports without a lock that nothing bounds the requests to an upstream.
func (k *Keeper) unbounded(now time.Time, a upstream.Announcement) bool {
	return k.known.Load() == 0 && k.knownCold.Load() == 0 && k.coldRate(now, a) <= 0
}

// bound returns the cap of an upstream that names a rate or is cold. The caller holds k.mu.
func (k *Keeper) bound(now time.Time, a upstream.Announcement) (Cap, bool) {
	c, named := k.recorder.table.Get(now, a.ID, a.Incarnation)
	rate := k.coldRate(now, a)
	if rate <= 0 {
		if x := k.cold[a.ID]; x != nil && a.Incarnation >= x.announced.Incarnation {
			k.endCold(now, x)
		}
		return c, named
	}
	x := k.cold[a.ID]
	if x == nil || x.announced.Incarnation < a.Incarnation {
		coldPeriods.Inc()
		k.log.Info("Upstream is cold.", "upstream", a.ID, "service", a.Service, "incarnation", a.Incarnation, "zone", a.Zone, "for_ms", time.UnixMilli(a.ColdUntil).Sub(now).Milliseconds(), "rate", rate)
		x = &coldUpstream{}
		k.cold[a.ID] = x
		k.knownCold.Store(int64(len(k.cold)))
	}
	if a.Incarnation >= x.announced.Incarnation {
		x.announced, x.rate = a, rate
	}
	return c.whileCold(now, rate, a.Incarnation, named), true
}

// endCold forgets an upstream that is no longer cold. The caller holds k.mu.
func (k *Keeper) endCold(now time.Time, x *coldUpstream) {
	a := x.announced
	coldUnused.Add(len(x.tokens))
	delete(k.cold, a.ID)
	k.knownCold.Store(int64(len(k.cold)))
	k.log.Info("Upstream is no longer cold.", "upstream", a.ID, "service", a.Service, "incarnation", a.Incarnation, "zone", a.Zone, "announced_left_ms", time.UnixMilli(a.ColdUntil).Sub(now).Milliseconds())
}

// acquireCold takes a token for a request to a cold upstream. On the leader it is issued at
// once. Another daemon uses one that it holds, or asks the leader for one without waiting for
// it: meanwhile the request can go to another upstream. The caller holds k.mu.
func (k *Keeper) acquireCold(now time.Time, a upstream.Announcement, c Cap, p Purpose, request string) (sendBy time.Time, ok bool) {
	x := k.cold[a.ID]
	if x.announced.Incarnation != a.Incarnation {
		return time.Time{}, false // a has been replaced by a later start
	}
	switch {
	case k.leads():
		if now.Before(x.holds[p]) {
			return time.Time{}, false
		}
		granted, wait := k.issuer.Acquire(now, a.ID, c, p)
		if granted {
			coldGranted.Inc()
			return now.Add(ColdTokenTTL), true
		}
		k.denyCold(now, x, c, p, request, wait)
		return time.Time{}, false
	default:
		if sendBy, ok = x.take(now, p); ok {
			return sendBy, true
		}
	}
	if now.Before(x.holds[p]) {
		return time.Time{}, false
	}
	x.holds[p] = now.Add(minHold)
	switch {
	case x.asking[p]:
	case k.leader == "":
		k.leaderless = now
		x.holds[p] = now.Add(leaderlessHold)
		k.log.Info("Upstream not used: it is cold, and no leader issues tokens.", "request", request, "upstream", a.ID, "service", a.Service, "rate", c.Rate)
	case k.coldTokens(now, a.Service) < maxColdTokens:
		x.asking[p] = true
		go k.askCold(now, x, a, c, p, request)
	}
	return time.Time{}, false
}

// coldTokens returns the number of tokens for cold upstreams of a service that are held or
// asked for. The caller holds k.mu.
func (k *Keeper) coldTokens(now time.Time, service string) int {
	n := 0
	for _, x := range k.cold {
		if x.announced.Service != service {
			continue
		}
		x.dropExpired(now)
		n += len(x.tokens)
		for _, asking := range x.asking {
			if asking {
				n++
			}
		}
	}
	return n
}

// askCold asks the leader for a token, which the next request may use.
func (k *Keeper) askCold(askedAt time.Time, x *coldUpstream, a upstream.Announcement, c Cap, p Purpose, request string) {
	ctx := context.Background()
	q := AcquireRequest{Upstream: a.ID, Incarnation: a.Incarnation, Purpose: p, ColdRate: c.Rate}
	k.mu.Lock()
	defer k.mu.Unlock()
	var reply AcquireReply
	ok := false
	if k.leader != "" {
		reply, ok = k.ask(ctx, k.leader, q)
	}
	if !ok && reply.Leader != "" {
		reply, ok = k.ask(ctx, reply.Leader, q)
	}
	x.asking[p] = false
	now := time.Now()
	switch {
	case !ok:
		k.leaderless = now
		x.holds[p] = now.Add(leaderlessHold)
	case reply.Granted && reply.Cold:
		coldGranted.Inc()
		x.tokens = append(x.tokens, coldToken{p, askedAt.Add(ColdTokenTTL)})
		x.holds[p] = time.Time{}
	default:
		k.denyCold(now, x, c, p, request, time.Duration(reply.WaitMs)*time.Millisecond)
	}
}

// denyCold records that there was no token. The daemons come back at different times, so often
// that no token is left and the leader is not asked by all of them for each. The caller holds
// k.mu.
func (k *Keeper) denyCold(now time.Time, x *coldUpstream, c Cap, p Purpose, request string, wait time.Duration) {
	coldDenied.Inc()
	if !k.leads() {
		turn := float64(max(k.deployment.Daemons(), 1)) / (coldAsksPerToken * c.Rate) * (0.5 + rand.Float64())
		wait = max(wait, time.Duration(min(turn, maxHold.Seconds())*float64(time.Second)))
	}
	wait = min(max(wait, minHold), maxHold)
	x.holds[p] = now.Add(wait)
	k.log.Info("Upstream not used: it is cold and has no token left.", "request", request, "upstream", x.announced.ID, "service", x.announced.Service,
		"background", p == ForBackground, "rate", c.Rate, "announced_left_ms", time.UnixMilli(x.announced.ColdUntil).Sub(now).Milliseconds(), "wait_ms", wait.Milliseconds())
}

// expireCold forgets the upstreams whose cold period has run out. The caller holds k.mu.
func (k *Keeper) expireCold(now time.Time) {
	for _, x := range k.cold {
		if k.coldRate(now, x.announced) <= 0 {
			k.endCold(now, x)
		}
	}
}
