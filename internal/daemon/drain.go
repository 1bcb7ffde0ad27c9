package daemon

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Timing of a graceful shutdown.
const (
	// maxDrain bounds the wait for running requests.
	maxDrain = 35 * time.Minute
	// spreadTime is allowed for the news that this entry leaves to reach the
	// others; until then they still name it to callers.
	spreadTime = time.Second
	// quietTime is how much longer than the lifetime of an address a caller's
	// connection must have been without a request before it is closed.
	quietTime = 3 * time.Second
	// drainPause spaces the looks at the open connections.
	drainPause = 50 * time.Millisecond
)

// drain shuts the entry down without cutting off a request. It leaves the
// address list and serves on while callers may still hold its address; every
// answer asks the caller to close its connection. Then it closes the listener,
// but not the connections that callers have kept: they may be sending. Those end
// with their next answer, or when they have been quiet for long.
func (d *Daemon) drain(web *http.Server, callers net.Listener) {
	d.log.Info("Daemon drains.")
	d.gateway.Drain().Start()
	d.gossip.AnnounceChanges()
	d.handOverSteps()
	time.Sleep(max(d.set.DrainTime, d.set.AddressTTL+spreadTime))
	callers.Close()
	ctx, cancel := context.WithTimeout(context.Background(), maxDrain)
	defer cancel()
	if !d.outlast(ctx) {
		d.log.Error("Requests were cut off.", "open", d.connections.CloseIdle(time.Now(), 0))
	}
	web.Close()
	if err := d.claims.Wait(ctx); err != nil {
		d.log.Error("Ends of claims were not recorded.", "err", err.Error())
	}
	d.flushUsage(ctx)
	d.log.Info("Daemon stopped.")
}

// outlast waits until no connection of a caller is open; false when ctx ends
// before.
func (d *Daemon) outlast(ctx context.Context) bool {
	t := time.NewTicker(drainPause)
	defer t.Stop()
	for d.connections.CloseIdle(time.Now(), d.set.AddressTTL+quietTime) > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	return true
}
