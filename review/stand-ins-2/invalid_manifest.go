package main

import (
	"bytes"
	"context"
	"net/http"
	"time"
)

func init() { cases["invalid-manifest"] = invalidManifest }

const (
	invalidRoutes = 100_000
	operatorWait  = 3 * time.Second // "a second without a response (more for large bodies)"
	operatorTime  = 40 * time.Second
	ackTime       = 4 * time.Second // ackMs
)

// invalidManifest has an operator that sends an invalid manifest, again to the next daemon after each try
// without a clear answer, and after it a valid one.
func invalidManifest(r *record, trouble bool) (int, error) {
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
	n := invalidRoutes
	if !trouble {
		n = 100
	}
	body := []byte(`{"version":2,"services":[],"routes":[{}`)
	body = append(body, bytes.Repeat([]byte(",{}"), n-1)...)
	body = append(body, "]}"...)
	s.say("an invalid manifest of %d bytes: %d routes without any field", len(body), n)
	s.client.Timeout = operatorWait
	answered, tries := false, 0
	for until := time.Now().Add(operatorTime); time.Now().Before(until) && !answered; tries++ {
		d := s.replicas[tries%len(s.replicas)]
		began := time.Now()
		status, b, err := s.call(ctx, http.MethodPut, "http://"+d.control()+"/config", nil, body)
		s.say("try %d at %s: %d %.80s %v after %d ms", tries+1, d.id, status, b, err, time.Since(began).Milliseconds())
		answered = err == nil && status/100 == 4
		if !answered {
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.client.Timeout = time.Second
	began := time.Now()
	validCtx, stop := context.WithTimeout(ctx, 20*time.Second)
	defer stop()
	validErr := s.putConfig(validCtx, manifest(3, key))
	took := time.Since(began)
	s.say("a valid manifest afterwards: %v after %d ms", validErr, took.Milliseconds())
	time.Sleep(time.Second)
	kills := guard.end()
	for _, d := range all {
		s.say("%s: at most %d MB, killed %d times", d.id, guard.most[d.id], kills[d.id])
	}
	s.say("the invalid manifest was sent %d times, refused: %t", tries, answered)
	if !answered || len(kills) > 0 || validErr != nil {
		return broken, nil
	}
	return held, nil
}
