// Package settings reads the static configuration of one process. It never
// changes while the process runs; what operators change lives in the control
// log.
package settings

import (
	"path/filepath"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/strictini"
)

// Settings is the static configuration of a daemon.
type Settings struct {
	ID            string // name of the daemon, unique in the system
	Zone          string // availability zone
	Region        string
	CallerAddress string // IP:port of HTTP for callers, upstreams and operators
	PeerAddress   string // IP:port by which the other daemons reach this one
	PeerListen    string // IP:port to listen on for them; empty: PeerAddress
	DataFolder    string // empty: the daemon is no replica

	Peers []string // peer addresses of other daemons, to find the system by

	FreshnessLease time.Duration // keyed routes stop this long after the last confirmed read
	DrainTime      time.Duration // lifetime of an entry list, waited before the listener closes
	AddressTTL     time.Duration // lifetime of an answer of /v1/entries

	OrdersURL string // platform interface that orders upstreams; empty: no orders
	UsageURL  string // platform interface that takes usage windows; empty: no reports
	Window    time.Duration

	LogLevel     string
	OTLPEndpoint string // URL of an OTLP HTTP receiver; empty: spans are not exported
}

// Limits of the timing settings.
const (
	minLease = 500 * time.Millisecond
	maxLease = 8 * time.Second
	maxDrain = 10 * time.Minute
)

func defaults() Settings {
	return Settings{
		FreshnessLease: 2500 * time.Millisecond,
		DrainTime:      3 * time.Second,
		AddressTTL:     2 * time.Second,
		Window:         10 * time.Second,
		LogLevel:       "info",
	}
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	s, err := strictini.Load(path, Parse)
	if err != nil {
		return nil, err
	}
	if s.DataFolder != "" && !filepath.IsAbs(s.DataFolder) {
		s.DataFolder = filepath.Join(filepath.Dir(path), s.DataFolder)
	}
	if s.PeerListen == "" {
		s.PeerListen = s.PeerAddress
	}
	return s, nil
}

// Parse checks the text of a settings file and reports every fault.
func Parse(file, text string) (*Settings, strictini.Problems) {
	s := defaults()
	found := false
	problems := strictini.Decode(file, text, func(name string) (*strictini.Section, error) {
		found = found || name == "daemon"
		return s.section(name), nil
	})
	if !found {
		problems = append(problems, strictini.Problem{File: file, Code: result.SettingMissing, Message: "section [daemon] is missing"})
	}
	return &s, problems
}
