package reach

import (
	"math/rand/v2"

	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Helper is another daemon that may pass connections on.
type Helper struct {
	Address string // peer address
	Zone    string // availability zone
	Region  string // of the zone
	Replica bool   // has the control log to write as well
	Severed bool   // has itself lost its links to upstreams
}

// HelpersOf returns those of the live daemons that pass connections on, without the one at own.
func HelpersOf(live []member.Daemon, own string) []Helper {
	var out []Helper
	for _, d := range live {
		if d.Relays && !d.Draining && d.PeerAddress != own {
			out = append(out, Helper{Address: d.PeerAddress, Zone: d.Zone, Region: d.Region, Replica: d.Replica != "", Severed: d.Severed})
		}
	}
	return out
}

// UpstreamsOf returns the addresses of announced upstreams.
func UpstreamsOf(known []upstream.Announcement) []Upstream {
	var out []Upstream
	for _, a := range known {
		out = append(out, Upstream{a.Address, a.Zone, a.Region})
	}
	return out
}

// maxHelpers is the number of helpers that are asked for one connection.
const maxHelpers = 3

// chooseHelpers returns the helpers to ask for a connection, best first. They are drawn at random,
// so that no helper gets all connections of the daemons that lost their links. The first two are
// in different availability zones where possible, since a zone may have lost its links as a whole.
// Replicas come last as long as there are other daemons to choose among.
func chooseHelpers(rnd *rand.Rand, all []Helper, avoid func(address string) bool) []Helper {
	var entries, replicas []Helper
	for _, h := range all {
		switch {
		case h.Severed || avoid(h.Address):
		case h.Replica:
			replicas = append(replicas, h)
		default:
			entries = append(entries, h)
		}
	}
	shuffle := func(list []Helper) {
		rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	if len(entries) < maxHelpers {
		entries, replicas = append(entries, replicas...), nil
	}
	shuffle(entries)
	shuffle(replicas)
	for i := 2; i < len(entries) && entries[0].Zone == entries[1].Zone; i++ {
		if entries[i].Zone != entries[0].Zone {
			entries[1], entries[i] = entries[i], entries[1]
		}
	}
	if len(replicas) > 0 {
		entries = append(entries[:maxHelpers-1], replicas[0])
	}
	return entries[:min(len(entries), maxHelpers)]
}
