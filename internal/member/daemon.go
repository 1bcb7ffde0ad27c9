package member

import (
	"cmp"
	"slices"
)

// Daemon is one daemon as it describes itself.
type Daemon struct {
	ID            string `json:"id"`
	Incarnation   int64  `json:"incarnation"` // start time in Unix nanoseconds: grows with every start
	Seq           uint64 `json:"seq"`         // grows with every change of the fields below, but not of InFlight
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	Replica       string `json:"replica,omitempty"`  // identity in the control group; empty for none
	Fresh         bool   `json:"fresh,omitempty"`    // serves keyed routes
	Draining      bool   `json:"draining,omitempty"` // takes no new callers
	InFlight      int    `json:"in_flight,omitempty"`
}

// newer compares two descriptions of the same daemon.
func (d Daemon) newer(o Daemon) int {
	return cmp.Or(cmp.Compare(d.Incarnation, o.Incarnation), cmp.Compare(d.Seq, o.Seq))
}

// Entries returns the daemons that callers in zone should use: those that take
// callers and are not draining, the caller's zone first, then the least loaded.
// Fresh ones are preferred; where none is, the others still serve open routes and
// answers that are ready.
func Entries(live []Daemon, zone string) []Daemon {
	var out, stale []Daemon
	for _, d := range live {
		switch {
		case d.Draining || d.CallerAddress == "":
		case d.Fresh:
			out = append(out, d)
		default:
			stale = append(stale, d)
		}
	}
	if len(out) == 0 {
		out = stale
	}
	slices.SortStableFunc(out, func(a, b Daemon) int { return cmp.Compare(a.InFlight, b.InFlight) })
	SortZoneFirst(out, zone, func(d Daemon) string { return d.Zone })
	return out
}

// NearFirst moves what lies in zone to the front of list; the order is kept
// otherwise.
func SortZoneFirst[T any](list []T, zone string, zoneOf func(T) string) {
	far := func(x T) int {
		if zoneOf(x) == zone {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(far(a), far(b)) })
}

// Replicas returns the daemons that run a replica of the control group.
func Replicas(live []Daemon) []Daemon {
	return slices.DeleteFunc(slices.Clone(live), func(d Daemon) bool { return d.Replica == "" })
}
