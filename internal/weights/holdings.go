package weights

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Holdings knows which weight versions upstreams hold: what they announce, and
// what they answered since. It may be used by many goroutines.
type VersionTable struct {
	mu   sync.Mutex
	byID map[string]*holding
}

type holding struct {
	incarnation int64
	versions    map[string]uint64 // newest seen, by model
	loading     bool
	orders      uint64 // orders that it has accepted
	counted     bool   // orders is known
}

// NewHoldings returns an empty table.
func NewVersionTable() *VersionTable { return &VersionTable{byID: map[string]*holding{}} }

// at returns the entry of an incarnation; a new one knows nothing of before.
func (h *VersionTable) at(a upstream.Announcement) *holding {
	x := h.byID[a.ID]
	if x == nil || x.incarnation != a.Incarnation {
		x = &holding{incarnation: a.Incarnation, versions: map[string]uint64{}}
		h.byID[a.ID] = x
	}
	return x
}

// Versions returns the versions that an upstream holds, by model.
func (h *VersionTable) Versions(a upstream.Announcement) map[string]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := ParseModels(a.Models)
	if x := h.byID[a.ID]; x != nil && x.incarnation == a.Incarnation {
		for m, v := range x.versions {
			out[m] = max(out[m], v)
		}
	}
	return out
}

// Seen records a version that an upstream was seen to hold.
func (h *VersionTable) Seen(id, model string, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if x := h.byID[id]; x != nil && x.versions[model] < version {
		x.versions[model] = version
	}
}

// Reported records an upstream's own report.
func (h *VersionTable) RecordReport(a upstream.Announcement, versions map[string]uint64, orders uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.at(a)
	for m, v := range versions {
		x.versions[m] = max(x.versions[m], v)
	}
	x.orders, x.counted = orders, true
}

// Orders returns how many orders an upstream has accepted; false when unknown.
func (h *VersionTable) Orders(a upstream.Announcement) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.at(a)
	return x.orders, x.counted
}

// Forget drops the count of orders: the outcome of one is unknown.
func (h *VersionTable) ForgetOrders(a upstream.Announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at(a).counted = false
}

// SetLoading records whether an upstream carries out an order.
func (h *VersionTable) SetLoading(a upstream.Announcement, loading bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at(a).loading = loading
}

// Loading reports whether an upstream carries out an order.
func (h *VersionTable) Loading(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.byID[id]
	return x != nil && x.loading
}

// FormatModels writes versions by model as "a=1,b=3".
func FormatModels(versions map[string]uint64) string {
	var parts []string
	for _, m := range slices.Sorted(maps.Keys(versions)) {
		parts = append(parts, m+"="+strconv.FormatUint(versions[m], 10))
	}
	return strings.Join(parts, ",")
}

// ParseModels reads what FormatModels wrote; what cannot be read is left out.
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
