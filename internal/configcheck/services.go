package configcheck

import "github.com/apricotstream/apricotstream/internal/routing"

// unusedServices finds services that no route names. One with a weight of 0 is meant to be idle.
func unusedServices(c *routing.Configuration, _ Bounds) []Finding {
	if len(c.Routes) == 0 {
		return nil // see noRoutes
	}
	named := map[string]bool{"": true}
	for _, r := range c.Routes {
		for _, s := range r.Splits {
			named[s.Service] = true
		}
	}
	var out []Finding
	for i, s := range c.Services {
		if !named[s.Name] {
			out = append(out, warning(routing.At("services", i), "service-unused", "no route names service %s, so that it gets no new requests; add it to a route or remove it", s.Name))
		}
	}
	return out
}

// scalingRanges finds scaling rules with a minimum above the maximum.
func scalingRanges(c *routing.Configuration, _ Bounds) []Finding {
	var out []Finding
	for i, s := range c.Services {
		if x := s.Scaling; x != nil && x.Min > x.Max {
			out = append(out, warning(routing.At("services", i).Field("scaling"), "scaling-min-above-max", "service %s: the minimum of %d upstreams is above the maximum of %d, so that no number satisfies both; raise the maximum or lower the minimum", s.Name, x.Min, x.Max))
		}
	}
	return out
}

// negativeServiceNumbers finds negative numbers that daemons accept.
func negativeServiceNumbers(c *routing.Configuration, _ Bounds) []Finding {
	var out []Finding
	for i, s := range c.Services {
		at := routing.At("services", i)
		if s.Engine != nil && s.Engine.Slots < 0 {
			out = append(out, warning(at.Field("engine").Field("slots"), "negative-value", "service %s: %d slots are not possible; set the number above 0, or remove it to use the one that upstreams announce", s.Name, s.Engine.Slots))
		}
		x := s.Scaling
		if x == nil {
			continue
		}
		for _, v := range []struct {
			field, name string
			negative    bool
		}{
			{"min", "minimum", x.Min < 0}, {"max", "maximum", x.Max < 0}, {"boot", "boot time", x.Boot < 0},
		} {
			if v.negative {
				out = append(out, warning(at.Field("scaling").Field(v.field), "negative-value", "service %s: the %s of the scaling rule is negative; set it to 0 or above", s.Name, v.name))
			}
		}
	}
	return out
}
