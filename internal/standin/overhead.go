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

// Overhead measures the latency that an entry adds. It sends the same requests directly to
// an upstream and through an entry. Rounds on the two paths alternate, so that changes in
// the load of the machine affect both paths alike.
type Overhead struct {
	Direct             string // URL at the upstream
	Through            string // URL at the entry
	Key                string
	UseIdempotencyKeys bool // send each request with a new idempotency key
	Requests           int  // on each path
	Concurrency        int
	Body               []byte
}

// PathResult is the result of one of the two paths.
type PathResult struct {
	P50, P99 time.Duration
	Rate     float64 // requests a second during the rounds of this path
	Failed   int
}

// rounds is the number of rounds on each path.
const rounds = 10

// Run returns the results of the direct path and of the path through the entry.
func (o Overhead) Run(ctx context.Context) (direct, through PathResult) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Concurrency}}
	defer client.CloseIdleConnections()
	d, e := newPathRecorder(), newPathRecorder()
	o.runRound(ctx, client, o.Direct, newPathRecorder()) // warm-up of both paths; the results are discarded
	o.runRound(ctx, client, o.Through, newPathRecorder())
	for range rounds {
		o.runRound(ctx, client, o.Direct, d)
		o.runRound(ctx, client, o.Through, e)
	}
	return d.result(), e.result()
}

// pathRecorder records the requests of one path.
type pathRecorder struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	elapsed time.Duration
	failed  int
}

func newPathRecorder() *pathRecorder {
	return &pathRecorder{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (p *pathRecorder) record(latency time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failed++
		return
	}
	_ = p.latency.RecordValue(latency.Microseconds())
}

func (p *pathRecorder) result() PathResult {
	at := func(q float64) time.Duration { return time.Duration(p.latency.ValueAtQuantile(q)) * time.Microsecond }
	return PathResult{P50: at(50), P99: at(99), Rate: float64(p.latency.TotalCount()) / p.elapsed.Seconds(), Failed: p.failed}
}

// runRound sends the requests of one round to url.
func (o Overhead) runRound(ctx context.Context, client *http.Client, url string, p *pathRecorder) {
	began := time.Now()
	var wg sync.WaitGroup
	for range o.Concurrency {
		wg.Go(func() {
			for range o.Requests / rounds / o.Concurrency {
				start := time.Now()
				err := o.send(ctx, client, url)
				p.record(time.Since(start), err)
			}
		})
	}
	wg.Wait()
	p.elapsed += time.Since(began)
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
