package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["encoded-slash"] = encodedSlash }

// encodedSlash sends requests whose path begins with the prefix of one route, and would begin with that of
// another one if its encoded slash were a slash.
func encodedSlash(r *record, trouble bool) (int, error) {
	s, err := newSite(r, 3, 3)
	if err != nil {
		return failed, err
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	key := newID()
	if err := s.begin(ctx, key); err != nil {
		return failed, err
	}
	const helpName = "aide"
	ran := &runs{record: r, by: map[string][]string{}}
	for n, service := range []string{plainName, helpName} {
		v := s.newServer(20+n, service)
		if err := v.start(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if v.misdirected(w, q) {
				return
			}
			readBody(q)
			ran.add(q.Header.Get("Request-Id"), fmt.Sprintf("service %s, %s %s, Tenant %q", v.service, q.Method, q.RequestURI, q.Header.Get("Tenant")))
			v.answer(w, q, v.service)
		})); err != nil {
			return failed, err
		}
	}
	s.closers[1]() // the first server of the plain service, which keeps no record, ends
	// The route of the help pages, below the keyed one, needs no key.
	doc := manifest(2, key)
	doc["routes"] = append(doc["routes"].([]any), map[string]any{"name": "r-aide", "host": host, "pathPrefix": plainPath + "aide/", "type": "safe", "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2, "service": helpName, "maxAttempts": 2, "authExempt": true})
	doc["services"] = append(doc["services"].([]any), map[string]any{"name": helpName, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false})
	if err := s.putConfig(ctx, doc); err != nil {
		return failed, err
	}
	time.Sleep(contactTime + 2*time.Second) // configApplyMs and more
	type sending struct {
		path    string
		key     string
		service string // the only one that the manifest allows; empty: none
	}
	list := []sending{
		{plainPath + "equipe7", key, plainName},
		{plainPath + "equipe7", "nobody", ""},
		{plainPath + "aide/regles", "nobody", helpName},
	}
	if trouble {
		list = append(list, sending{plainPath + "aide%2Fequipe7", key, plainName}, sending{plainPath + "aide%2Fequipe7", "nobody", ""}, sending{plainPath + "aide%2Fequipe7", "", ""})
	}
	status := held
	for _, e := range s.entries {
		for _, x := range list {
			id := newID()
			line, err := rawRequest(e.callers(), x.path, x.key, id)
			time.Sleep(50 * time.Millisecond)
			got := ran.of(id)
			s.say("%s: POST %s with %s: %q %v; ran at: %v", e.id, x.path, keyName(x.key, key), line, err, got)
			if err != nil {
				return failed, err
			}
			for _, g := range got {
				if x.service == "" {
					s.say("  ROUTE: a request ran whose key no manifest ever held, on a path that needs one")
					status = broken
				} else if !strings.HasPrefix(g, "service "+x.service+",") {
					s.say("  ROUTE: a service ran it to which no manifest allows it to go; the route is that of %s", x.service)
					status = broken
				}
			}
			if x.service != "" && len(got) == 0 {
				return failed, fmt.Errorf("a request that the manifest allows did not run")
			}
		}
	}
	return status, nil
}

func keyName(k, own string) string {
	switch k {
	case "":
		return "no key"
	case own:
		return "the tenant's key"
	}
	return "an unknown key"
}

// runs keeps which servers ran a request.
type runs struct {
	*record
	mu sync.Mutex
	by map[string][]string
}

func (x *runs) add(id, what string) {
	x.record.add("request %s runs: %s", id, what)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.by[id] = append(x.by[id], what)
}

func (x *runs) of(id string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.by[id]
}

// rawRequest sends a request with the path as it is and returns the status line of the answer.
func rawRequest(address, path, key, id string) (string, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	auth := ""
	if key != "" {
		auth = "Authorization: Token " + key + "\r\n"
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\n%sContent-Length: 5\r\n\r\nguess", path, host, id, auth)
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil && err != io.EOF {
		return "", err
	}
	return strings.TrimSpace(line), nil
}
