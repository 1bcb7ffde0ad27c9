package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/weights"
)

// Announced returns what the upstream says of itself now.
func (u *Upstream) CurrentAnnouncement() upstream.Announcement { return u.announcement() }

// load takes the order for a weight version, fetches it and swaps.
func (e Engine) load(w http.ResponseWriter, r *http.Request) {
	var o weights.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.fenced(o.Fence) {
		http.Error(w, "a newer fencing number is in use", http.StatusConflict)
		return
	}
	if e.takeFailure() {
		http.Error(w, "the swap failed", http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusAccepted)
	// The same order again, from a new leader, changes nothing.
	if e.loading.Swap(o.Version) != o.Version {
		e.loadingFrom.Store(&o.Source)
		go e.fetch(o)
	}
}

func (u *Upstream) takeFailure() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.FailLoads == 0 {
		return false
	}
	u.FailLoads--
	return true
}

// fetch loads from the source that the order names. A load that fails leaves the
// old version in place.
func (e Engine) fetch(o weights.Order) {
	defer e.loading.CompareAndSwap(o.Version, 0)
	from := e.Store
	if o.Source != "" {
		from = "http://" + o.Source
	}
	if from != "" && !download(fmt.Sprintf("%s%s/%s/%d", from, weights.SharePath, o.Service, o.Version)) {
		return
	}
	e.version.Store(o.Version)
}

func download(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// share passes on the version that the engine runs.
func (e Engine) share(w http.ResponseWriter, r *http.Request) {
	if e.ShareBytesPerSecond == 0 || r.PathValue("version") != fmt.Sprint(e.version.Load()) {
		http.NotFound(w, r)
		return
	}
	e.sharer().send(r.Context(), w)
}

// sharer limits the rate over all who load from this engine.
func (u *Upstream) sharer() *Store {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.passing == nil {
		u.passing = NewStore(u.ShareBytes, u.ShareBytesPerSecond)
	}
	return u.passing
}
