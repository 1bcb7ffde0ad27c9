package state

import (
	"strings"
	"unicode/utf8"

	"github.com/apricotstream/apricotstream/internal/result"
)

// MaxZoneBytes bounds the name of an availability zone that is evacuated.
const MaxZoneBytes = 128

// EvacuationPut sets whether an availability zone is evacuated. Setting what already holds
// succeeds and changes nothing.
type EvacuationPut struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
}

// CheckZone returns BodyMalformed for a name that no evacuated zone may have. The zone need
// not be known: its upstreams may join later.
func CheckZone(zone string) error {
	switch {
	case zone == "":
		return result.New(result.BodyMalformed, "the name of the zone is missing")
	case len(zone) > MaxZoneBytes:
		return result.New(result.BodyMalformed, "the name of the zone has %d bytes, more than %d", len(zone), MaxZoneBytes)
	case !utf8.ValidString(zone): // followers get the configuration as JSON, which cannot hold it
		return result.New(result.BodyMalformed, "the name of the zone is not valid UTF-8")
	case strings.Contains(zone, "/"):
		return result.New(result.BodyMalformed, "the name of the zone contains a slash")
	}
	return nil
}

func (c *Config) evacuationPut(p *EvacuationPut) (*Config, Outcome) {
	if err := CheckZone(p.Zone); err != nil {
		return nil, reject(result.BodyMalformed, result.From(err).Message)
	}
	if c.Evacuated[p.Zone] == p.Evacuated {
		return nil, Outcome{}
	}
	n := c.next()
	if p.Evacuated {
		n.Evacuated = with(c.Evacuated, p.Zone, true)
	} else {
		n.Evacuated = without(c.Evacuated, p.Zone)
	}
	return n, Outcome{}
}
