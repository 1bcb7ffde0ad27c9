package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

func init() { cases["crash-bursts"] = crashBursts }

const (
	crashServers  = 18 // six in each availability zone
	crashAfter    = 1300 * time.Millisecond
	crashBackIn   = 2500 * time.Millisecond
	crashCopies   = 6
	crashInterval = 7 * time.Second
	crashTimes    = 4
	allowedLate   = 3
)

// crashFleet is a service whose servers crash some time after the first event of the request with the body
// "poison", and are back some seconds later as a new incarnation.
type crashFleet struct {
	*site
	mu      sync.Mutex
	reached []time.Time
	crashed []time.Time
}

type crashServer struct {
	*server
	fleet *crashFleet
	n     int
	once  sync.Once
}

// begin starts the server, or starts it again.
func (f *crashFleet) begin(n int) error {
	v := &crashServer{server: f.newServer(n, "hints"), fleet: f, n: n}
	v.zone = zones[n%3]
	var err error
	for range 20 { // the address may be in use for a moment
		if err = v.start(v); err == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

// crash resets all connections and refuses new ones until the server is back. A server that runs the request
// more than once crashes once.
func (v *crashServer) crash() { v.once.Do(v.crashOnce) }

func (v *crashServer) crashOnce() {
	v.fleet.mu.Lock()
	v.fleet.crashed = append(v.fleet.crashed, time.Now())
	v.fleet.mu.Unlock()
	v.site.add("server %s in %s crashes", v.id, v.zone)
	v.close()
	time.AfterFunc(crashBackIn, func() {
		if !v.site.stopping.Load() {
			_ = v.fleet.begin(v.n)
		}
	})
}

// ServeHTTP implements http.Handler.
func (v *crashServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if v.misdirected(w, r) {
		return
	}
	if r.URL.Path == "/report" {
		fmt.Fprintf(w, `{"stage":"both","models":[],"busy":false,"seq":0,"born":%d}`, v.born)
		return
	}
	body := readBody(r)
	h := w.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	h.Set("Server-Stamp", "stamp."+v.id)
	h.Set("Content-Type", "text/event-stream")
	poison := string(body) == "poison"
	for i := 1; i <= 20; i++ {
		fmt.Fprintf(w, "id: %d\ndata: e\n\n", i)
		_ = http.NewResponseController(w).Flush()
		if i == 1 && poison {
			v.fleet.mu.Lock()
			v.fleet.reached = append(v.fleet.reached, time.Now())
			v.fleet.mu.Unlock()
			v.site.add("request %s runs on server %s in %s", r.Header.Get("Request-Id"), v.id, v.zone)
		}
		if poison && time.Duration(i)*100*time.Millisecond >= crashAfter {
			v.crash()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// crashBursts has callers of one tenant send the same request, which crashes each server that runs it, some
// at once, and again some seconds later.
func crashBursts(r *record, trouble bool) (int, error) {
	s, err := newSite(r, 3, 6)
	if err != nil {
		return failed, err
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	key := newID()
	if err := s.begin(ctx, key); err != nil {
		return failed, err
	}
	f := &crashFleet{site: s}
	for n := range crashServers {
		if err := f.begin(30 + n); err != nil {
			return failed, err
		}
	}
	doc := manifest(2, key)
	doc["routes"] = append(doc["routes"].([]any), map[string]any{"name": "r-hints", "host": host, "pathPrefix": "/hints/", "type": "safe", "streaming": true, "resumable": true, "timeoutMs": 12000, "targetLatencyMs": 400, "priority": 2, "service": "hints", "maxAttempts": 2})
	doc["services"] = append(doc["services"].([]any), map[string]any{"name": "hints", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false})
	if err := s.putConfig(ctx, doc); err != nil {
		return failed, err
	}
	time.Sleep(contactTime + time.Second)
	body := "poison"
	if !trouble {
		body = "sound"
	}
	var entries []*daemon // those of one zone
	for _, e := range s.entries {
		if e.zone == zones[0] {
			entries = append(entries, e)
		}
	}
	for burst := range crashTimes {
		var wg sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		for i := range crashCopies {
			wg.Go(func() {
				status := s.stream(ctx, entries[i%len(entries)], key, body)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			})
		}
		wg.Wait()
		f.mu.Lock()
		s.say("burst %d: answers by status %v; %d times at servers and %d crashes so far", burst+1, statuses, len(f.reached), len(f.crashed))
		f.mu.Unlock()
		time.Sleep(crashInterval)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	late := 0
	sort.Slice(f.crashed, func(i, j int) bool { return f.crashed[i].Before(f.crashed[j]) })
	if len(f.crashed) >= 3 {
		for _, at := range f.reached {
			if at.After(f.crashed[2].Add(contactTime)) {
				late++
			}
		}
	}
	s.say("later than %v after its third crash the request reached servers %d times; %d are allowed", contactTime, late, allowedLate)
	if late > allowedLate {
		return broken, nil
	}
	return held, nil
}

// stream sends a request and reads the stream to its end. It returns the status.
func (s *site) stream(ctx context.Context, e *daemon, key, body string) int {
	h := callerHeader(key, 8*time.Second)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers()+"/hints/same", bytes.NewReader([]byte(body)))
	for k, v := range h {
		req.Header[k] = v
	}
	req.Host = host
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	resp, err := client.Do(req)
	if err != nil {
		s.add("request %s to %s: %v", h.Get("Request-Id"), e.id, err)
		return 0
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	s.add("request %s to %s: %d, %d bytes, %v", h.Get("Request-Id"), e.id, resp.StatusCode, n, err)
	return resp.StatusCode
}
