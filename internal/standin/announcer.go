package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// announceInterval is the time between announcements.
const announceInterval = 500 * time.Millisecond

// Announcer announces an upstream to one entry after the other.
type Announcer struct {
	Entries []string
	Current func() upstream.Announcement
	Crashed <-chan struct{} // closed when the upstream has died; nil for never

	seq  uint64
	next int
}

// Run announces until ctx ends, then says that the upstream leaves.
func (a *Announcer) Run(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		a.send(false)
		select {
		case <-ctx.Done():
			a.send(true)
			return
		case <-a.Crashed:
			return
		case <-t.C:
		}
	}
}

// send tries the entries in turn until one takes the announcement.
func (a *Announcer) send(leaving bool) {
	x := a.Current()
	a.seq++
	x.Seq = a.seq
	x.Leaving = leaving
	b, err := json.Marshal(x)
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	for range a.Entries {
		e := a.Entries[a.next%len(a.Entries)]
		a.next++
		resp, err := client.Post("http://"+e+"/upstream/v1/announce", "application/json", bytes.NewReader(b))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode < 300 {
			return
		}
	}
}
