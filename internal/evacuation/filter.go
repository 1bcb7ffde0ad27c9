// Package evacuation keeps a daemon from sending anything to the upstreams of evacuated
// availability zones. The list of these zones is part of the replicated configuration.
package evacuation

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

var evacuatedZones = metrics.NewGauge("apricotstream_evacuated_zones", nil)

// Source is the configuration that a daemon follows, see control.Follower.
type Source interface {
	Config() *state.Config
	Changed() <-chan struct{}
	// Proven reports whether a configuration has been proven to be the newest since the start.
	Proven() bool
}

// Filter hides the upstreams of evacuated zones in the directory of one daemon. While the
// configuration is not fresh, the last list of zones stays in force. It may be used by many
// goroutines.
type Filter struct {
	source    Source
	directory *upstream.Directory
	log       *log.Logger
	proven    atomic.Bool

	mu      sync.Mutex
	applied map[string]bool
}

// NewFilter returns a filter that hides nothing yet.
func NewFilter(s Source, d *upstream.Directory, logger *log.Logger) *Filter {
	return &Filter{source: s, directory: d, log: logger}
}

// Run applies each new configuration until ctx ends.
func (f *Filter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.source.Changed()
		f.Apply()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Apply applies the newest configuration and returns it.
func (f *Filter) Apply() *state.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	proven := f.source.Proven() // before the configuration, which may become proven meanwhile
	c := f.source.Config()
	if f.directory.Evacuate(c.Evacuated) {
		f.logChanges(c, proven)
	}
	if proven {
		f.proven.Store(true)
	}
	return c
}

// logChanges logs one line for each zone whose evacuation begins or ends on this daemon. The
// caller holds f.mu.
func (f *Filter) logChanges(c *state.Config, proven bool) {
	upstreams := map[string]int{}
	for _, a := range f.directory.Listed() {
		upstreams[a.Zone]++
	}
	for _, zone := range slices.Sorted(maps.Keys(c.Evacuated)) {
		if !f.applied[zone] {
			f.log.Info("Zone is evacuated: its upstreams get nothing new.", "zone", zone, "upstreams", upstreams[zone], "configuration", c.Version, "proven", proven)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(f.applied)) {
		if !c.Evacuated[zone] {
			f.log.Info("Evacuation of a zone has ended: its upstreams are used again.", "zone", zone, "upstreams", upstreams[zone], "configuration", c.Version, "proven", proven)
		}
	}
	f.applied = c.Evacuated
	evacuatedZones.Set(float64(len(c.Evacuated)))
}

// Proven reports whether the evacuations of a configuration that was proven to be the newest
// have been applied since the start. Until then a zone may be evacuated that this daemon does
// not know of, and work that can wait must not begin.
func (f *Filter) Proven() bool { return f.proven.Load() }
