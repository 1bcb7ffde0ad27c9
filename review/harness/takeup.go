package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["takeup"] = takeUpAtCutServers }

const (
	cutFor     = 10 * time.Second        // of srv_cut
	breakAt    = 5500 * time.Millisecond // of the clients' channels
	timeBudget = 10 * time.Second        // of the streams
)

// readEvents reads a stream until its end and returns the id of the last event, and whether the
// stream was complete.
func readEvents(resp *http.Response, last *int) bool {
	in := bufio.NewScanner(resp.Body)
	for in.Scan() {
		if id, ok := strings.CutPrefix(in.Text(), "id: "); ok {
			*last, _ = strconv.Atoi(id)
		}
	}
	return in.Err() == nil
}

// takeUpAtCutServers lets the channels of clients with streams of one software version break, while
// both servers of this version are partitioned from the core.
func takeUpAtCutServers(rec *record, trouble bool) (int, error) {
	f, err := startFleet(rec, 3, streamManifest)
	if err != nil {
		return notRun, err
	}
	var mu sync.Mutex
	byVersion := map[string]map[string]bool{} // versions that wrote events of a client's stream
	serve := func(s *server, q *request) {
		mu.Lock()
		if byVersion[string(q.body)] == nil {
			byVersion[string(q.body)] = map[string]bool{}
		}
		byVersion[string(q.body)][s.software] = true
		mu.Unlock()
		rec.logf("server %s (%s) runs %s of %s from event %s", s.id, s.software, q.id, q.body, q.Header.Get("Last-Event-Id"))
		q.events(s, 80, 100*time.Millisecond)
	}
	var old []*server
	for i := range 2 {
		s, err := f.server(i, fmt.Sprintf("i-%04x", i+1), "indices-llm", "daka510000", 8, serve)
		if err != nil {
			return notRun, err
		}
		old = append(old, s)
	}
	time.Sleep(2 * time.Second)
	header := func(more ...string) map[string]string {
		h := map[string]string{"Authorization": tenantKey, "Model": "daka510000", "Token-Count": "1016,1000"}
		for i := 0; i+1 < len(more); i += 2 {
			h[more[i]] = more[i+1]
		}
		return h
	}
	began := time.Now()
	budget := began.Add(timeBudget)
	var clients sync.WaitGroup
	type takeUp struct{ tried, wentOn bool }
	takeUps := make([]takeUp, 16)
	for i := range takeUps {
		clients.Go(func() {
			name := fmt.Sprintf("client %d", i)
			c := channel{to: f.fronts[2].callers()}
			defer c.close()
			first, last := newID(), 0
			resp, err := c.send("POST", "/hint/7", first, header(), name, timeBudget)
			if err != nil || resp.StatusCode != 200 {
				rec.logf("%s: the stream did not begin: %v", name, err)
				return
			}
			time.AfterFunc(time.Until(began.Add(breakAt)), func() { reset(c.conn) })
			if readEvents(resp, &last) {
				return
			}
			rec.logf("%s: the stream %s breaks off after event %d", name, first, last)
			for k := 0; time.Now().Before(budget.Add(-time.Second)); k++ {
				takeUps[i].tried = true
				n := channel{to: f.fronts[(i+k)%2].callers()}
				id := newID()
				resp, err := n.send("POST", "/hint/7", id, header("Last-Event-Id", strconv.Itoa(last), "Resumes", first), name, time.Until(budget))
				if err == nil && resp.StatusCode == 200 {
					takeUps[i].wentOn = true
					from := last
					whole := readEvents(resp, &last)
					rec.logf("%s: %s goes on from event %d up to %d, whole: %v", name, id, from, last, whole)
					n.close()
					return
				}
				wait := 300 * time.Millisecond
				if err == nil {
					rec.logf("%s: %s is answered %d, Retry-After %q", name, id, resp.StatusCode, resp.Header.Get("Retry-After"))
					if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
						wait = time.Duration(s * float64(time.Second))
					}
				}
				n.close()
				time.Sleep(wait)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 8 { // the newer version comes beside the older one
		s, err := f.server(2+i, fmt.Sprintf("i-%04x", 3+i), "indices-llm", "daka510000", 8, serve)
		if err != nil {
			return notRun, err
		}
		s.software = "v2"
	}
	if trouble {
		for _, s := range old {
			s.cut.Store(true)
			rec.logf("server %s is partitioned from the core", s.id)
		}
		time.AfterFunc(cutFor, func() {
			for _, s := range old {
				s.cut.Store(false)
			}
		})
	}
	time.Sleep(time.Until(began.Add(breakAt)))
	newStreams, newServed := 0, 0
	for k := range 20 {
		c := channel{to: f.fronts[k%2].callers()}
		resp, err := c.send("POST", "/hint/7", newID(), header(), fmt.Sprintf("new client %d", k), 3*time.Second)
		newStreams++
		if err == nil && resp.StatusCode == 200 {
			newServed++
		}
		c.close()
		time.Sleep(250 * time.Millisecond)
	}
	clients.Wait()
	tried, wentOn, joined := 0, 0, 0
	for _, x := range takeUps {
		if x.tried {
			tried++
		}
		if x.wentOn {
			wentOn++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for _, v := range byVersion {
		if len(v) > 1 {
			joined++
		}
	}
	rec.logf("%d of %d streams that were taken up went on, %d of %d new streams began; %d streams of two versions", wentOn, tried, newServed, newStreams, joined)
	fmt.Printf("%d of %d streams that were taken up went on, %d of %d new streams began; %d streams of two versions\n", wentOn, tried, newServed, newStreams, joined)
	if tried < 12 {
		return notRun, errors.New("fewer than 12 streams were taken up")
	}
	if float64(wentOn)/float64(tried) < 0.5*float64(newServed)/float64(newStreams) {
		return broken, nil
	}
	return held, nil
}
