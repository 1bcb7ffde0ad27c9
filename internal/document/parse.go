package document

import (
	"fmt"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/strictini"
)

// Defaults and limits of document values.
const (
	defaultPriority       = 5
	defaultTimeout        = 30 * time.Second
	maxTimeout            = 30 * time.Minute
	defaultBodyLimitBytes = 1 << 20
	maxBodyLimitBytes     = 64 << 20
	maxStaleness          = 1000
	maxUpstreamsPerZone   = 10000
	maxAmount             = 1e9 // money an hour, or cost units a second
	defaultStartLimit     = 5 * time.Minute
	maxStartLimit         = 2 * time.Hour
)

// Parse decodes and checks the text of a document. A document with any problem is
// rejected with one DocumentInvalid error that lists every problem. file is the file name
// that the error contains.
func Parse(file, text string) (*Service, error) {
	s := Service{Staleness: 1, Capacity: Capacity{Concurrency: 8, Ceiling: maxUpstreamsPerZone, StartLimit: defaultStartLimit}}
	problems := strictini.Decode(file, text, s.section)
	problems = append(problems, s.check(file)...)
	if err := problems.Err(result.DocumentInvalid); err != nil {
		return nil, err
	}
	return &s, nil
}

// section returns the description of the named section, nil for an unknown one. For a
// route or account section it first appends the route or account with its defaults.
func (s *Service) section(name string) (*strictini.Section, error) {
	kind, item, named := strings.Cut(name, ":")
	if named {
		if err := strictini.CheckName(item); err != nil {
			return nil, err
		}
	}
	switch {
	case name == "service":
		return &strictini.Section{Keys: s.serviceKeys()}, nil
	case name == "weights":
		return &strictini.Section{Keys: []strictini.Key{
			{Name: "staleness", Default: "1", Help: "number of versions that a sample may lag behind the newest, 0 to 1000", Set: strictini.Int(&s.Staleness, 0, maxStaleness)},
		}}, nil
	case name == "capacity":
		return &strictini.Section{Keys: s.Capacity.keys()}, nil
	case named && kind == "route":
		s.Routes = append(s.Routes, Route{Name: item, Method: "POST", Access: AccessKeyed, Timeout: defaultTimeout, BodyLimit: defaultBodyLimitBytes})
		return &strictini.Section{Keys: s.Routes[len(s.Routes)-1].keys(s, len(s.Routes)-1)}, nil
	case named && kind == "account":
		s.Accounts = append(s.Accounts, Account{Name: item, Weight: 1, Priority: defaultPriority})
		return &strictini.Section{Keys: accountKeys(&s.Accounts[len(s.Accounts)-1])}, nil
	}
	return nil, nil
}

func (s *Service) serviceKeys() []strictini.Key {
	return []strictini.Key{
		{Name: "name", Required: true, Help: "name of the service", Set: strictini.Name(&s.Name)},
		{Name: "kind", Required: true, Help: "model or plain", Set: strictini.OneOf(&s.Kind, KindModel, KindPlain)},
		{Name: "owner", Required: true, Help: "client account that owns the service", Set: strictini.Name(&s.Owner)},
	}
}

// keys returns the keys of route i of s. Their setters hold a pointer into s.Routes, which
// stays valid while the section is read because sections are decoded one at a time.
func (*Route) keys(s *Service, i int) []strictini.Key {
	r := &s.Routes[i]
	return []strictini.Key{
		{Name: "method", Default: "POST", Help: "GET, POST, PUT, PATCH or DELETE", Set: strictini.OneOf(&r.Method, "GET", "POST", "PUT", "PATCH", "DELETE")},
		{Name: "path", Required: true, Help: "path after /services/NAME; a prefix when it ends in /", Set: pathSetter(&r.Path)},
		{Name: "access", Default: AccessKeyed, Help: "keyed or open", Set: strictini.OneOf(&r.Access, AccessKeyed, AccessOpen)},
		{Name: "idempotent", Default: "false", Help: "true if a request may run more than once without harm", Set: strictini.Bool(&r.Idempotent)},
		{Name: "timeout", Default: "30s", Help: "time until the complete response, 10ms to 30m", Set: strictini.Duration(&r.Timeout, 10*time.Millisecond, maxTimeout)},
		{Name: "body_limit", Default: "1048576", Help: "maximum size of a request body in bytes, 0 to 67108864", Set: strictini.Int(&r.BodyLimit, 0, maxBodyLimitBytes)},
	}
}

func accountKeys(a *Account) []strictini.Key {
	return []strictini.Key{
		{Name: "weight", Default: "1", Help: "share under contention, 0.001 to 1000", Set: strictini.Float(&a.Weight, 0.001, 1000)},
		{Name: "limit", Default: "0", Help: "rate limit in cost units a second, 0 for none", Set: strictini.Float(&a.Limit, 0, maxAmount)},
		{Name: "priority", Default: "5", Help: "engine priority, 0 to 9; 0 is served first", Set: strictini.Int(&a.Priority, 0, 9)},
	}
}

func (c *Capacity) keys() []strictini.Key {
	return []strictini.Key{
		{Name: "zones", Help: "availability zones, separated by commas", Set: strictini.Names(&c.Zones)},
		{Name: "floor", Default: "0", Help: "minimum number of regular upstreams in each zone", Set: strictini.Int(&c.Floor, 0, maxUpstreamsPerZone)},
		{Name: "ceiling", Default: "10000", Help: "maximum number of upstreams in each zone", Set: strictini.Int(&c.Ceiling, 0, maxUpstreamsPerZone)},
		{Name: "cheap_share", Default: "0", Help: "target share of cheap upstreams, 0 to 1", Set: strictini.Float(&c.CheapShare, 0, 1)},
		{Name: "spending_cap", Default: "0", Help: "maximum money an hour for ordered upstreams", Set: strictini.Float(&c.SpendingCap, 0, maxAmount)},
		{Name: "price", Default: "0", Help: "money an hour for a regular upstream", Set: strictini.Float(&c.Price, 0, maxAmount)},
		{Name: "price_cheap", Default: "0", Help: "money an hour for a cheap upstream", Set: strictini.Float(&c.PriceCheap, 0, maxAmount)},
		{Name: "concurrency", Default: "8", Help: "requests that one upstream runs concurrently, 1 to 10000", Set: strictini.Int(&c.Concurrency, 1, 10000)},
		{Name: "start_limit", Default: "5m", Help: "time limit for an ordered upstream to announce itself, 1s to 2h", Set: strictini.Duration(&c.StartLimit, time.Second, maxStartLimit)},
	}
}

// pathSetter returns a setter for the path of a route. The path must begin with / and must
// not contain a space, "?", "#" or "..".
func pathSetter(p *string) func(string) error {
	return func(v string) error {
		if !strings.HasPrefix(v, "/") || strings.ContainsAny(v, " ?#") || strings.Contains(v, "..") {
			return fmt.Errorf("not a path that begins with / and has no space, .., ? or #")
		}
		*p = v
		return nil
	}
}

// check returns the problems that concern the document as a whole or several keys
// together.
func (s *Service) check(file string) strictini.Problems {
	var out strictini.Problems
	add := func(format string, args ...any) {
		out = append(out, strictini.Problem{File: file, Code: result.DocumentInvalid, Message: fmt.Sprintf(format, args...)})
	}
	if s.Name == "" {
		add("the section [service] or its key name is missing")
	}
	if len(s.Routes) == 0 {
		add("the document has no [route:NAME] section, so no request could be served")
	}
	for i, r := range s.Routes {
		for _, o := range s.Routes[:i] {
			if o.Method == r.Method && o.Path == r.Path {
				add("routes %s and %s have the same method and path", o.Name, r.Name)
			}
		}
		if r.Access == AccessOpen && !r.Idempotent {
			add("route %s must be idempotent because its access is open: claims on requests belong to a client account", r.Name)
		}
	}
	c := s.Capacity
	if c.Floor > c.Ceiling {
		add("floor %d is above the ceiling %d", c.Floor, c.Ceiling)
	}
	if cost := float64(c.Floor*len(c.Zones)) * c.Price; cost > c.SpendingCap && c.SpendingCap > 0 {
		add("the floor costs %g an hour, above the spending cap %g", cost, c.SpendingCap)
	}
	return out
}
