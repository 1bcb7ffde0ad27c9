package picker

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// maxAffinityLoadRatio limits the load of an upstream that prefix affinity chooses: the
// number of this entry's requests there, divided by the mean over the candidates.
const maxAffinityLoadRatio = 1.5

// affinityPreference prefers the upstream to which rendezvous hashing maps the prefix of
// the request, so that its prefix cache is used again. If that upstream already runs too
// many of this entry's requests, see maxAffinityLoadRatio, the next one in hash order is
// used. No list of the cached prefixes of each upstream is needed, so late or missing
// cache events have no effect, and the loss of an upstream moves only the prefixes of
// that upstream.
type affinityPreference struct{}

// Narrow implements Preference.
func (affinityPreference) Narrow(q Request, cs []Candidate) []Candidate {
	if q.Prefix == "" {
		return nil
	}
	running := 0
	for _, c := range cs {
		running += c.InFlight
	}
	bound := int(math.Ceil(maxAffinityLoadRatio * float64(running+1) / float64(len(cs))))
	best, at := uint64(0), -1
	for i, c := range cs {
		if c.InFlight >= bound {
			continue
		}
		if h := xxhash.Sum64String(q.Prefix + "\x00" + c.Upstream.ID); at < 0 || h > best {
			best, at = h, i
		}
	}
	if at < 0 {
		return nil
	}
	return cs[at : at+1]
}
