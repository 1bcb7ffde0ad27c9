package upstream

import (
	"net/netip"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/strictini"
)

// Check returns BodyMalformed if a is not a valid announcement.
func (a Announcement) Check() error {
	for _, n := range []string{a.ID, a.Service, a.Zone} {
		if err := strictini.CheckName(n); err != nil {
			return result.New(result.BodyMalformed, "%q: %v", n, err)
		}
	}
	if address, err := netip.ParseAddrPort(a.Address); err != nil || address.Port() == 0 {
		return result.New(result.BodyMalformed, "address %.64q is not of the form IP:port", a.Address)
	}
	if a.Class != "regular" && a.Class != "cheap" {
		return result.New(result.BodyMalformed, "class %q is neither regular nor cheap", a.Class)
	}
	if a.Incarnation <= 0 || a.Concurrency < 1 {
		return result.New(result.BodyMalformed, "incarnation and concurrency must be above 0")
	}
	if a.Concurrency > maxConcurrency {
		return result.New(result.BodyMalformed, "the concurrency %d is too large", a.Concurrency)
	}
	if len(a.Software) > MaxSoftwareBytes {
		return result.New(result.BodyMalformed, "the software version has %d bytes, at most %d are allowed", len(a.Software), MaxSoftwareBytes)
	}
	return nil
}
