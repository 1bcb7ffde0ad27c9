// Package settings reads the static configuration of one process, which does not change
// while the process runs. What operators change at run time is stored in the control log.
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
	PeerListen    string // IP:port on which this daemon listens for other daemons
	DataFolder    string // folder of the control log; empty: the daemon is not a replica

	MemoryMB int // memory that the process may use

	Peers []string // peer addresses of other daemons, from which this one discovers the system

	FreshnessLease time.Duration // how long keyed routes are served after the last confirmed read
	DrainTime      time.Duration // time between leaving the list of entries and closing the listener
	AddressTTL     time.Duration // how long callers may cache a response of /v1/entries

	OrdersURL string        // platform interface for orders of upstreams; empty: no orders
	UsageURL  string        // platform interface that receives usage reports; empty: no reports
	Window    time.Duration // length of a usage interval

	LogLevel     string
	OTLPEndpoint string // URL of an OTLP HTTP receiver; empty: spans are not exported
}

// Limits of the timing settings.
const (
	minFreshnessLease = 500 * time.Millisecond
	maxFreshnessLease = 8 * time.Second
	maxDrainTime      = 10 * time.Minute
)

// defaultMemoryMB leaves room for two steps of 64 MB at the same moment, or for 67 other bodies of 16 MB.
const defaultMemoryMB = 4096

func defaults() Settings {
	return Settings{
		FreshnessLease: 2500 * time.Millisecond,
		DrainTime:      3 * time.Second,
		AddressTTL:     2 * time.Second,
		Window:         10 * time.Second,
		LogLevel:       "info",
		MemoryMB:       defaultMemoryMB,
	}
}

// Load reads and checks a settings file. A relative data folder is relative to the folder
// of the file, and PeerListen defaults to PeerAddress.
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

// Parse decodes the text of a settings file and returns every problem that it finds. file
// is the file name that the problems contain.
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
