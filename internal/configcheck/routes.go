package configcheck

import (
	"net"
	"strconv"
	"strings"

	"github.com/apricotstream/apricotstream/internal/routing"
)

// noRoutes finds a configuration without routes.
func noRoutes(c *routing.Configuration, _ Bounds) []Finding {
	if len(c.Routes) > 0 {
		return nil
	}
	return []Finding{warning("routes", "no-routes", "there is no route, so that every new request is rejected; add the routes")}
}

// impossibleHosts finds routes with a host that no caller's request has.
func impossibleHosts(c *routing.Configuration, _ Bounds) []Finding {
	return eachRoute(c, func(at routing.Location, r *routing.Route) []Finding {
		fault := hostFault(r.Host)
		if fault == "" {
			return nil
		}
		return []Finding{warning(at.Field("host"), "host-impossible", "no caller's request matches route %s: %s", r.Name, fault)}
	})
}

// hostFault returns why no request is looked up under a host and what to do, "" if one may be.
func hostFault(host string) string {
	for _, c := range host {
		switch {
		case c > 127:
			return "requests have hosts in ASCII; write the host in the form that begins with xn--"
		case !hostCharacter(c):
			return "a host cannot have the character " + strconv.QuoteRune(c) + "; write the host alone, without scheme and path"
		}
	}
	if _, port, err := net.SplitHostPort(host); err == nil {
		return "the port of a request's host is removed before routes are compared; remove :" + port
	}
	return ""
}

// hostPatterns finds routes whose host looks like a pattern.
func hostPatterns(c *routing.Configuration, _ Bounds) []Finding {
	return eachRoute(c, func(at routing.Location, r *routing.Route) []Finding {
		if !strings.Contains(r.Host, "*") {
			return nil
		}
		return []Finding{warning(at.Field("host"), "host-pattern", "route %s matches only requests whose host is literally %s, because * is no pattern; add a route for each host", r.Name, r.Host)}
	})
}

// hostCharacter reports whether RFC 3986 allows an ASCII character in a host. Brackets and colons
// belong to IPv6 addresses.
func hostCharacter(c rune) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.ContainsRune("-._~%!$&'()*+,;=:[]", c)
}

// hiddenByJobCalls finds routes whose paths are those of calls about batch jobs on their host.
func hiddenByJobCalls(c *routing.Configuration, b Bounds) []Finding {
	jobRoutes := map[string]string{}
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Kind == routing.Batch {
			jobRoutes[strings.ToLower(r.Host)] = r.Name
		}
	}
	return eachRoute(c, func(at routing.Location, r *routing.Route) []Finding {
		taker, ok := jobRoutes[strings.ToLower(r.Host)]
		if !ok {
			return nil
		}
		for _, prefix := range b.JobPrefixes {
			if strings.HasPrefix(r.Prefix, prefix) {
				return []Finding{warning(at.Field("prefix"), "route-hidden", "callers never reach route %s: host %s takes batch jobs (route %s), so that all paths under %s are calls about them; use another prefix or another host", r.Name, r.Host, taker, prefix)}
			}
		}
		return nil
	})
}

// unusedSplits finds services of a route for batch jobs that get no jobs.
func unusedSplits(c *routing.Configuration, _ Bounds) []Finding {
	return eachRoute(c, func(at routing.Location, r *routing.Route) []Finding {
		if r.Kind != routing.Batch {
			return nil
		}
		var out []Finding
		first := ""
		for i, s := range r.Splits {
			switch {
			case s.Weight <= 0 || s.Service == first:
			case first == "":
				first = s.Service
			default:
				out = append(out, warning(at.Field("splits").Index(i), "split-unused", "route %s: batch jobs go to the first service with a weight above 0, %s, and none to %s; remove this share or give %s a route of its own", r.Name, first, s.Service, s.Service))
			}
		}
		return out
	})
}

// targetAboveTimeout finds routes whose requests end before their target latency.
func targetAboveTimeout(c *routing.Configuration, _ Bounds) []Finding {
	return eachRoute(c, func(at routing.Location, r *routing.Route) []Finding {
		if r.Kind == routing.Batch || r.Timeout <= 0 || r.TargetLatency <= r.Timeout {
			return nil
		}
		return []Finding{warning(at.Field("target_latency"), "target-latency-above-timeout", "route %s: requests end after the timeout of %v, before the target latency of %v; lower the target latency or raise the timeout", r.Name, r.Timeout, r.TargetLatency)}
	})
}

// itemTTLs finds routes for batch jobs whose items end at once.
func itemTTLs(c *routing.Configuration, _ Bounds) []Finding {
	return eachRoute(c, func(at routing.Location, r *routing.Route) []Finding {
		if r.Kind != routing.Batch || r.ItemTTL > 0 {
			return nil
		}
		return []Finding{warning(at.Field("item_ttl"), "item-ttl-not-positive", "route %s: the time to live of items is %v, so that items without a result are aborted within about a second of the submission of their job; set the longest time that an item may take", r.Name, r.ItemTTL)}
	})
}

// runDeadlines finds routes for batch jobs whose items may be aborted before they are due.
func runDeadlines(c *routing.Configuration, _ Bounds) []Finding {
	return eachRoute(c, func(at routing.Location, r *routing.Route) []Finding {
		if r.Kind != routing.Batch || r.ItemTTL <= 0 || r.RunDeadline <= r.ItemTTL {
			return nil
		}
		return []Finding{warning(at.Field("run_deadline"), "run-deadline-above-item-ttl", "route %s: results are due %v after the submission, but unfinished items are aborted after %v; lower the deadline or raise the time to live of items", r.Name, r.RunDeadline, r.ItemTTL)}
	})
}

// negativeRouteTimes finds negative times that daemons accept.
func negativeRouteTimes(c *routing.Configuration, _ Bounds) []Finding {
	return eachRoute(c, func(at routing.Location, r *routing.Route) []Finding {
		var out []Finding
		if r.TargetLatency < 0 {
			out = append(out, warning(at.Field("target_latency"), "negative-value", "route %s: a negative target latency (%v) counts as none; remove it or set one above 0", r.Name, r.TargetLatency))
		}
		if r.Kind == routing.Batch && r.RunDeadline < 0 {
			out = append(out, warning(at.Field("run_deadline"), "negative-value", "route %s: with a negative deadline (%v) jobs are late when they are submitted; set one above 0", r.Name, r.RunDeadline))
		}
		return out
	})
}
