package configcheck

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/membudget"
	"github.com/apricotstream/apricotstream/internal/routing"
)

const limitsLocation = routing.Location("limits")

// bodyBelowHeader finds a limit for bodies below that for headers.
func bodyBelowHeader(c *routing.Configuration, _ Bounds) []Finding {
	l := c.Limits
	if l.BodyBytes <= 0 || l.BodyBytes >= int64(l.HeaderBytes) {
		return nil
	}
	return []Finding{warning(limitsLocation.Field("body_bytes"), "body-limit-below-header-limit", "bodies may have %d bytes, fewer than headers with %d; raise the limit of bodies or lower that of headers", l.BodyBytes, l.HeaderBytes)}
}

// bodyAboveMemory finds a limit for bodies that the smallest entry cannot hold.
func bodyAboveMemory(c *routing.Configuration, b Bounds) []Finding {
	if b.Memory <= 0 || membudget.ForMemory(b.Memory).Fits(c.Limits.BodyBytes) {
		return nil
	}
	return []Finding{warning(limitsLocation.Field("body_bytes"), "body-limit-above-memory", "an entry with %d MB rejects bodies of %d bytes, because they do not fit into its memory for bodies; lower the limit or give the entries more memory", b.Memory>>20, c.Limits.BodyBytes)}
}

// limitsAboveEntry finds limits above those that entries apply themselves.
func limitsAboveEntry(c *routing.Configuration, b Bounds) []Finding {
	var out []Finding
	if l := c.Limits.HeaderBytes; b.HeaderBytes > 0 && l > b.HeaderBytes {
		out = append(out, warning(limitsLocation.Field("header_bytes"), "limit-above-entry", "headers may have %d bytes, but every entry limits them to %d whatever the configuration says; lower the limit", l, b.HeaderBytes))
	}
	for _, x := range []struct {
		field, name  string
		limit, bound time.Duration
	}{
		{"header_timeout", "connections with an incomplete header", c.Limits.HeaderTimeout, b.HeaderTimeout},
		{"idle_timeout", "idle connections", c.Limits.IdleTimeout, b.IdleTimeout},
	} {
		if x.bound > 0 && x.limit > x.bound {
			out = append(out, warning(limitsLocation.Field(x.field), "limit-above-entry", "the timeout of %s is %v, but every entry closes them after %v whatever the configuration says; lower it", x.name, x.limit, x.bound))
		}
	}
	return out
}

// negativeLimits finds negative limits, which daemons accept.
func negativeLimits(c *routing.Configuration, _ Bounds) []Finding {
	var out []Finding
	l := c.Limits
	for _, x := range []struct {
		field    string
		negative bool
	}{
		{"header_bytes", l.HeaderBytes < 0}, {"body_bytes", l.BodyBytes < 0}, {"header_timeout", l.HeaderTimeout < 0}, {"idle_timeout", l.IdleTimeout < 0},
	} {
		if x.negative {
			out = append(out, warning(limitsLocation.Field(x.field), "negative-value", "a negative limit counts as not set; remove it or set one above 0"))
		}
	}
	return out
}
