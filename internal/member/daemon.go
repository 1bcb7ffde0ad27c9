package member

import (
	"cmp"
	"slices"
)

// Daemon is a daemon's description of itself.
type Daemon struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"` // start time in Unix nanoseconds; identifies the process
	// Epoch takes the place of Incarnation in the order of descriptions if it is higher.
	// It is set if other daemons know a later incarnation, because the clock was set back
	// between two starts.
	Epoch int64 `json:"epoch,omitempty"`
	// Seq increases with every refuted suspicion and with every change of the fields
	// below, except InFlight.
	Seq           uint64 `json:"seq"`
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	Replica       string `json:"replica,omitempty"`  // replica ID in the control group; empty: none
	Fresh         bool   `json:"fresh,omitempty"`    // its configuration is new enough for routes that need a key
	Draining      bool   `json:"draining,omitempty"` // accepts no new callers
	Relays        bool   `json:"relays,omitempty"`   // passes connections to upstreams on for other daemons
	Severed       bool   `json:"severed,omitempty"`  // has lost its links to upstreams
	Level         int    `json:"level,omitempty"`    // see Level; 0 in older builds
	// Overloaded is set while this entry has many more requests in flight than others, see Overload.
	Overloaded bool `json:"overloaded,omitempty"`
	// Capacity does not change. It is zero in older builds, which also drop it from what they
	// pass on.
	Capacity Capacity `json:"cap,omitzero"`
	InFlight int      `json:"in_flight,omitempty"`
}

// Level is the level of commands and fields of the control log that this build can read. A replica
// stops at an entry that it cannot read, so an entry of a level is written only once all known
// daemons announce at least that level.
//
//	1: evacuations of availability zones, and the rate of a service's cold upstreams
//	2: home regions of routes, client accounts and batch jobs
//	3: batch jobs that are retained until their end
const Level = 3

// CommonLevel returns the lowest level of daemons.
func CommonLevel(daemons []Daemon) int {
	level := Level
	for _, d := range daemons {
		level = min(level, d.Level)
	}
	return level
}

// epoch returns the number by which descriptions of different starts are ordered.
func (d Daemon) epoch() int64 { return max(d.Incarnation, d.Epoch) }

// compareVersion compares two descriptions of the same daemon by epoch and sequence
// number. It returns a positive number if d is newer than o, and 0 if they are equal.
func (d Daemon) compareVersion(o Daemon) int {
	return cmp.Or(cmp.Compare(d.epoch(), o.epoch()), cmp.Compare(d.Seq, o.Seq))
}

// Entries returns the daemons that callers in zone should use, the caller's zone first and
// then by ascending load. Daemons that are draining or have no caller address are left
// out. Daemons that aren't fresh are left out too, unless no daemon is fresh: they still
// serve routes that need no key, and responses that are ready.
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

// SortZoneFirst moves the elements in zone to the front of list. Otherwise the order stays
// as it was.
func SortZoneFirst[T any](list []T, zone string, zoneOf func(T) string) {
	rank := func(x T) int {
		if zoneOf(x) == zone {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(rank(a), rank(b)) })
}

// Replicas returns the daemons that run a replica of the control group.
func Replicas(live []Daemon) []Daemon {
	return slices.DeleteFunc(slices.Clone(live), func(d Daemon) bool { return d.Replica == "" })
}
