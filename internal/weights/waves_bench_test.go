package weights_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apricotstream/apricotstream/internal/standin"
	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/weights"
)

// Sizes and rates of the benchmark. One load at full rate takes 125 ms.
const (
	benchSize = 4 << 20  // bytes of one version
	benchRate = 32 << 20 // bytes a second, of the store and of each upstream that serves weights
)

// BenchmarkWaves measures the time until every upstream runs a new version, with loads
// from the store alone and with upstreams that serve it to others. Announcements arrive
// every 500 ms and the planner runs every 200 ms, as in a daemon.
func BenchmarkWaves(b *testing.B) {
	for _, shareRate := range []int{0, benchRate} {
		for _, n := range []int{4, 8, 16, 32, 64, 128} {
			b.Run(fmt.Sprintf("share=%v/upstreams=%d", shareRate > 0, n), func(b *testing.B) {
				for range b.N {
					runWaves(b, n, shareRate)
				}
			})
		}
	}
}

// runWaves starts n upstreams and returns when all of them run version 2. shareRate is
// the rate in bytes a second at which each of them serves weights; 0 if they serve none.
func runWaves(b *testing.B, n, shareRate int) {
	store := httptest.NewServer(standin.NewStore(benchSize, benchRate).Handler())
	defer store.Close()
	var engines []*standin.Upstream
	for i := range n {
		u := standin.NewUpstream(standin.Options{
			ID: fmt.Sprint("e", i), Service: "s", Zone: string("abc"[i%3]), Class: "regular", Concurrency: 1,
			Version: 1, Store: store.URL, ShareBytes: benchSize, ShareBytesPerSecond: shareRate,
		})
		srv := httptest.NewServer(standin.Engine{Upstream: u}.Handler())
		defer srv.Close()
		u.Address = srv.Listener.Addr().String()
		engines = append(engines, u)
	}
	p := weights.NewPlanner(weights.Limits{StoreStreams: 2, Fanout: 2, MinServingShare: 0.5, MaxAttempts: 8, Backoff: time.Second, MinTimeout: 10 * time.Second})
	live := make([]upstream.Announcement, n)
	b.ResetTimer()
	for round := 0; ; round++ {
		at, done := time.Now(), true
		for i, u := range engines {
			if (round+i)%5 < 2 { // about every 500 ms
				live[i] = u.CurrentAnnouncement()
			}
			done = done && u.CurrentAnnouncement().Version == 2
		}
		if done {
			return
		}
		if round >= 5 {
			for _, s := range p.Plan(at, live, 2) {
				body, _ := json.Marshal(weights.Order{Fence: 1, Service: "s", Version: 2, Source: s.Source})
				resp, err := http.Post("http://"+s.Upstream.Address+weights.OrderPath, "application/json", bytes.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				resp.Body.Close()
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}
