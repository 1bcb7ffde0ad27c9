package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["many-readers"] = manyReaders }

const (
	readersCalm    = 10
	readersTrouble = 300
	readPace       = 500 * time.Millisecond // clients read about twice per second
	readTime       = 25 * time.Second
)

// manyReaders has clients of one tenant that read the results of a complete batch job from the start,
// about twice per second, each on a new connection.
func manyReaders(r *record, trouble bool) (int, error) {
	s, err := newSite(r, 3, 3)
	if err != nil {
		return failed, err
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	key := newID()
	for n := range 3 {
		e, err := s.startEngine(10+n, 17, 5*time.Millisecond)
		if err != nil {
			return failed, err
		}
		e.data = strings.Repeat("x", env("DATA", 700))
	}
	if err := s.begin(ctx, key); err != nil {
		return failed, err
	}
	id := newID()
	if !s.submit(ctx, key, id, 0) {
		return failed, fmt.Errorf("the job was not accepted")
	}
	s.readResults(ctx, key, id, 0)
	status, b, err := s.call(ctx, http.MethodGet, "http://"+s.entries[0].callers()+"/lots/"+id+"?after=0", callerHeader(key, 5*time.Second), nil)
	if err != nil || status != http.StatusOK {
		return failed, fmt.Errorf("the job cannot be read: %d %v", status, err)
	}
	s.say("the job is complete; a read from the start has %d bytes", len(b))
	all := append(append([]*daemon{}, s.replicas...), s.entries...)
	guard := s.guardMemory(all)
	n := readersCalm
	if trouble {
		n = env("READERS", readersTrouble)
	}
	var ok, bad atomic.Int64
	until := time.Now().Add(readTime)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	reader := &site{record: r, client: client}
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * readPace / time.Duration(n))
			for try := i; time.Now().Before(until); try++ {
				began := time.Now()
				e := s.entries[try%len(s.entries)]
				status, b, err := reader.call(ctx, http.MethodGet, "http://"+e.callers()+"/lots/"+id+"?after=0", callerHeader(key, 1500*time.Millisecond), nil)
				if err == nil && status == http.StatusOK && len(b) > 0 {
					ok.Add(1)
				} else {
					bad.Add(1)
					s.add("read at %s: %d %v after %d ms", e.id, status, err, time.Since(began).Milliseconds())
				}
				time.Sleep(time.Until(began.Add(readPace)))
			}
		})
	}
	wg.Wait()
	s.say("%d readers: %d reads answered, %d not", n, ok.Load(), bad.Load())
	kills := guard.end()
	for _, d := range all {
		s.say("%s: at most %d MB, killed %d times", d.id, guard.most[d.id], kills[d.id])
	}
	if len(kills) > 0 {
		return broken, nil
	}
	return held, nil
}
