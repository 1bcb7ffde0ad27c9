package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/apricotstream/apricotstream/internal/routing"
)

// set returns a field with the text of v, without a value if v is the zero value.
func set[T comparable](name string, v T) field {
	var zero T
	if v == zero {
		return field{name: name}
	}
	return always(name, v)
}

// always returns a field with the text of v.
func always(name string, v any) field { return field{name: name, value: fmt.Sprint(v)} }

// wholeItem returns what belongs to no list.
func wholeItem(c *routing.Configuration) item {
	l := c.Limits
	return item{fields: []field{
		set("keys needed", c.Keyed), set("header bytes", l.HeaderBytes), set("body bytes", l.BodyBytes),
		set("header timeout", l.HeaderTimeout), set("idle timeout", l.IdleTimeout),
	}}
}

// routeItems returns the routes. Those without a name are named by host and prefix, which are
// distinct in a valid configuration.
func routeItems(c *routing.Configuration) []item {
	routes := slices.Clone(c.Routes)
	slices.SortFunc(routes, func(a, b routing.Route) int {
		return cmp.Or(cmp.Compare(strings.ToLower(a.Host), strings.ToLower(b.Host)), cmp.Compare(a.Prefix, b.Prefix))
	})
	var out []item
	for _, r := range routes {
		out = append(out, item{cmp.Or(r.Name, r.Host+r.Prefix), []field{
			always("host", r.Host), always("prefix", r.Prefix), always("kind", r.Kind),
			always("services", join(r.Splits, func(s routing.Split) string { return fmt.Sprintf("%s:%d", word(s.Service), s.Weight) })),
			set("timeout", r.Timeout), set("target latency", r.TargetLatency), always("priority", r.Priority), set("attempts", r.MaxAttempts),
			set("open", r.Open), set("streaming", r.Streaming), set("resumable", r.Resumable), set("single version", r.SingleVersion),
			set("run deadline", r.RunDeadline), set("item time to live", r.ItemTTL),
			set("home regions", regions(r.Homes)),
		}})
	}
	return distinct(out)
}

func serviceItems(c *routing.Configuration) []item {
	var out []item
	for _, s := range c.Services {
		fields := []field{set("cold requests per second", s.ColdPerS)}
		fields = append(fields, engineFields(s.Engine)...)
		out = append(out, item{s.Name, append(fields, scalingFields(s.Scaling)...)})
	}
	return distinct(out)
}

func engineFields(e *routing.Engine) []field {
	if e == nil {
		return []field{{name: "slots"}, {name: "models"}}
	}
	return []field{always("slots", e.Slots), always("models", join(slices.Sorted(slices.Values(e.Models)), word))}
}

func scalingFields(x *routing.Scaling) []field {
	out := []field{{name: "scaling min"}, {name: "scaling max"}, {name: "boot time"}, {name: "cheap price"}, {name: "zone prices"}}
	if x == nil {
		return out
	}
	zones := slices.Sorted(maps.Keys(x.ZonePrices))
	prices := join(zones, func(z string) string { return fmt.Sprintf("%s:%v", word(z), x.ZonePrices[z]) })
	for i, v := range []any{x.Min, x.Max, x.Boot, x.CheapPrice, prices} {
		out[i].value = fmt.Sprint(v)
	}
	return out
}

func accountItems(c *routing.Configuration) []item {
	var out []item
	for _, a := range c.Accounts {
		priority := field{name: "priority"}
		if a.Priority != nil {
			priority = always("priority", *a.Priority)
		}
		hashes := slices.Compact(slices.Sorted(slices.Values(a.KeyHashes)))
		out = append(out, item{a.Name, []field{priority, set("home regions", regions(a.Homes)), {name: "keys", value: join(hashes, word), secret: true}}})
	}
	return distinct(out)
}

// regions returns the text of home regions, whose order and repetition do not matter.
func regions(list []string) string {
	return join(slices.Compact(slices.Sorted(slices.Values(list))), word)
}

// word returns s so that it remains one entry of a list whose entries are separated by blanks.
func word(s string) string {
	if s == "" || strings.ContainsAny(s, " \"") {
		return strconv.Quote(s)
	}
	return s
}
