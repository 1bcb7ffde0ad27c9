package routing

import (
	"fmt"
	"strings"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Problem is a reason to reject a configuration.
type Problem struct {
	Result   result.Code // of the rejection
	Code     string      // stable name of the kind of problem
	Location Location
	Message  string
}

// Err returns the error with which a configuration is rejected for the problem.
func (p Problem) Err() error { return result.New(p.Result, "%s", p.Message) }

// Validate returns DocumentInvalid with the first of the Problems, nil if there are none.
func (c *Configuration) Validate() error {
	if list := c.Problems(); len(list) > 0 {
		return list[0].Err()
	}
	return nil
}

// Problems returns all reasons to reject c, those of services first, then those of routes and
// accounts.
func (c *Configuration) Problems() []Problem {
	var p problems
	services := p.services(c.Services)
	p.routes(c.Routes, services)
	p.accounts(c.Accounts)
	return p
}

type problems []Problem

func (p *problems) add(at Location, code, format string, args ...any) {
	*p = append(*p, Problem{Result: result.DocumentInvalid, Code: code, Location: at, Message: fmt.Sprintf(format, args...)})
}

// services adds the problems of the services and returns the names of all services.
func (p *problems) services(list []Service) map[string]bool {
	names := map[string]bool{}
	for i, s := range list {
		at := At("services", i)
		if s.Name == "" || names[s.Name] {
			p.add(at.Field("name"), "service-name-invalid", "service %q is unnamed or listed twice", s.Name)
		}
		if s.ColdPerS < 0 {
			p.add(at.Field("cold_per_s"), "cold-rate-negative", "service %s: the number of requests to a cold upstream is negative", s.Name)
		}
		names[s.Name] = true
	}
	return names
}

func (p *problems) routes(list []Route, services map[string]bool) {
	type hostPrefix struct{ host, prefix string }
	names := map[hostPrefix]string{}
	for i := range list {
		r, at := &list[i], At("routes", i)
		p.route(at, r, services)
		key := hostPrefix{strings.ToLower(r.Host), r.Prefix}
		if other, ok := names[key]; ok {
			p.add(at.Field("prefix"), "route-duplicate", "routes %s and %s have the same host and prefix", other, r.Name)
		}
		names[key] = r.Name
	}
}

func (p *problems) route(at Location, r *Route, services map[string]bool) {
	if r.Host == "" {
		p.add(at.Field("host"), "route-host-missing", "route %s: the host is missing", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		p.add(at.Field("prefix"), "route-prefix-invalid", "route %s: the prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	switch r.Kind {
	case Idempotent, NonIdempotent, Batch:
	default:
		p.add(at.Field("kind"), "route-kind-unknown", "route %s: unknown kind %q", r.Name, r.Kind)
	}
	if r.Timeout < 0 {
		p.add(at.Field("timeout"), "timeout-not-positive", "route %s: the timeout is negative", r.Name)
	}
	if r.MaxAttempts < 0 {
		p.add(at.Field("max_attempts"), "attempts-negative", "route %s: the maximum number of attempts is negative", r.Name)
	}
	p.homes(at, "route "+r.Name, r.Homes)
	p.splits(at.Field("splits"), r, services)
}

func (p *problems) splits(at Location, r *Route, services map[string]bool) {
	sum, before := 0, len(*p)
	for i, s := range r.Splits {
		if !services[s.Service] {
			p.add(at.Index(i).Field("service"), "service-unknown", "route %s: unknown service %s", r.Name, s.Service)
		}
		if s.Weight < 0 {
			p.add(at.Index(i).Field("weight"), "weight-negative", "route %s: a weight is negative", r.Name)
		}
		sum += s.Weight
	}
	if sum == 0 && len(*p) == before {
		p.add(at, "weights-zero", "route %s: the weights add up to 0", r.Name)
	}
}

func (p *problems) accounts(list []Account) {
	names, keys := map[string]bool{}, map[string]string{}
	for i, a := range list {
		at := At("accounts", i)
		if a.Name == "" || names[a.Name] {
			p.add(at.Field("name"), "account-name-invalid", "client account %q is unnamed or listed twice", a.Name)
		}
		names[a.Name] = true
		p.homes(at, "client account "+a.Name, a.Homes)
		for j, k := range a.KeyHashes {
			if other, ok := keys[k]; ok && other != a.Name {
				p.add(at.Field("key_hashes").Index(j), "key-shared", "client accounts %s and %s have the same key", other, a.Name)
			}
			keys[k] = a.Name
		}
	}
}
