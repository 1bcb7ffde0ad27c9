package node

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/member"
)

// entryWeighting follows whether answers to callers are weighted, and whether this entry is
// overloaded.
type entryWeighting struct {
	id  string
	log *log.Logger

	mu       sync.Mutex
	overload member.Overload
	active   bool
	logged   bool // the last state of active in the log
	loggedAt time.Time
}

func newEntryWeighting(id string, logger *log.Logger) *entryWeighting {
	return &entryWeighting{id: id, log: logger}
}

// observe records the entries that are up and the number of this entry's requests in flight.
func (e *entryWeighting) observe(now time.Time, entries []member.Daemon, inFlight int) {
	w := member.NewWeighting(entries)
	e.mu.Lock()
	load, changed := e.overload.Observe(now, e.id, inFlight, w)
	e.active = w.Active
	overloaded := e.overload.Overloaded()
	e.mu.Unlock()
	smallest, largest := w.Range()
	metrics.GetOrCreateGauge("apricotstream_entry_weight", nil).Set(w.Of(e.id))
	overloadedGauge := metrics.GetOrCreateGauge("apricotstream_entry_overloaded", nil)
	overloadedGauge.Set(0)
	if overloaded {
		overloadedGauge.Set(1)
	}
	if w.Active != e.logged && now.Sub(e.loggedAt) >= weightingLogInterval {
		e.logged, e.loggedAt = w.Active, now
		e.log.Info("Weighting of entries has changed.", "active", w.Active, "entries", len(entries), "smallest", smallest, "largest", largest, "own", w.Of(e.id))
	}
	if changed {
		e.log.Info("Overload of this entry has changed.", "overloaded", overloaded, "load", load.Own, "median", load.Median)
	}
}

// load returns what this entry announces of its load. Without weighting it announces none, and the
// order of the entries in answers does not depend on it.
func (e *entryWeighting) load() (overloaded bool, inFlight int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.active {
		return false, 0
	}
	return e.overload.Overloaded(), e.overload.InFlight()
}

func (n *Node) observeWeighting() {
	inFlight := 0
	if n.dependencies.InFlight != nil {
		inFlight = n.dependencies.InFlight()
	}
	n.weighting.observe(time.Now(), member.Entries(member.Within(n.gossip.Live(), n.ownRegion), n.cfg.Zone), inFlight)
}
