package main

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["short-items"] = shortItems }

const (
	// shortItemsBytes is about a quarter of maxBodyBytes.
	shortItemsBytes = 9_000_000
	ordinaryPace    = 100 * time.Millisecond
)

// shortItems has a client that submits a batch job of many items without any field. It goes to the next
// entry when it gets no answer, as clients do. Other callers send ordinary requests meanwhile.
func shortItems(r *record, trouble bool) (int, error) {
	s, err := newSite(r, 3, 3)
	if err != nil {
		return failed, err
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	key := newID()
	if err := s.begin(ctx, key); err != nil {
		return failed, err
	}
	guard := s.guardMemory(s.entries)
	ordinary := s.callAll(ctx, key)
	body := []byte(`{"step":0,"model":"` + model + `","minVersion":1,"desired":1,"items":[{}`)
	n := 1
	for trouble && len(body)+5 < shortItemsBytes {
		more := min(1<<20, (shortItemsBytes-5-len(body))/3+1)
		body = append(body, bytes.Repeat([]byte(",{}"), more)...)
		n += more
	}
	body = append(body, "]}"...)
	s.say("one batch job of %d bytes with %d items", len(body), n)
	id := newID()
	time.Sleep(time.Second)
	for try := range 6 {
		e := s.entries[try%len(s.entries)]
		h := callerHeader(key, 12*time.Second)
		h.Set("Request-Id", id)
		began := time.Now()
		s.client.Timeout = 12 * time.Second
		status, b, err := s.call(ctx, http.MethodPost, "http://"+e.callers()+jobPath+id, h, body)
		s.say("job to %s: %d %.100s %v after %d ms", e.id, status, b, err, time.Since(began).Milliseconds())
		time.Sleep(300 * time.Millisecond)
		if err == nil && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status < 500 {
			break
		}
	}
	time.Sleep(4 * time.Second)
	sent, lost := ordinary()
	kills := guard.end()
	for _, d := range s.entries {
		s.say("%s: at most %d MB of %d, killed %d times", d.id, guard.most[d.id], entryMemoryMB, kills[d.id])
	}
	s.say("ordinary requests: %d, of them without an answer: %d", sent, lost)
	if len(kills) > 0 {
		return broken, nil
	}
	return held, nil
}

// callAll sends ordinary requests to all entries until the returned function is called, which returns their
// number and that of those whose connection was refused or ended without an answer.
func (s *site) callAll(ctx context.Context, key string) func() (sent, lost int64) {
	ctx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var sent, lost atomic.Int64
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	for _, e := range s.entries {
		wg.Go(func() {
			for ctx.Err() == nil {
				wg.Go(func() {
					h := callerHeader(key, 1500*time.Millisecond)
					req, _ := http.NewRequest(http.MethodPost, "http://"+e.callers()+plainPath+"answer", bytes.NewReader([]byte("guess")))
					for k, v := range h {
						req.Header[k] = v
					}
					req.Host = host
					sent.Add(1)
					resp, err := client.Do(req)
					if err != nil {
						lost.Add(1)
						s.add("request %s to %s: %v", h.Get("Request-Id"), e.id, err)
						return
					}
					resp.Body.Close()
					if resp.StatusCode != http.StatusOK {
						s.add("request %s to %s: %d", h.Get("Request-Id"), e.id, resp.StatusCode)
					}
				})
				select {
				case <-ctx.Done():
				case <-time.After(ordinaryPace):
				}
			}
		})
	}
	return func() (int64, int64) {
		stop()
		wg.Wait()
		return sent.Load(), lost.Load()
	}
}
