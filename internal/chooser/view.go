package chooser

import (
	"math"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// View is what a Chooser knows of the upstreams in the home regions of a request.
type View struct {
	chooser *Chooser
	homes   *homes.Homes
}

// Within returns the view of the upstreams that h allows, of all of them if h is nil.
func (c *Chooser) Within(h *homes.Homes) View { return View{c, h} }

// Upstreams returns the upstreams of a service that the directory lists, ejected ones included.
func (v View) Upstreams(service string) []upstream.Announcement {
	all := v.chooser.directory.Service(service)
	if v.homes == nil {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(a upstream.Announcement) bool { return !v.homes.Allows(a.Region) })
}

// AtRate returns when one of the upstreams of a service may be tried again, if all of them
// are at the rates that they name. It returns false if one may be tried now.
func (v View) AtRate(service string) (time.Duration, bool) {
	c, all := v.chooser, v.Upstreams(service)
	if c.Rates == nil || len(all) == 0 {
		return 0, false
	}
	now, earliest := time.Now(), time.Duration(math.MaxInt64)
	for _, a := range all {
		wait := c.Rates.Wait(now, a)
		if wait == 0 && c.coldBound(now, a) {
			wait = coldPollInterval // its token may have come since the last choice
		}
		earliest = min(earliest, wait)
	}
	return earliest, earliest > 0
}

// ReturnDelay returns when a caller should return that no upstream of a service can take,
// because all of them are at the rates that they name. It returns false if they are not.
func (v View) ReturnDelay(service string) (time.Duration, bool) {
	if v.chooser.Rates == nil {
		return 0, false
	}
	return v.chooser.Rates.ReturnDelay(service, v.Upstreams(service))
}

// Upstreams is View.Upstreams without home regions.
func (c *Chooser) Upstreams(service string) []upstream.Announcement {
	return c.Within(nil).Upstreams(service)
}

// AtRate is View.AtRate without home regions.
func (c *Chooser) AtRate(service string) (time.Duration, bool) { return c.Within(nil).AtRate(service) }

// ReturnDelay is View.ReturnDelay without home regions.
func (c *Chooser) ReturnDelay(service string) (time.Duration, bool) {
	return c.Within(nil).ReturnDelay(service)
}
