package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/apricotstream/apricotstream/internal/account"
)

// Table is a Configuration compiled for lookups. It is immutable.
type Table struct {
	Config *Configuration
	// HasHomes is set if a route or an account has home regions.
	HasHomes bool

	hosts map[string][]*Route // by lower-case host, longest prefix first
	keys  map[string]*Account // by key hash
}

// NewTable compiles c, which must not be changed afterwards.
func NewTable(c *Configuration) *Table {
	t := &Table{Config: c, HasHomes: c.HasHomes(), hosts: map[string][]*Route{}, keys: map[string]*Account{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, rs := range t.hosts {
		slices.SortFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].KeyHashes {
			t.keys[k] = &c.Accounts[i]
		}
	}
	return t
}

// Route returns the route of the host whose prefix is the longest one that path starts
// with. It returns nil if there is none. A port in host is ignored.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// BatchRoute returns a route of the host that takes batch jobs, or nil if there is none.
func (t *Table) BatchRoute(host string) *Route {
	for _, r := range t.hosts[hostName(host)] {
		if r.Kind == Batch {
			return r
		}
	}
	return nil
}

// Account returns the client account that has the given key, or nil if there is none.
func (t *Table) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return t.keys[account.Hash(key)]
}

// hostName returns host in lower case and without its port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// LeadsTo reports whether the route sends requests to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 })
}

// Service selects one of the services of the route by weight. draw is a random number in
// [0, 1).
func (r *Route) Service(draw float64) string {
	sum := 0
	for _, s := range r.Splits {
		sum += s.Weight
	}
	remaining := draw * float64(sum)
	for _, s := range r.Splits {
		remaining -= float64(s.Weight)
		if remaining < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	return ""
}
