package reach

import (
	"context"
	"time"
)

// Unanswered says that a request sent directly to address at the given time has got no answer yet.
// If nothing was heard on the path since, it is probed, and lost is called if the probe fails and
// another daemon reaches the upstream.
func (l *Links) Unanswered(address string, since time.Time, lost func()) {
	l.mu.Lock()
	probe := l.paths.BeginProbe(time.Now(), address, since)
	l.mu.Unlock()
	if !probe {
		return
	}
	l.startProbe(address, func() {
		if c, err := l.DialRelayed(context.Background(), "tcp", address); err == nil {
			c.Close()
			lost()
		}
	})
}

// startProbe probes a path in the background, unless too many probes are in flight. It calls failed
// if the probe fails.
func (l *Links) startProbe(address string, failed func()) {
	l.mu.Lock()
	ok := l.probes < maxProbes
	if ok {
		l.probes++
	} else {
		l.paths.get(time.Now(), address).probing = false
	}
	l.mu.Unlock()
	if !ok {
		return
	}
	go func() {
		sound := l.probe(address)
		l.mu.Lock()
		l.probes--
		l.mu.Unlock()
		if !sound {
			failed()
		}
	}()
}

// probe opens a direct connection, closes it and reports whether that succeeded.
func (l *Links) probe(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := l.dialOnce(ctx, "tcp", address)
	if err == nil {
		c.Close()
	}
	return err == nil
}
