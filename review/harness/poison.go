package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

func init() { cases["poison"] = poison }

const (
	contactMs  = 3 * time.Second
	backAfter  = 2500 * time.Millisecond // a crashed server is back after some seconds
	maxRetries = 3                       // see BUDGET
)

const poisonManifest = `{"version":2,"routes":[
 {"name":"r-hint","host":"ficu95.example","pathPrefix":"/hint/","type":"safe","streaming":true,"resumable":true,"sticky":true,"timeoutMs":12000,"targetLatencyMs":400,"priority":1,"service":"indices-llm","maxAttempts":2,"authExempt":false},
 {"name":"r-plain","host":"ficu95.example","pathPrefix":"/plain/","type":"safe","timeoutMs":2000,"targetLatencyMs":400,"priority":1,"service":"indices-llm","maxAttempts":2,"authExempt":false}],
 "services":[{"name":"indices-llm","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCacheTokens":69123,"kvTokenBytes":18432,"linkMbps":2900000.0,"models":[{"name":"daka510000"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["3fexd9dnn2ctnfzs989a"],"priority":1}]}`

// crash ends the server: its channels are reset and its address refuses new ones. It is back after
// backAfter as a new incarnation with a new id.
func (s *server) crash(n, incarnation int) {
	s.stopped.Store(true)
	s.l.Close()
	s.mu.Lock()
	for c := range s.conns {
		reset(c)
	}
	s.mu.Unlock()
	s.rec.logf("server %s has crashed", s.id)
	time.AfterFunc(backAfter, func() {
		id := fmt.Sprintf("i-%04x-%d", n+1, incarnation+1)
		if err := s.fleet.poisoned(n, incarnation+1, id, s.serve); err != nil {
			s.rec.logf("server %s did not come back: %v", id, err)
		}
	})
}

func (f *fleet) poisoned(n, incarnation int, id string, serve func(*server, *request)) error {
	s, err := f.server(n, id, "indices-llm", "daka510000", 8, serve)
	if err == nil {
		s.number, s.incarnation = n, incarnation
	}
	return err
}

// poison sends the same stream again and again, which crashes each server that begins to run it.
func poison(rec *record, trouble bool) (int, error) {
	f, err := startFleet(rec, 2, poisonManifest)
	if err != nil {
		return notRun, err
	}
	path := "/hint/13"
	if os.Getenv("PLAIN") != "" { // for comparison: a request that is not a stream
		path = "/plain/13"
	}
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	serve := func(s *server, q *request) {
		stream := q.URL.Path == "/hint/13"
		if string(q.body) == "poison" {
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
			rec.logf("server %s begins to run the request as %s", s.id, q.id)
			if trouble {
				if stream {
					q.beginEvents(s)
					time.Sleep(20 * time.Millisecond)
				}
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				s.crash(s.number, s.incarnation)
				return
			}
		}
		if stream {
			q.events(s, 5, 20*time.Millisecond)
			return
		}
		q.answer(s, 200, []byte("hint"), nil, true)
	}
	for i := range 9 {
		if err := f.poisoned(i, 1, fmt.Sprintf("i-%04x-1", i+1), serve); err != nil {
			return notRun, err
		}
	}
	time.Sleep(3 * time.Second)
	header := map[string]string{"Authorization": tenantKey, "Model": "daka510000", "Token-Count": "1016,160"}
	for k := range 20 {
		c := channel{to: f.fronts[k%2].callers()}
		id := newID()
		resp, err := c.send("POST", path, id, header, "poison", 1500*time.Millisecond)
		status := 0
		if err == nil {
			status = resp.StatusCode
			var b []byte
			b, err = io.ReadAll(resp.Body)
			rec.logf("client: %s at %s: status %d, %d bytes, Retry-After %q, %v", id, f.fronts[k%2].id, status, len(b), resp.Header.Get("Retry-After"), err)
		} else {
			rec.logf("client: %s at %s: %v", id, f.fronts[k%2].id, err)
		}
		c.close()
		time.Sleep(1500 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, t := range arrivals {
			if t.After(crashes[2].Add(contactMs)) {
				late++
			}
		}
	}
	rec.logf("the request reached servers %d times and crashed %d; %d times later than %v after the third crash", len(arrivals), len(crashes), late, contactMs)
	fmt.Printf("the request reached servers %d times and crashed %d; %d times later than %v after the third crash\n", len(arrivals), len(crashes), late, contactMs)
	if late > maxRetries {
		return broken, nil
	}
	return held, nil
}

// beginEvents writes the head of a stream and its first event.
func (q *request) beginEvents(s *server) {
	e := fmt.Sprintf("id: 1\ndata: event 1 of %s\n\n", q.id)
	fmt.Fprintf(q.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nWeight-Versions: %d\r\nInstance-Id: %s\r\n\r\n%x\r\n%s\r\n", q.id, s.id, q.id, s.version.Load(), s.id, len(e), e)
}
