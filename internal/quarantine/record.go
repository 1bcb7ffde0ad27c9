package quarantine

import (
	"slices"
	"time"
)

// Record describes one suspect or quarantined request.
type Record struct {
	Fingerprint string    `json:"fingerprint"`
	Upstreams   []string  `json:"upstreams"` // incarnations that crashed while they ran it; empty once it is cleared
	Since       time.Time `json:"since"`     // wall clock time of the newest crash or clearing
	// Late are the crashes after which the request had run for long. Daemons of older builds ignore
	// them.
	Late []LateCrash `json:"late,omitempty"`
	// Epoch increases when the request is cleared or released. Crashes of an older epoch
	// no longer count.
	Epoch uint64 `json:"epoch"`
}

// Crashed reports whether any crash counts against the request.
func (r Record) Crashed() bool { return len(r.Upstreams)+len(r.Late) > 0 }

// Suspect reports whether the request must run alone.
func (r Record) Suspect() bool { return r.Crashed() && !r.Blocked() }

// Blocked reports whether the request is quarantined and must not run.
func (r Record) Blocked() bool {
	early := len(r.Upstreams)
	return early >= quarantineThreshold || early+countLate(r.Late, r.Upstreams) >= lateQuarantineThreshold
}

// ttl returns how long after Since the record is kept.
func (r Record) ttl() time.Duration {
	if r.Blocked() {
		return quarantineTTL
	}
	return suspicionTTL
}

// merge combines r and o: the record of the newer epoch, or the union of the upstreams if
// the epochs are equal.
func (r Record) merge(o Record) Record {
	switch {
	case o.Epoch > r.Epoch:
		return o
	case o.Epoch < r.Epoch:
		return r
	}
	out := r
	out.Upstreams = slices.Clone(r.Upstreams)
	for _, u := range o.Upstreams {
		if !slices.Contains(out.Upstreams, u) {
			out.Upstreams = append(out.Upstreams, u)
		}
	}
	slices.Sort(out.Upstreams)
	out.Late = mergeLate(r.Late, o.Late)
	if o.Since.After(out.Since) {
		out.Since = o.Since
	}
	return out
}

func (r Record) equal(o Record) bool {
	return r.Epoch == o.Epoch && r.Since.Equal(o.Since) && slices.Equal(r.Upstreams, o.Upstreams) && slices.EqualFunc(r.Late, o.Late, LateCrash.equal)
}
