package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["unknown-jobs"] = unknownJobs }

const (
	strangers     = 24
	strangersTime = 95 * time.Second
	calmTime      = 40 * time.Second
	// headBytes keeps the whole head of a request below maxHeaderBytes, 16384.
	headBytes = 16_000
)

// unknownJobs has clients without a key that ask for batch jobs that do not exist: with trouble for another one
// each time, else always for the same.
func unknownJobs(r *record, trouble bool) (int, error) {
	s, err := newSite(r, 3, 3)
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
	all := append(append([]*daemon{}, s.replicas...), s.entries...)
	guard := s.guardMemory(all)
	ordinary := s.callAll(ctx, key)
	var mu sync.Mutex
	answers := map[string]int{}
	var sent atomic.Int64
	var wg sync.WaitGroup
	until := time.Now().Add(strangersTime)
	same := ""
	if !trouble {
		same, until = strangeID(), time.Now().Add(calmTime)
	}
	over, stop := context.WithDeadline(ctx, until)
	defer stop()
	for i := range strangers {
		wg.Go(func() {
			for over.Err() == nil {
				s.stranger(over, s.entries[i%len(s.entries)], same, func(line string) {
					sent.Add(1)
					mu.Lock()
					answers[line]++
					mu.Unlock()
				})
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for over.Err() == nil {
		time.Sleep(2 * time.Second)
		if processes, _ := guard.counts(); processes == len(s.replicas) {
			stop() // all replicas have been killed once
		}
		line := ""
		for _, d := range all {
			now, _ := d.memoryKB()
			line += fmt.Sprintf(" %s %d MB", d.id, now/1024)
		}
		s.add("after %d requests of strangers:%s", sent.Load(), line)
	}
	wg.Wait()
	asked, lost := ordinary()
	kills := guard.end()
	for _, d := range all {
		s.say("%s: at most %d MB, killed %d times", d.id, guard.most[d.id], kills[d.id])
	}
	s.say("%d requests of strangers, answers %v; ordinary requests: %d, without an answer: %d", sent.Load(), answers, asked, lost)
	if len(kills) > 0 {
		return broken, nil
	}
	return held, nil
}

func strangeID() string { return newID() + strings.Repeat("x", headBytes-200) + newID() }

// stranger sends reads of unknown jobs on one connection: always of the same, or of another one each time.
func (s *site) stranger(ctx context.Context, e *daemon, same string, answered func(line string)) {
	c, err := net.DialTimeout("tcp", e.callers(), time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for ctx.Err() == nil {
		id := same
		if id == "" {
			id = strangeID()
		}
		_ = c.SetDeadline(time.Now().Add(4 * time.Second))
		if _, err := fmt.Fprintf(c, "GET /lots/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %016x\r\nDeadline-Ms: 2000\r\n\r\n", id, host, rand.Uint64()); err != nil {
			return
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			answered("none")
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		answered(resp.Status)
	}
}
