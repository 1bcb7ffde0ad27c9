package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/apricotstream/apricotstream/internal/forward"
)

// Overhead sends the same requests to an upstream and through an entry, in turn,
// so that both see the same machine.
type Overhead struct {
	Direct             string // URL at the upstream
	Through            string // URL at the entry
	Key                string
	UseIdempotencyKeys bool // each request through the entry under a new idempotency key
	Requests           int  // on each way
	Concurrency        int
	Body               []byte
}

// Way is what one of the two ways took.
type PathResult struct {
	P50, P99 time.Duration
	Rate     float64 // requests a second while this way was in use
	Failed   int
}

// rounds is the number of turns between the two ways.
const rounds = 10

// Run returns the figures of the direct way and of that through the entry.
func (o Overhead) Run(ctx context.Context) (direct, through PathResult) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Concurrency}}
	defer client.CloseIdleConnections()
	d, e := newWay(), newWay()
	o.round(ctx, client, o.Direct, newWay()) // warms both ways up
	o.round(ctx, client, o.Through, newWay())
	for range rounds {
		o.round(ctx, client, o.Direct, d)
		o.round(ctx, client, o.Through, e)
	}
	return d.result(), e.result()
}

type wayLog struct {
	mu     sync.Mutex
	took   *hdrhistogram.Histogram
	busy   time.Duration
	failed int
}

func newWay() *wayLog {
	return &wayLog{took: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (w *wayLog) add(took time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failed++
		return
	}
	_ = w.took.RecordValue(took.Microseconds())
}

func (w *wayLog) result() PathResult {
	at := func(q float64) time.Duration { return time.Duration(w.took.ValueAtQuantile(q)) * time.Microsecond }
	return PathResult{P50: at(50), P99: at(99), Rate: float64(w.took.TotalCount()) / w.busy.Seconds(), Failed: w.failed}
}

func (o Overhead) round(ctx context.Context, client *http.Client, url string, w *wayLog) {
	began := time.Now()
	var wg sync.WaitGroup
	for range o.Concurrency {
		wg.Go(func() {
			for range o.Requests / rounds / o.Concurrency {
				start := time.Now()
				err := o.send(ctx, client, url)
				w.add(time.Since(start), err)
			}
		})
	}
	wg.Wait()
	w.busy += time.Since(began)
}

func (o Overhead) send(ctx context.Context, client *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(o.Body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if url == o.Through {
		req.Header.Set("Authorization", "Bearer "+o.Key)
	} else {
		req.Header.Set(forward.HeaderRequestID, "direct")
	}
	if o.UseIdempotencyKeys {
		req.Header.Set("Idempotency-Key", uuid.NewString())
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return err
}
