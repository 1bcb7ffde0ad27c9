package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// announceInterval is the interval between announcements.
const announceInterval = 500 * time.Millisecond

// Announcer sends the announcements of an upstream to its entries in turn.
type Announcer struct {
	Entries []string
	Current func() upstream.Announcement // returns the current announcement
	Crashed <-chan struct{}              // closed after a simulated crash; nil if there is none

	seq  uint64 // sequence number of the last announcement
	next int    // index into Entries, modulo its length
}

// Run sends announcements until ctx ends, and then one that says that the upstream
// leaves. After a simulated crash it returns without that one.
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

// send sends the announcement to the entries in turn until one accepts it.
func (a *Announcer) send(leaving bool) {
	announcement := a.Current()
	a.seq++
	announcement.Seq = a.seq
	announcement.Leaving = leaving
	b, err := json.Marshal(announcement)
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
