package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["reward"] = rewardAfterEnd }

const tenantKey = "Token 3fexd9dnn2ctnfzs989a"

func rolloutManifest(version int, rewardTimeoutMS int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"r-hint","host":"ficu95.example","pathPrefix":"/hint/","type":"rollout","streaming":true,"resumable":true,"sticky":true,"timeoutMs":10000,"targetLatencyMs":400,"priority":1,"service":"indices-llm","maxAttempts":3,"authExempt":false,"runDeadlineMs":7500,"itemTtlS":40},
 {"name":"r-check","host":"ficu95.example","pathPrefix":"/check/","type":"safe","timeoutMs":%d,"targetLatencyMs":400,"priority":2,"service":"correcteur","maxAttempts":4,"authExempt":true}],
 "services":[{"name":"indices-llm","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCacheTokens":69123,"kvTokenBytes":18432,"linkMbps":2900000.0,"models":[{"name":"daka510000"}]}},{"name":"correcteur","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["3fexd9dnn2ctnfzs989a"],"priority":1}]}`, version, rewardTimeoutMS)
}

// lot returns a batch job of groups of four items, each with a reward call.
func lot(step, groups, desired int) (string, int) {
	var items []string
	for g := range groups {
		for k := range 4 {
			items = append(items, fmt.Sprintf(`{"id":"it%d%02d%d","path":"/hint/run/%d","headers":{"Model":"daka510000","Token-Count":"1016,160","Prompt-Prefix":"9c2e%02x:1000,5d07%02x%x:16","Length-Hint":"16"},"body":"q83vEjRWeJA=","tokens":1176,"group":"g%d%02d","scorer":{"id":"rw%d%02d%d","host":"ficu95.example","path":"/check/5e07","body":"3q2+7w=="}}`, step, g, k, k, g, g, k, step, g, step, g, k))
		}
	}
	return fmt.Sprintf(`{"step":%d,"model":"daka510000","minVersion":1,"desired":%d,"items":[%s]}`, step, desired, strings.Join(items, ",")), len(items)
}

const (
	allGroups     = 40
	desiredGroups = 36
	checkWork     = time.Second             // of a reward call
	cancelMs      = 3 * time.Second         // of the sheet
	runDeadline   = 7500 * time.Millisecond // of the route
	checkSlots    = 6                       // of a server of correcteur
)

// rewardAfterEnd ends a batch job while its reward calls wait for slots of their service.
func rewardAfterEnd(rec *record, trouble bool) (int, error) {
	f, err := startFleet(rec, 2, rolloutManifest(2, 12000))
	if err != nil {
		return notRun, err
	}
	var mu sync.Mutex
	arrivals := map[string][]time.Time{} // of reward calls
	for i := range 6 {
		if _, err := f.server(i, fmt.Sprintf("i-%04x", i+1), "indices-llm", "daka510000", 8, func(s *server, q *request) {
			n, ok := q.events(s, 16, 20*time.Millisecond)
			rec.logf("server %s: item %s up to event %d, whole: %v", s.id, q.id, n, ok)
		}); err != nil {
			return notRun, err
		}
	}
	var done atomic.Int64
	for i := range 2 {
		if _, err := f.server(10+i, fmt.Sprintf("c-%04x", i+1), "correcteur", "", checkSlots, func(s *server, q *request) {
			mu.Lock()
			arrivals[q.id] = append(arrivals[q.id], time.Now())
			mu.Unlock()
			rec.logf("server %s runs reward call %s", s.id, q.id)
			if q.work(checkWork) {
				done.Add(1)
				q.answer(s, 200, []byte("checked"), nil, true)
			}
		}); err != nil {
			return notRun, err
		}
	}
	time.Sleep(3 * time.Second)
	body, items := lot(1, allGroups, desiredGroups)
	at := channel{to: f.fronts[0].callers()}
	defer at.close()
	header := map[string]string{"Authorization": tenantKey, "Content-Type": "application/json"}
	status, text, err := at.call("POST", "/hint/submit", "lot00001", header, body, 10*time.Second)
	rec.logf("client: batch job lot00001 with %d items answered %d %s %v", items, status, text, err)
	if status != 202 {
		return notRun, errors.New("the batch job was not accepted")
	}
	began := time.Now()
	// The trainer reads twice a second, and ends the batch job once it has its groups or at its
	// time budget.
	wanted, budget := desiredGroups, runDeadline
	if !trouble {
		wanted, budget = allGroups, time.Minute
	}
	for {
		n, groups, err := completeGroups(&at, header)
		if err != nil {
			return notRun, err
		}
		if groups >= wanted || time.Since(began) >= budget {
			rec.logf("client: %d results and %d whole groups are listed after %d ms", n, groups, time.Since(began).Milliseconds())
			break
		}
		time.Sleep(min(500*time.Millisecond, max(0, time.Until(began.Add(budget)))))
	}
	status, _, err = at.call("DELETE", "/lots/lot00001", newID(), header, "", 3*time.Second)
	ended := time.Now()
	rec.logf("client: the end of the batch job is answered %d %v", status, err)
	if status != 200 {
		return notRun, errors.New("the end was not confirmed")
	}
	time.Sleep(14 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late, latest := 0, time.Duration(0)
	for id, times := range arrivals {
		for _, t := range times {
			if t.After(ended.Add(cancelMs)) {
				late++
				latest = max(latest, t.Sub(ended))
				rec.logf("UNASKED: reward call %s reached a server %d ms after the confirmation of the end", id, t.Sub(ended).Milliseconds())
			}
		}
	}
	rec.logf("%d reward calls, %d of them reached a server later than %v after the confirmation of the end, the last one after %v", len(arrivals), late, cancelMs, latest)
	fmt.Printf("%d reward calls, %d later than %v after the confirmation of the end, the last one after %v\n", len(arrivals), late, cancelMs, latest.Round(time.Millisecond))
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// completeGroups reads the results of the batch job and returns their number, and that of the
// groups whose items are all listed.
func completeGroups(at *channel, header map[string]string) (results, groups int, err error) {
	status, text, err := at.call("GET", "/lots/lot00001?after=0", newID(), header, "", 3*time.Second)
	if err != nil {
		return 0, 0, err
	}
	var r struct{ Results []struct{ ID string } }
	if err := json.Unmarshal([]byte(text), &r); status != 200 || err != nil {
		return 0, 0, fmt.Errorf("a read is answered %d %.100s", status, text)
	}
	items := map[string]int{}
	for _, x := range r.Results {
		group := x.ID[:len(x.ID)-1]
		if items[group]++; items[group] == 4 {
			groups++
		}
	}
	return len(r.Results), groups, nil
}
