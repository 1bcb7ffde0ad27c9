package weights

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// VersionTable tracks which weight versions upstreams hold, from their announcements and
// from their later responses. It also tracks how many orders to load weights each of them
// has accepted and whether it is executing one. It may be used by many goroutines.
type VersionTable struct {
	mu   sync.Mutex
	byID map[string]*incarnationState
}

// incarnationState is what the table holds about one incarnation of an upstream.
type incarnationState struct {
	incarnation int64
	versions    map[string]uint64 // newest known version by model
	loading     bool
	orders      uint64 // number of orders that it has accepted
	ordersKnown bool   // whether orders is known
}

// NewVersionTable returns an empty table.
func NewVersionTable() *VersionTable { return &VersionTable{byID: map[string]*incarnationState{}} }

// stateOf returns the state of an incarnation. It replaces the state of another
// incarnation by an empty one. The caller holds the mutex.
func (t *VersionTable) stateOf(a upstream.Announcement) *incarnationState {
	x := t.byID[a.ID]
	if x == nil || x.incarnation != a.Incarnation {
		x = &incarnationState{incarnation: a.Incarnation, versions: map[string]uint64{}}
		t.byID[a.ID] = x
	}
	return x
}

// Versions returns the versions that an upstream holds, by model.
func (t *VersionTable) Versions(a upstream.Announcement) map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := ParseModels(a.Models)
	if x := t.byID[a.ID]; x != nil && x.incarnation == a.Incarnation {
		for m, v := range x.versions {
			out[m] = max(out[m], v)
		}
	}
	return out
}

// Seen records that an upstream holds a version of a model.
func (t *VersionTable) Seen(id, model string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.byID[id]; x != nil && x.versions[model] < version {
		x.versions[model] = version
	}
}

// RecordReport records the versions that an upstream reports and the number of orders
// that it has accepted.
func (t *VersionTable) RecordReport(a upstream.Announcement, versions map[string]uint64, orders uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.stateOf(a)
	for m, v := range versions {
		x.versions[m] = max(x.versions[m], v)
	}
	x.orders, x.ordersKnown = orders, true
}

// Orders returns how many orders an upstream has accepted. It returns false if the number
// is unknown.
func (t *VersionTable) Orders(a upstream.Announcement) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.stateOf(a)
	return x.orders, x.ordersKnown
}

// ForgetOrders marks the number of accepted orders as unknown, because the outcome of an
// order is unknown.
func (t *VersionTable) ForgetOrders(a upstream.Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(a).ordersKnown = false
}

// SetLoading records whether an upstream is executing an order to load weights.
func (t *VersionTable) SetLoading(a upstream.Announcement, loading bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(a).loading = loading
}

// Loading reports whether an upstream is executing an order to load weights.
func (t *VersionTable) Loading(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.byID[id]
	return x != nil && x.loading
}

// FormatModels formats versions by model as "a=1,b=3", sorted by model.
func FormatModels(versions map[string]uint64) string {
	var parts []string
	for _, m := range slices.Sorted(maps.Keys(versions)) {
		parts = append(parts, m+"="+strconv.FormatUint(versions[m], 10))
	}
	return strings.Join(parts, ",")
}

// ParseModels parses the output of FormatModels. It skips parts that are malformed.
func ParseModels(s string) map[string]uint64 {
	out := map[string]uint64{}
	for part := range strings.SplitSeq(s, ",") {
		model, version, ok := strings.Cut(part, "=")
		if v, err := strconv.ParseUint(version, 10, 64); ok && err == nil {
			out[model] = v
		}
	}
	return out
}
