package daemon

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Timing of a graceful shutdown.
const (
	// drainTimeout bounds the wait for requests in flight.
	drainTimeout = 35 * time.Minute
	// drainPropagationTime is the time in which the other entries learn that this one is
	// draining. Until then they still give its address to callers.
	drainPropagationTime = time.Second
	// idleMargin is added to the lifetime of an address. A caller's connection without a
	// request for the sum of the two is closed.
	idleMargin = 3 * time.Second
	// drainPollInterval is the time between two checks of the open connections.
	drainPollInterval = 50 * time.Millisecond
)

// drain shuts the entry down without cutting off a request, unless drainTimeout passes. It
// removes the entry from the address list and continues to serve while callers may still
// use its address. Every response asks the caller to close its connection. Then drain
// closes the listener, but not the connections that callers have kept open, because a
// caller may be sending a request. Such a connection ends with its next response, or once
// it has been idle for long enough.
func (d *Daemon) drain(httpServer *http.Server, callerListener net.Listener) {
	d.log.Info("Daemon started draining.")
	d.gateway.Drain().Start()
	d.links.Drain()
	d.gossip.AnnounceChanges()
	d.handOverSteps()
	time.Sleep(max(d.cfg.DrainTime, d.cfg.AddressTTL+drainPropagationTime))
	callerListener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if !d.waitForConnections(ctx) {
		d.log.Error("Requests were cut off at the drain timeout.", "open", d.connections.CloseIdle(time.Now(), 0))
	}
	httpServer.Close()
	if err := d.claims.Wait(ctx); err != nil {
		d.log.Error("Failed to record the ends of claims.", "err", err.Error())
	}
	d.flushUsage(ctx)
	d.log.Info("Daemon stopped.")
}

// waitForConnections waits until no connection of a caller is open. It returns false if
// ctx ends first.
func (d *Daemon) waitForConnections(ctx context.Context) bool {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for d.connections.CloseIdle(time.Now(), d.cfg.AddressTTL+idleMargin) > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
