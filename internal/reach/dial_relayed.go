package reach

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// knownHelpers returns the daemons of a region that may be asked.
func (l *Links) knownHelpers(region string) []Helper {
	if l.deployment.Helpers == nil {
		return nil
	}
	all := l.deployment.Helpers()
	elsewhere := func(h Helper) bool { return h.Region != region }
	if !slices.ContainsFunc(all, elsewhere) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), elsewhere)
}

// helpers returns the helpers of a region to ask now, best first.
func (l *Links) helpers(region string) []Helper {
	all, now := l.knownHelpers(region), time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return chooseHelpers(l.rnd, all, func(address string) bool { return now.Before(l.avoided[address]) })
}

// DialRelayed opens a connection through another daemon of the own region. Error: that of the last
// helper, or errNoHelper.
func (l *Links) DialRelayed(ctx context.Context, _, address string) (net.Conn, error) {
	return l.dialRelayed(ctx, address, l.deployment.Region)
}

// DialRelayedHome opens a connection through another daemon in the region of the upstream, which is
// a home region of the requests that are sent on the connection. Without such a daemon it opens a
// direct connection, for which it waits longer than Dial does.
func (l *Links) DialRelayedHome(ctx context.Context, network, address string) (net.Conn, error) {
	region := l.regionOf(address)
	if region == "" || len(l.knownHelpers(region)) == 0 {
		return l.dialOnce(ctx, network, address)
	}
	return l.dialRelayed(ctx, address, region)
}

// regionOf returns the region of the upstream at an address, empty if it is not known.
func (l *Links) regionOf(address string) string {
	for _, u := range l.upstreams() {
		if u.Address == address {
			return u.Region
		}
	}
	return ""
}

func (l *Links) dialRelayed(ctx context.Context, address, region string) (net.Conn, error) {
	began := time.Now()
	c, helper, err := l.dialHelpers(ctx, address, region)
	if err != nil {
		relayedConnections("failed").Inc()
		if errors.Is(err, errUnreachable) {
			l.mu.Lock()
			l.paths.Down(time.Now(), address)
			l.mu.Unlock()
		}
		return nil, err
	}
	relayedConnections("connected").Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paths.Relaying(time.Now(), address, began) {
		l.log.Warn("Another daemon reaches an upstream that this one does not: its link has failed.", "address", address, "helper", helper.Address, "helper_zone", helper.Zone)
	}
	return c, nil
}

var relayedConnections = func(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`apricotstream_relayed_connections_total{outcome="` + outcome + `"}`)
}

// dialHelpers asks helpers of a region for a connection, the next one when one has failed or is slow.
func (l *Links) dialHelpers(ctx context.Context, address, region string) (net.Conn, Helper, error) {
	all := l.helpers(region)
	if len(all) == 0 {
		return nil, Helper{}, errNoHelper
	}
	deadline := time.Now().Add(helpersTimeout)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	type outcome struct {
		conn   *relayedConn
		helper Helper
		err    error
	}
	results := make(chan outcome, len(all))
	asked, pending := 0, 0
	ask := func() {
		h := all[asked]
		asked++
		pending++
		go func() {
			c, err := l.dialHelper(ctx, h, address, deadline)
			results <- outcome{c, h, err}
		}()
	}
	defer func() {
		cancel()
		go closeOthers(pending, func() net.Conn {
			if o := <-results; o.conn != nil {
				return o.conn
			}
			return nil
		})
	}()
	ask()
	slow := time.NewTicker(helperPatience)
	defer slow.Stop()
	failure := errNoHelper
	for pending > 0 {
		select {
		case o := <-results:
			pending--
			if o.err == nil {
				return o.conn, o.helper, nil
			}
			l.avoid(o.helper, o.err)
			if !errors.Is(failure, errUnreachable) {
				failure = o.err
			}
		case <-slow.C:
		}
		if asked < len(all) {
			ask()
		}
	}
	return nil, Helper{}, failure
}

// closeOthers closes the connections that n further calls of next return.
func closeOthers(n int, next func() net.Conn) {
	for range n {
		if c := next(); c != nil {
			c.Close()
		}
	}
}

// avoid keeps a helper that failed from being asked for a while. One that could not connect to the
// upstream either has done what it could.
func (l *Links) avoid(h Helper, err error) {
	if errors.Is(err, errUnreachable) {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, until := range l.avoided {
		if now.After(until) {
			delete(l.avoided, address)
		}
	}
	l.avoided[h.Address] = now.Add(helperAvoidance)
	l.log.Debug("A helper passes no connection on.", "helper", h.Address, "err", err.Error())
}

// dialHelper asks one helper for a connection.
func (l *Links) dialHelper(ctx context.Context, h Helper, address string, deadline time.Time) (*relayedConn, error) {
	c, err := sockopt.DropOnClose(func(ctx context.Context, _, address string) (net.Conn, error) {
		return l.deployment.DialHelper(ctx, address)
	})(ctx, "tcp", h.Address)
	if err != nil {
		return nil, err
	}
	r, err := openRelayed(c, address, deadline)
	if err != nil {
		c.Close()
		return nil, err
	}
	return r, nil
}
