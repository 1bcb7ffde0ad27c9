package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/weights"
)

// CurrentAnnouncement returns the announcement that the upstream would send now.
func (u *Upstream) CurrentAnnouncement() upstream.Announcement { return u.announcement() }

// loadWeights handles an order to load a weight version. It responds before the weights
// are fetched and loaded.
func (e Engine) loadWeights(w http.ResponseWriter, r *http.Request) {
	var o weights.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.isStaleFencingToken(o.Fence) {
		http.Error(w, "a newer fencing token is in use", http.StatusConflict)
		return
	}
	if e.consumeLoadFailure() {
		http.Error(w, "the load failed", http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusAccepted)
	// A new leader may repeat the order; a load of the same version that is still running
	// is not started again.
	if e.loadingVersion.Swap(o.Version) != o.Version {
		e.loadingFrom.Store(&o.Source)
		go e.fetch(o)
	}
}

// consumeLoadFailure reports whether this load must fail, and counts the failure.
func (u *Upstream) consumeLoadFailure() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.FailLoads == 0 {
		return false
	}
	u.FailLoads--
	return true
}

// fetch downloads the weights from the source that the order names, or from the weight
// store if it names none, and then changes the version. A failed download leaves the old
// version in place.
func (e Engine) fetch(o weights.Order) {
	defer e.loadingVersion.CompareAndSwap(o.Version, 0)
	from := e.Store
	if o.Source != "" {
		from = "http://" + o.Source
	}
	if from != "" && !download(fmt.Sprintf("%s%s/%s/%d", from, weights.SharePath, o.Service, o.Version)) {
		return
	}
	e.version.Store(o.Version)
}

// download reads url to the end and reports whether that succeeded.
func download(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// serveWeights sends the weight version that the engine runs to another engine.
func (e Engine) serveWeights(w http.ResponseWriter, r *http.Request) {
	if e.ShareBytesPerSecond == 0 || r.PathValue("version") != fmt.Sprint(e.version.Load()) {
		http.NotFound(w, r)
		return
	}
	e.shareStore().send(r.Context(), w)
}

// shareStore returns the store that limits the rate over all engines that load from this
// engine.
func (u *Upstream) shareStore() *Store {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sharedWeights == nil {
		u.sharedWeights = NewStore(u.ShareBytes, u.ShareBytesPerSecond)
	}
	return u.sharedWeights
}
