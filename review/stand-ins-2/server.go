package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in of a server of a service, which speaks what the pages say.
type server struct {
	site    *site
	id      string
	service string
	zone    string
	address string
	born    int64
	slots   int
	engine  bool
	version string // of its software
	models  []map[string]any

	mu    sync.Mutex
	seq   int
	state string
	http  *http.Server
	stop  context.CancelFunc
}

// newServer returns a server at the n-th address for servers.
func (s *site) newServer(n int, service string) *server {
	return &server{site: s, id: fmt.Sprintf("i-%s-%d", newID()[:6], n), service: service, zone: zones[n%3], address: fmt.Sprintf("%s.%d:%d", s.network, 150+n, portServer), slots: 8, version: "v1", state: "ready"}
}

// start listens, serves handler and sends status reports.
func (v *server) start(handler http.Handler) error {
	l, err := net.Listen("tcp", v.address)
	if err != nil {
		return err
	}
	v.born = time.Now().UnixMilli()
	v.http = &http.Server{Handler: handler}
	go v.http.Serve(l)
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	v.site.closers = append(v.site.closers, func() { v.close() })
	go v.report(ctx)
	return nil
}

func (v *server) close() {
	v.stop()
	v.http.Close()
}

// report sends a status report every 1.2 s.
func (v *server) report(ctx context.Context) {
	for i := 0; ; i++ {
		v.announce(ctx, v.site.replicas[i%len(v.site.replicas)])
		select {
		case <-ctx.Done():
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// announce sends one status report to a daemon.
func (v *server) announce(ctx context.Context, to *daemon) bool {
	v.mu.Lock()
	v.seq++
	body := map[string]any{"service": v.service, "address": v.address, "zone": v.zone, "version": v.version, "slots": v.slots, "state": v.state, "coldMs": 0, "seq": v.seq, "born": v.born}
	if v.models != nil {
		body["models"], body["stage"] = v.models, "both"
	}
	v.mu.Unlock()
	b, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	status, _, err := v.site.call(ctx, http.MethodPut, "http://"+to.control()+"/instances/"+v.id, nil, b)
	return err == nil && status/100 == 2
}

// readBody reads the whole body of a request.
func readBody(r *http.Request) []byte {
	var b bytes.Buffer
	_, _ = io.Copy(&b, r.Body)
	return b.Bytes()
}

// answer writes a success with the server's signature.
func (v *server) answer(w http.ResponseWriter, r *http.Request, body string) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", "stamp."+v.id+"."+r.Header.Get("Request-Id"))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = io.WriteString(w, body)
}

// misdirected answers 421 if the request is meant for another server.
func (v *server) misdirected(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != v.id {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	return false
}
