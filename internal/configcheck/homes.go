package configcheck

import (
	"slices"

	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/routing"
)

// homesWithoutUpstreams finds services of a route with home regions whose upstreams are ordered only
// in zones elsewhere. Of services without zones it is not known where their upstreams are.
func homesWithoutUpstreams(c *routing.Configuration, b Bounds) []Finding {
	if len(b.Zones) == 0 {
		return nil
	}
	return eachRoute(c, func(at routing.Location, r *routing.Route) []Finding {
		h := homes.Of(r.Homes)
		if h == nil {
			return nil
		}
		var out []Finding
		for i, split := range r.Splits {
			s, _ := c.Service(split.Service)
			if split.Weight <= 0 || s.Scaling == nil || len(s.Scaling.ZonePrices) == 0 {
				continue
			}
			served := false
			for zone := range s.Scaling.ZonePrices {
				served = served || h.Allows(b.Zones[zone])
			}
			if !served {
				out = append(out, warning(at.Field("splits").Index(i).Field("service"), "homes-without-upstreams", "route %s: service %s has no upstreams in the home regions %v, so that its requests are rejected; add a zone in these regions to the service or a region to the route", r.Name, s.Name, h))
			}
		}
		return out
	})
}

// disjointHomes finds accounts that no route with home regions can serve.
func disjointHomes(c *routing.Configuration, _ Bounds) []Finding {
	var out []Finding
	for i, a := range c.Accounts {
		j := slices.IndexFunc(c.Routes, func(r routing.Route) bool {
			h := homes.Of(r.Homes, a.Homes)
			return !r.Open && h != nil && len(h.Regions) == 0
		})
		if j >= 0 {
			out = append(out, warning(routing.At("accounts", i).Field("homes"), "homes-disjoint", "account %s has no home region in common with route %s, so that its requests on this route are rejected; name a region in both", a.Name, c.Routes[j].Name))
		}
	}
	return out
}
