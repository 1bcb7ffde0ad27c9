package routing

import (
	"strings"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Validate returns DocumentInvalid if c is not a valid configuration.
func (c *Configuration) Validate() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("service %q is unnamed or listed twice", s.Name)
		}
		if s.ColdPerS < 0 {
			return invalid("service %s: the number of requests to a cold upstream is negative", s.Name)
		}
		services[s.Name] = true
	}
	type hostPrefix struct{ host, prefix string }
	routeNames := map[hostPrefix]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		key := hostPrefix{strings.ToLower(r.Host), r.Prefix}
		if other, ok := routeNames[key]; ok {
			return invalid("routes %s and %s have the same host and prefix", other, r.Name)
		}
		routeNames[key] = r.Name
	}
	return c.validateAccounts()
}

func (r *Route) validate(services map[string]bool) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %s: host or prefix is missing or malformed", r.Name)
	}
	switch r.Kind {
	case Idempotent, NonIdempotent, Batch:
	default:
		return invalid("route %s: unknown kind %q", r.Name, r.Kind)
	}
	if r.Timeout < 0 || r.MaxAttempts < 0 {
		return invalid("route %s: timeout or maximum number of attempts is negative", r.Name)
	}
	sum := 0
	for _, s := range r.Splits {
		if !services[s.Service] {
			return invalid("route %s: unknown service %s", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %s: a weight is negative", r.Name)
		}
		sum += s.Weight
	}
	if sum == 0 {
		return invalid("route %s: the weights add up to 0", r.Name)
	}
	return nil
}

func (c *Configuration) validateAccounts() error {
	names, keys := map[string]bool{}, map[string]string{}
	for _, a := range c.Accounts {
		if a.Name == "" || names[a.Name] {
			return invalid("client account %q is unnamed or listed twice", a.Name)
		}
		names[a.Name] = true
		for _, k := range a.KeyHashes {
			if other, ok := keys[k]; ok && other != a.Name {
				return invalid("client accounts %s and %s have the same key", other, a.Name)
			}
			keys[k] = a.Name
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return result.New(result.DocumentInvalid, format, args...)
}
