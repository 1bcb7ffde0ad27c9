package routing

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/apricotstream/apricotstream/internal/homes"
)

// maxRegionBytes bounds the name of a home region.
const maxRegionBytes = 128

// homes adds the problems of the home regions of a route or account that all daemons see alike.
func (p *problems) homes(at Location, owner string, list []string) {
	for i, region := range list {
		if region == "" || len(region) > maxRegionBytes {
			p.add(at.Field("homes").Index(i), "region-invalid", "%s: home region %.64q is not the name of a region", owner, region)
		}
	}
}

// RegionsOf returns the regions of a table of availability zones.
func RegionsOf(zones map[string]string) map[string]bool {
	out := map[string]bool{}
	for _, region := range zones {
		out[region] = true
	}
	return out
}

// UnknownRegions returns a problem for each home region that is not one of regions.
func (c *Configuration) UnknownRegions(regions map[string]bool) []Problem {
	var p problems
	known := strings.Join(slices.Sorted(maps.Keys(regions)), ", ")
	check := func(at Location, owner string, list []string) {
		for i, region := range list {
			if region != "" && !regions[region] {
				p.add(at.Field("homes").Index(i), "region-unknown", "%s: unknown home region %.64q; the regions are %s", owner, region, cmp.Or(known, "not known"))
			}
		}
	}
	for i, r := range c.Routes {
		check(At("routes", i), "route "+r.Name, r.Homes)
	}
	for i, a := range c.Accounts {
		check(At("accounts", i), "client account "+a.Name, a.Homes)
	}
	return p
}

// HasHomes reports whether a route or an account has home regions.
func (c *Configuration) HasHomes() bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return len(r.Homes) > 0 }) ||
		slices.ContainsFunc(c.Accounts, func(a Account) bool { return len(a.Homes) > 0 })
}

// HostHomes returns the home regions of the routes of a host, nil if none of them has any.
func (t *Table) HostHomes(host string) *homes.Homes {
	var all []string
	for _, r := range t.hosts[hostName(host)] {
		all = append(all, r.Homes...)
	}
	return homes.Of(all)
}
