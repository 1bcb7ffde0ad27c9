package settings

import (
	"strconv"
	"time"

	"github.com/apricotstream/apricotstream/internal/strictini"
)

// section returns the description of the named section, nil for an unknown one.
func (s *Settings) section(name string) *strictini.Section {
	switch name {
	case "daemon":
		return &strictini.Section{Keys: s.daemonKeys()}
	case "peers":
		return &strictini.Section{Keys: []strictini.Key{
			{Name: "addresses", Required: true, Help: "peer addresses of other daemons, IP:port, separated by commas", Set: addressListSetter(&s.Peers)},
		}}
	case "timing":
		return &strictini.Section{Keys: s.timingKeys()}
	case "platform":
		return &strictini.Section{Keys: []strictini.Key{
			{Name: "orders_url", Help: "URL that receives orders for upstreams", Set: strictini.Text(&s.OrdersURL)},
			{Name: "usage_url", Help: "URL that receives usage reports", Set: strictini.Text(&s.UsageURL)},
			{Name: "window", Default: "10s", Help: "length of a usage interval, 1s to 24h", Set: strictini.Duration(&s.Window, time.Second, 24*time.Hour)},
		}}
	case "telemetry":
		return &strictini.Section{Keys: []strictini.Key{
			{Name: "log_level", Default: "info", Help: "debug, info, warn or error", Set: strictini.OneOf(&s.LogLevel, "debug", "info", "warn", "error")},
			{Name: "otlp_endpoint", Help: "URL of an OTLP HTTP trace receiver", Set: strictini.Text(&s.OTLPEndpoint)},
		}}
	}
	return nil
}

func (s *Settings) daemonKeys() []strictini.Key {
	return []strictini.Key{
		{Name: "id", Required: true, Help: "name of the daemon, unique in the system", Set: strictini.Name(&s.ID)},
		{Name: "zone", Required: true, Help: "availability zone", Set: strictini.Name(&s.Zone)},
		{Name: "region", Required: true, Help: "region of the zone", Set: strictini.Name(&s.Region)},
		{Name: "caller_address", Required: true, Help: "IP:port that serves HTTP for callers, upstreams and operators", Set: strictini.Address(&s.CallerAddress)},
		{Name: "peer_address", Required: true, Help: "IP:port by which the other daemons reach this one", Set: strictini.Address(&s.PeerAddress)},
		{Name: "peer_listen", Default: "peer_address", Help: "IP:port on which this daemon listens for the other daemons, if it differs from peer_address", Set: strictini.Address(&s.PeerListen)},
		{Name: "data_folder", Help: "folder of the control log; without it the daemon is not a replica", Set: strictini.Text(&s.DataFolder)},
		{Name: "memory_mb", Default: strconv.Itoa(defaultMemoryMB), Help: "memory that the process may use, in MB, 64 to 1048576; bodies and buffered answers share 0.35 of it", Set: strictini.Int(&s.MemoryMB, 64, 1<<20)},
	}
}

func (s *Settings) timingKeys() []strictini.Key {
	return []strictini.Key{
		{Name: "freshness_lease", Default: "2500ms", Help: "how long keyed routes are served after the last confirmed read, 500ms to 8s", Set: strictini.Duration(&s.FreshnessLease, minFreshnessLease, maxFreshnessLease)},
		{Name: "drain_time", Default: "3s", Help: "time between leaving the address list and closing the listener, 0s to 10m", Set: strictini.Duration(&s.DrainTime, 0, maxDrainTime)},
		{Name: "address_ttl", Default: "2s", Help: "how long callers may cache a response of /v1/entries, 100ms to 10m", Set: strictini.Duration(&s.AddressTTL, 100*time.Millisecond, maxDrainTime)},
	}
}
