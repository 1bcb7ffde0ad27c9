package configcheck

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/account"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/routing"
)

var entryBounds = Bounds{HeaderBytes: 128 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, Memory: 144 << 20, Zones: map[string]string{"z0": "r", "f0": "far"}, JobPrefixes: []string{"/jobs/"}}

func validConfiguration() *routing.Configuration {
	return &routing.Configuration{
		Version: 3, Keyed: true,
		Services: []routing.Service{
			{Name: "engine", Engine: &routing.Engine{Slots: 4, Models: []string{"m1"}}, Scaling: &routing.Scaling{Min: 2, Max: 2, Boot: time.Second}},
			{Name: "plain", ColdPerS: 4},
			{Name: "idle"},
		},
		Routes: []routing.Route{
			{Name: "ask", Host: "A.example", Prefix: "/", Kind: routing.Idempotent, Timeout: time.Second, TargetLatency: time.Second, MaxAttempts: 3, Splits: []routing.Split{{Service: "plain", Weight: 9}, {Service: "idle"}}},
			{Name: "part", Host: "a.example", Prefix: "/jobs/x/", Kind: routing.NonIdempotent, MaxAttempts: 2, Open: true, Splits: []routing.Split{{Service: "plain", Weight: 1}, {Service: "engine", Weight: 1}}},
			{Name: "jobs", Host: "[::1]", Prefix: "/run/", Kind: routing.Batch, Timeout: time.Second, TargetLatency: 2 * time.Second, RunDeadline: time.Minute, ItemTTL: time.Minute, Splits: []routing.Split{{Service: "plain"}, {Service: "engine", Weight: 2}, {Service: "engine", Weight: 3}}},
		},
		Accounts: []routing.Account{{Name: "one", KeyHashes: []string{account.Hash("k1"), account.Hash("k2")}}, {Name: "two", KeyHashes: []string{account.Hash("k3")}}},
		Limits:   routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 32 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// found returns the findings as codes with locations.
func found(list []Finding) []string {
	out := []string{}
	for _, f := range list {
		out = append(out, f.Code+" "+string(f.Location))
	}
	return out
}

// Nothing that works may be reported: equal bounds, a service that is kept idle with a weight of 0, a
// prefix of job calls on a host without jobs, and the address of an IPv6 host.
func TestValidConfigurationHasNoFindings(t *testing.T) {
	g := NewWithT(t)
	c := validConfiguration()
	g.Expect(c.Validate()).To(Succeed())
	g.Expect(Check(c, nil, entryBounds)).To(BeEmpty())
	c.Limits, c.Accounts, c.Keyed = routing.Limits{}, nil, false
	g.Expect(Check(c, nil, Bounds{})).To(BeEmpty())
}

// Each fault is found, with its place, and nothing else is reported for it.
func TestCheckFinds(t *testing.T) {
	type change = func(*routing.Configuration)
	for name, c := range map[string]struct {
		change change
		want   []string
	}{
		"no routes":                     {func(c *routing.Configuration) { c.Routes = nil }, []string{"no-routes routes"}},
		"a host with a port":            {func(c *routing.Configuration) { c.Routes[0].Host = "a.example:80" }, []string{"host-impossible routes[0].host"}},
		"an IPv6 host with a port":      {func(c *routing.Configuration) { c.Routes[0].Host = "[::2]:80" }, []string{"host-impossible routes[0].host"}},
		"a URL as the host":             {func(c *routing.Configuration) { c.Routes[0].Host = "http://a.example/" }, []string{"host-impossible routes[0].host"}},
		"a host that is not ASCII":      {func(c *routing.Configuration) { c.Routes[0].Host = "énigme.example" }, []string{"host-impossible routes[0].host"}},
		"a pattern as the host":         {func(c *routing.Configuration) { c.Routes[0].Host = "*.example" }, []string{"host-pattern routes[0].host"}},
		"a path of job calls":           {func(c *routing.Configuration) { c.Routes[2].Host = "A.EXAMPLE" }, []string{"route-hidden routes[1].prefix"}},
		"a second service of jobs":      {func(c *routing.Configuration) { c.Routes[2].Splits[0].Weight = 1 }, []string{"split-unused routes[2].splits[1]", "split-unused routes[2].splits[2]"}},
		"a target above the timeout":    {func(c *routing.Configuration) { c.Routes[0].TargetLatency++ }, []string{"target-latency-above-timeout routes[0].target_latency"}},
		"items that end at once":        {func(c *routing.Configuration) { c.Routes[2].ItemTTL = 0 }, []string{"item-ttl-not-positive routes[2].item_ttl"}},
		"items that end before due":     {func(c *routing.Configuration) { c.Routes[2].RunDeadline++ }, []string{"run-deadline-above-item-ttl routes[2].run_deadline"}},
		"a negative target":             {func(c *routing.Configuration) { c.Routes[0].TargetLatency = -1 }, []string{"negative-value routes[0].target_latency"}},
		"a negative deadline":           {func(c *routing.Configuration) { c.Routes[2].RunDeadline = -1 }, []string{"negative-value routes[2].run_deadline"}},
		"a service without a route":     {func(c *routing.Configuration) { c.Services = append(c.Services, routing.Service{Name: "x"}) }, []string{"service-unused services[3]"}},
		"a minimum above the maximum":   {func(c *routing.Configuration) { c.Services[0].Scaling.Min = 3 }, []string{"scaling-min-above-max services[0].scaling"}},
		"negative numbers of a service": {func(c *routing.Configuration) { c.Services[0].Engine.Slots, c.Services[0].Scaling.Boot = -1, -1 }, []string{"negative-value services[0].engine.slots", "negative-value services[0].scaling.boot"}},
		"an account without a key":      {func(c *routing.Configuration) { c.Accounts[1].KeyHashes = nil }, []string{"account-without-key accounts[1]"}},
		"an empty key":                  {func(c *routing.Configuration) { c.Accounts[0].KeyHashes[1] = account.Hash("") }, []string{"key-empty accounts[0].key_hashes[1]"}},
		"no account at all":             {func(c *routing.Configuration) { c.Accounts = nil }, []string{"no-usable-key accounts"}},
		"accounts that nothing needs": {func(c *routing.Configuration) {
			c.Routes[0].Open, c.Routes[2].Open, c.Routes[2].Kind = true, true, routing.Idempotent
			c.Routes[2].TargetLatency = 0
		}, []string{"accounts-unused accounts"}},
		"homes without upstreams": {func(c *routing.Configuration) {
			c.Routes[0].Homes, c.Routes[1].Homes = []string{"far"}, []string{"far", "r"}
			for i := range c.Services {
				c.Services[i].Scaling = &routing.Scaling{Max: 2, ZonePrices: map[string]float64{"z0": 1}}
			}
		}, []string{"homes-without-upstreams routes[0].splits[0].service"}},
		"disjoint homes": {func(c *routing.Configuration) {
			c.Routes[0].Homes, c.Accounts[1].Homes = []string{"far"}, []string{"r"}
		}, []string{"homes-disjoint accounts[1].homes"}},
		"bodies below headers":  {func(c *routing.Configuration) { c.Limits.BodyBytes = 1 << 10 }, []string{"body-limit-below-header-limit limits.body_bytes"}},
		"bodies above memory":   {func(c *routing.Configuration) { c.Limits.BodyBytes = 64 << 20 }, []string{"body-limit-above-memory limits.body_bytes"}},
		"headers above entries": {func(c *routing.Configuration) { c.Limits.HeaderBytes = 128<<10 + 1 }, []string{"limit-above-entry limits.header_bytes"}},
		"times above entries": {func(c *routing.Configuration) { c.Limits.HeaderTimeout, c.Limits.IdleTimeout = time.Minute, time.Hour }, []string{
			"limit-above-entry limits.header_timeout", "limit-above-entry limits.idle_timeout",
		}},
		"a negative limit": {func(c *routing.Configuration) { c.Limits.BodyBytes = -1 }, []string{"negative-value limits.body_bytes"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			conf := validConfiguration()
			c.change(conf)
			g.Expect(conf.Validate()).To(Succeed(), "daemons accept it")
			findings := Check(conf, nil, entryBounds)
			g.Expect(found(findings)).To(Equal(c.want))
			g.Expect(Worst(findings)).To(Equal(Warning))
		})
	}
}

// A rejection outranks warnings, and is reported for a document that cannot be decoded, too.
func TestProblemsAreErrors(t *testing.T) {
	g := NewWithT(t)
	problem := routing.Problem{Result: result.DocumentInvalid, Code: "x", Location: "routes[1].kind", Message: "m"}
	want := Finding{Severity: Error, Code: "x", Location: "routes[1].kind", Message: "m"}
	g.Expect(Check(nil, []routing.Problem{problem}, entryBounds)).To(Equal([]Finding{want}))
	list := Check(&routing.Configuration{}, []routing.Problem{problem}, entryBounds)
	g.Expect(found(list)).To(Equal([]string{"x routes[1].kind", "no-routes routes"}))
	g.Expect(Worst(list)).To(Equal(Error))
	g.Expect(Worst(nil)).To(BeEmpty())
}

// Guards against an unknown home region that is found only when the document is sent, and against a
// change of home regions that Diff does not list.
func TestHomeRegionsAreCheckedAndCompared(t *testing.T) {
	g := NewWithT(t)
	c := validConfiguration()
	c.Routes[0].Homes, c.Accounts[1].Homes = []string{"r", "far"}, []string{"r", "x"}
	findings := Check(c, nil, entryBounds)
	g.Expect(found(findings)).To(Equal([]string{"region-unknown accounts[1].homes[1]"}))
	g.Expect(Worst(findings)).To(Equal(Error))
	other := validConfiguration()
	other.Routes[0].Homes = []string{"far", "r", "r"}
	changes := Diff(c, other)
	g.Expect(changes).To(HaveLen(1), "the order of regions is no difference")
	g.Expect(changes[0].Fields).To(Equal([]FieldChange{{Field: "home regions", Old: "r x"}}))
}
