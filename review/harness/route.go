package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["route"] = routeRemoved }

const (
	settleMs      = time.Second
	configApplyMs = 2 * time.Second
)

// routeRemoved reads an accepted batch job after a manifest without its route.
func routeRemoved(rec *record, trouble bool) (int, error) {
	f, err := startFleet(rec, 2, rolloutManifest(2, 2000))
	if err != nil {
		return notRun, err
	}
	for i := range 6 {
		if _, err := f.server(i, fmt.Sprintf("i-%04x", i+1), "indices-llm", "daka510000", 8, func(s *server, q *request) {
			q.events(s, 16, 20*time.Millisecond)
		}); err != nil {
			return notRun, err
		}
	}
	for i := range 3 {
		if _, err := f.server(10+i, fmt.Sprintf("c-%04x", i+1), "correcteur", "", 6, func(s *server, q *request) {
			if q.work(80 * time.Millisecond) {
				q.answer(s, 200, []byte("checked"), nil, true)
			}
		}); err != nil {
			return notRun, err
		}
	}
	time.Sleep(3 * time.Second)
	header := map[string]string{"Authorization": tenantKey, "Content-Type": "application/json"}
	at := channel{to: f.fronts[0].callers()}
	defer at.close()
	body, items := lot(1, 20, 18)
	status, _, err := at.call("POST", "/hint/submit", "lot00001", header, body, 10*time.Second)
	rec.logf("client: batch job lot00001 with %d items answered %d %v", items, status, err)
	if status != 202 {
		return notRun, errors.New("the batch job was not accepted")
	}
	read := func(d *daemon) (int, int) {
		c := channel{to: d.callers()}
		defer c.close()
		status, text, err := c.call("GET", "/lots/lot00001?after=0", newID(), header, "", 3*time.Second)
		var r struct{ Results []json.RawMessage }
		_ = json.Unmarshal([]byte(text), &r)
		rec.logf("client: read of lot00001 at %s answered %d with %d results %v", d.id, status, len(r.Results), err)
		return status, len(r.Results)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		if _, n := read(f.fronts[0]); n >= items {
			break
		}
		if time.Now().After(end) {
			return notRun, errors.New("the batch job did not complete")
		}
	}
	next := rolloutManifest(3, 2000)
	if trouble {
		// The route of the batch job is removed, and the rest is as before.
		from := strings.Index(next, ` {"name":"r-hint"`)
		to := strings.Index(next, ` {"name":"r-check"`)
		next = next[:from] + next[to:]
	}
	if err := f.control("PUT", "/config", next, 10*time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(configApplyMs + settleMs)
	missing, other := 0, 0
	for range 10 {
		for _, d := range f.fronts {
			switch status, n := read(d); {
			case status == 404 || status == 410 || status == 200 && n < items:
				missing++
			case status != 200:
				other++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	if trouble {
		// For the record only: with the route back, the results are there again.
		if err := f.control("PUT", "/config", rolloutManifest(4, 2000), 10*time.Second); err != nil {
			return notRun, err
		}
		time.Sleep(configApplyMs)
		for _, d := range f.fronts {
			read(d)
		}
	}
	rec.logf("20 reads of an accepted and complete batch job: %d answered 404 or without its results, %d with another failure", missing, other)
	fmt.Printf("20 reads of an accepted and complete batch job: %d answered 404 or without its results, %d with another failure\n", missing, other)
	if missing > 0 {
		return broken, nil
	}
	return held, nil
}
