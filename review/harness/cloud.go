package main

import (
	"io"
	"net"
	"net/http"
	"sync"
)

// cloud is the platform's own interface. It accepts every call whose fencing token is not lower
// than one seen.
type cloud struct {
	mu    sync.Mutex
	token map[string]string
}

func startCloud(rec *record, address string) (*cloud, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &cloud{token: map[string]string{}}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		c.mu.Lock()
		defer c.mu.Unlock()
		fence := r.Header.Get("Fencing-Token")
		if old := c.token[r.URL.Path]; len(fence) < len(old) || len(fence) == len(old) && fence < old {
			w.WriteHeader(http.StatusConflict)
			return
		}
		c.token[r.URL.Path] = fence
		rec.logf("platform: %s holder %s token %s %s", r.URL.Path, r.Header.Get("Duty-Holder"), fence, b)
	}))
	return c, nil
}
