package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment.
const (
	host      = "chasse.example"
	plainPath = "/soumission/"
	jobPath   = "/indice/"
	plainName = "correcteur"
	modelName = "indices-llm"
	model     = "indices"
)

// manifest returns a manifest like that of the sheet, with a plain route and one for batch jobs.
func manifest(version int, key string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-soumission", "host": host, "pathPrefix": plainPath, "type": "safe", "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2, "service": plainName, "maxAttempts": 2},
			map[string]any{"name": "r-indice", "host": host, "pathPrefix": jobPath, "type": "rollout", "timeoutMs": 10000, "targetLatencyMs": 400, "priority": 1, "service": modelName, "maxAttempts": 3, "runDeadlineMs": 7500, "itemTtlS": 12},
		},
		"services": []any{
			map[string]any{"name": plainName, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": modelName, "healthPath": "/healthz", "maxConns": 130, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8, "models": []any{map[string]any{"name": model}}}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t-organiser", "apiKeys": []string{key}, "priority": 1}},
	}
}

// callerHeader returns the header of a request of the tenant with a key.
func callerHeader(key string, deadline time.Duration) http.Header {
	return http.Header{"Host": {host}, "Authorization": {"Token " + key}, "Deadline-Ms": {fmt.Sprint(deadline.Milliseconds())}, "Request-Id": {newID()}}
}

// soundServer starts a sound server of the plain service.
func (s *site) soundServer(n int) (*server, error) {
	v := s.newServer(n, plainName)
	return v, v.start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v.misdirected(w, r) {
			return
		}
		body := readBody(r)
		time.Sleep(25 * time.Millisecond)
		v.answer(w, r, fmt.Sprintf("%s %s %d bytes", r.Method, r.RequestURI, len(body)))
	}))
}

// begin starts a deployment with a manifest and a sound plain server and waits until all entries serve.
func (s *site) begin(ctx context.Context, key string) error {
	if err := s.run(); err != nil {
		return err
	}
	if _, err := s.soundServer(0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	if err := s.putConfig(ctx, manifest(1, key)); err != nil {
		return err
	}
	for _, e := range s.entries {
		if err := s.awaitServed(ctx, e, callerHeader(key, 1500*time.Millisecond), plainPath+"first", http.StatusOK); err != nil {
			return err
		}
	}
	s.say("the deployment serves: %d replicas with %d MB each, %d entries with %d MB each", len(s.replicas), replicaMemoryMB, len(s.entries), entryMemoryMB)
	return nil
}

// memoryGuard does what the platform does: a process that uses more memory than its machine has is
// killed, and started again a second later.
type memoryGuard struct {
	mu    sync.Mutex
	kills map[string]int
	most  map[string]int64 // MB
	wg    sync.WaitGroup
	stop  chan struct{}
}

func (s *site) guardMemory(list []*daemon) *memoryGuard {
	g := &memoryGuard{kills: map[string]int{}, most: map[string]int64{}, stop: make(chan struct{})}
	for _, d := range list {
		g.wg.Go(func() { g.watch(d) })
	}
	return g
}

func (g *memoryGuard) watch(d *daemon) {
	limit := int64(entryMemoryMB)
	if d.replica {
		limit = replicaMemoryMB
	}
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		_, peak := d.memoryKB()
		g.mu.Lock()
		g.most[d.id] = max(g.most[d.id], peak/1024)
		g.mu.Unlock()
		if peak/1024 <= limit && d.running() {
			continue
		}
		if d.running() {
			d.site.say("%s uses %d MB of %d MB: it is killed", d.id, peak/1024, limit)
			_ = syscall.Kill(d.pid(), syscall.SIGKILL)
		} else {
			d.site.say("%s has ended by itself", d.id)
		}
		<-d.ended
		g.mu.Lock()
		g.kills[d.id]++
		g.mu.Unlock()
		select {
		case <-g.stop:
			return
		case <-time.After(time.Second):
		}
		d.site.add("%s is started again", d.id)
		if err := d.start(false); err != nil {
			d.site.say("%s: %v", d.id, err)
			return
		}
	}
}

// end stops the guard and returns the number of kills by daemon.
func (g *memoryGuard) end() map[string]int {
	close(g.stop)
	g.wg.Wait()
	return g.kills
}

// counts returns the number of processes that were killed at least once.
func (g *memoryGuard) counts() (processes, kills int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.kills {
		processes++
		kills += n
	}
	return processes, kills
}

func env(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}
