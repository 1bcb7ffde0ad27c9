package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// engine is a stand-in of a model server that runs items of batch jobs soundly.
type engine struct {
	*server
	events int           // of an item
	pace   time.Duration // between events
	data   string        // appended to each event
	runs   atomic.Int64
}

// startEngine starts a sound model server.
func (s *site) startEngine(n int, events int, pace time.Duration) (*engine, error) {
	e := &engine{server: s.newServer(n, modelName), events: events, pace: pace}
	e.models = []map[string]any{{"name": model, "version": 1, "adapters": []any{}}}
	return e, e.start(e)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	switch r.URL.Path {
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":0,"numWaiting":0,"numRunning":0,"kvUsed":0,"kvTotal":90000,"handles":0,"born":%d}`, model, e.born)
		return
	case "/order":
		w.WriteHeader(http.StatusOK)
		return
	case "/healthz":
		w.Header().Set("Instance-Id", e.id)
		return
	}
	readBody(r)
	e.runs.Add(1)
	h := w.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	h.Set("Server-Stamp", "stamp."+e.id+"."+r.Header.Get("Request-Id"))
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", "1")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(w).Flush
	for i := last + 1; i <= e.events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.pace):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s.%d%s\n\n", i, r.Header.Get("Request-Id"), i, e.data)
		_ = flush()
	}
}
